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

// receivedRequest is a request at a worker.
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
	handle      func(a receivedRequest, answer http.ResponseWriter) // what it does
	inFlight    int                                                 // requests at work
	maxInFlight int
}

// addWorker starts a worker of a service on a machine of its own. Its default is to succeed after 20 ms.
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

func (w *fakeWorker) respondWith(handle func(a receivedRequest, answer http.ResponseWriter)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.handle = handle
}

// ServeHTTP implements http.Handler.
func (w *fakeWorker) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	a := receivedRequest{at: w.harness.elapsed(), id: request.Header.Get("X-Request-Id"), key: request.Header.Get("X-Order-Key"),
		worker: w.listed.ID, method: request.Method, target: request.RequestURI, host: request.Host, body: string(body),
		header: request.Header.Clone()}
	w.mutex.Lock()
	w.received = append(w.received, a)
	w.inFlight++
	w.maxInFlight = max(w.maxInFlight, w.inFlight)
	handle := w.handle
	w.mutex.Unlock()
	defer func() {
		w.mutex.Lock()
		w.inFlight--
		w.mutex.Unlock()
	}()
	answer.Header().Set("X-Request-Id", a.id)
	handle(a, answer)
}

func (w *fakeWorker) requests() []receivedRequest {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.received)
}

func (w *fakeWorker) mostAtOnce() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.maxInFlight
}

// succeedAfter answers with a stamp after a while.
func succeedAfter(span time.Duration) func(receivedRequest, http.ResponseWriter) {
	return func(a receivedRequest, answer http.ResponseWriter) {
		time.Sleep(span)
		succeed(a, answer)
	}
}

func succeed(a receivedRequest, answer http.ResponseWriter) {
	answer.Header().Set("X-Server-Stamp", "stamp-"+a.id)
	_, _ = io.WriteString(answer, "done")
}

// answerWith answers with a status.
func answerWith(status int) func(receivedRequest, http.ResponseWriter) {
	return func(_ receivedRequest, answer http.ResponseWriter) { answer.WriteHeader(status) }
}

// abort ends the connection without an answer.
func abort(receivedRequest, http.ResponseWriter) { panic(http.ErrAbortHandler) }

// inSequence behaves in one way after the other, and in the last way for ever.
func inSequence(handlers ...func(receivedRequest, http.ResponseWriter)) func(receivedRequest, http.ResponseWriter) {
	var mutex sync.Mutex
	next := 0
	return func(a receivedRequest, answer http.ResponseWriter) {
		mutex.Lock()
		handle := handlers[next]
		next = min(next+1, len(handlers)-1)
		mutex.Unlock()
		handle(a, answer)
	}
}
