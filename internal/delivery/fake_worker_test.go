package delivery_test

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

// receivedRequest is a request that reached a worker.
type receivedRequest struct {
	at     time.Duration
	id     string // X-Request-Id
	key    string
	worker string
	method string
	target string
	host   string
	body   string
	header http.Header
}

// fakeWorker is a worker process on a simulated host.
type fakeWorker struct {
	harness     *harness
	listed      cluster.Worker
	server      *http.Server
	mutex       sync.Mutex
	received    []receivedRequest
	handle      func(request receivedRequest, writer http.ResponseWriter) // responds to a request
	inFlight    int                                                       // requests that are being handled
	maxInFlight int
}

// addWorker starts a worker of a service on a host of its own. By default each request succeeds after 20 ms.
func (h *harness) addWorker(id, service, ip string) *fakeWorker {
	fake := &fakeWorker{harness: h, handle: succeedAfter(20 * time.Millisecond),
		listed: cluster.Worker{ID: id, Service: service, Address: ip + workerPort, Zone: zone, Capacity: 4}}
	h.workers = append(h.workers, fake)
	fake.run()
	return fake
}

func (w *fakeWorker) run() {
	ip := strings.TrimSuffix(w.listed.Address, workerPort)
	listener, err := w.harness.network.Host(ip).Listen(w.listed.Address)
	assert.NilError(w.harness.t, err)
	w.server = &http.Server{Handler: w}
	server := w.server
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			w.harness.t.Errorf("serve: %v", err)
		}
	}()
	synctest.Wait()
}

func (w *fakeWorker) stop() { _ = w.server.Close() }

func (w *fakeWorker) respondWith(handle func(request receivedRequest, writer http.ResponseWriter)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.handle = handle
}

// ServeHTTP implements http.Handler.
func (w *fakeWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	arrived := receivedRequest{at: w.harness.elapsed(), id: request.Header.Get("X-Request-Id"), key: request.Header.Get("X-Order-Key"),
		worker: w.listed.ID, method: request.Method, target: request.RequestURI, host: request.Host, body: string(body),
		header: request.Header.Clone()}
	w.mutex.Lock()
	w.received = append(w.received, arrived)
	w.inFlight++
	w.maxInFlight = max(w.maxInFlight, w.inFlight)
	handle := w.handle
	w.mutex.Unlock()
	defer func() {
		w.mutex.Lock()
		w.inFlight--
		w.mutex.Unlock()
	}()
	writer.Header().Set("X-Request-Id", arrived.id)
	handle(arrived, writer)
}

func (w *fakeWorker) requests() []receivedRequest {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.received)
}

func (w *fakeWorker) peakInFlight() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.maxInFlight
}

// succeedAfter responds with a stamp after a delay.
func succeedAfter(span time.Duration) func(receivedRequest, http.ResponseWriter) {
	return func(request receivedRequest, writer http.ResponseWriter) {
		time.Sleep(span)
		succeed(request, writer)
	}
}

func succeed(request receivedRequest, writer http.ResponseWriter) {
	writer.Header().Set("X-Server-Stamp", "stamp-"+request.id)
	_, _ = io.WriteString(writer, "done")
}

// respondStatus responds with a status.
func respondStatus(status int) func(receivedRequest, http.ResponseWriter) {
	return func(_ receivedRequest, writer http.ResponseWriter) { writer.WriteHeader(status) }
}

// abort closes the connection without a response.
func abort(receivedRequest, http.ResponseWriter) { panic(http.ErrAbortHandler) }

// inSequence uses one handler per request, in order, and the last handler for all further requests.
func inSequence(handlers ...func(receivedRequest, http.ResponseWriter)) func(receivedRequest, http.ResponseWriter) {
	var mutex sync.Mutex
	next := 0
	return func(request receivedRequest, writer http.ResponseWriter) {
		mutex.Lock()
		handle := handlers[next]
		next = min(next+1, len(handlers)-1)
		mutex.Unlock()
		handle(request, writer)
	}
}
