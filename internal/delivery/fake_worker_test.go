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

// arrival is a request at a worker.
type arrival struct {
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

// worker stands in for a worker process.
type worker struct {
	world  *world
	listed cluster.Worker
	server *http.Server
	mutex  sync.Mutex
	all    []arrival
	handle func(a arrival, answer http.ResponseWriter) // what it does
	now    int                                         // requests at work
	most   int
}

// addWorker starts a worker of a service on a machine of its own. Its default is to succeed after 20 ms.
func (w *world) addWorker(id, service, ip string) *worker {
	standIn := &worker{world: w, handle: succeedAfter(20 * time.Millisecond),
		listed: cluster.Worker{ID: id, Service: service, Address: ip + workerPort, Zone: zone, Capacity: 4}}
	w.workers = append(w.workers, standIn)
	standIn.run()
	return standIn
}

func (s *worker) run() {
	ip := strings.TrimSuffix(s.listed.Address, workerPort)
	listener, err := s.world.network.Host(ip).Listen(s.listed.Address)
	assert.NilError(s.world.t, err)
	s.server = &http.Server{Handler: s}
	server := s.server
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.world.t.Errorf("serve: %v", err)
		}
	}()
	synctest.Wait()
}

func (s *worker) stop() { _ = s.server.Close() }

func (s *worker) does(handle func(a arrival, answer http.ResponseWriter)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handle = handle
}

// ServeHTTP implements http.Handler.
func (s *worker) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	a := arrival{at: s.world.since(), id: request.Header.Get("X-Request-Id"), key: request.Header.Get("X-Order-Key"),
		worker: s.listed.ID, method: request.Method, target: request.RequestURI, host: request.Host, body: string(body),
		header: request.Header.Clone()}
	s.mutex.Lock()
	s.all = append(s.all, a)
	s.now++
	s.most = max(s.most, s.now)
	handle := s.handle
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		s.now--
		s.mutex.Unlock()
	}()
	answer.Header().Set("X-Request-Id", a.id)
	handle(a, answer)
}

func (s *worker) seen() []arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.all)
}

func (s *worker) mostAtOnce() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.most
}

// succeedAfter answers with a stamp after a while.
func succeedAfter(span time.Duration) func(arrival, http.ResponseWriter) {
	return func(a arrival, answer http.ResponseWriter) {
		time.Sleep(span)
		succeed(a, answer)
	}
}

func succeed(a arrival, answer http.ResponseWriter) {
	answer.Header().Set("X-Server-Stamp", "stamp-"+a.id)
	_, _ = io.WriteString(answer, "done")
}

// answerWith answers with a status.
func answerWith(status int) func(arrival, http.ResponseWriter) {
	return func(_ arrival, answer http.ResponseWriter) { answer.WriteHeader(status) }
}

// breakOff ends the connection without an answer.
func breakOff(arrival, http.ResponseWriter) { panic(http.ErrAbortHandler) }

// inTurn does one thing after the other, and the last for ever.
func inTurn(handlers ...func(arrival, http.ResponseWriter)) func(arrival, http.ResponseWriter) {
	var mutex sync.Mutex
	next := 0
	return func(a arrival, answer http.ResponseWriter) {
		mutex.Lock()
		handle := handlers[next]
		next = min(next+1, len(handlers)-1)
		mutex.Unlock()
		handle(a, answer)
	}
}
