package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
)

// Headers between the system, its clients and its workers.
const (
	headerRequestID      = "X-Request-Id"
	headerMessageID      = "X-Message-Id"
	headerOrderKey       = "X-Order-Key"
	headerDelay          = "X-Delay-Ms"
	headerDeadline       = "X-Deadline-Ms"
	headerInstanceID     = "X-Instance-Id"
	headerExpectInstance = "X-Expect-Instance"
	headerNotExecuted    = "X-Not-Executed"
	headerStamp          = "X-Server-Stamp"
	healthPath           = "/health"
)

// Last parts of a message's path, which tell the worker what to answer.
const (
	answerDone  = "done"  // success
	answerFails = "fails" // 500 each time
	answerNever = "never" // 422
)

// waitingPerSlot is how many messages wait for each slot of a worker before it answers 503.
const waitingPerSlot = 4

// worker is a stand-in of a worker: it works on capacity messages at a time, lets more of them wait, and answers 503 with
// X-Not-Executed beyond that.
type worker struct {
	id, service, zone string
	capacity          int
	work              time.Duration
	recorder          *recorder
	listener          net.Listener
	slots             chan struct{}
	admitted          chan struct{}
	misdirected       atomic.Bool // it answers 421
	stamps            atomic.Uint64
}

// newWorker starts a worker at an address of its own.
func newWorker(ip, id, service, zone string, capacity int, work time.Duration, recorder *recorder) (*worker, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	w := &worker{
		id: id, service: service, zone: zone, capacity: capacity, work: work, recorder: recorder, listener: listener,
		slots: make(chan struct{}, capacity), admitted: make(chan struct{}, (1+waitingPerSlot)*capacity),
	}
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Path(healthPath).Methods(http.MethodGet).HandlerFunc(w.serveHealth)
	router.PathPrefix("/").HandlerFunc(w.serveMessage)
	go func() { _ = http.Serve(listener, router) }()
	return w, nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

func (w *worker) serveHealth(response http.ResponseWriter, _ *http.Request) {
	response.Header().Set(headerInstanceID, w.id)
}

// serveMessage runs a message once a slot is free.
func (w *worker) serveMessage(response http.ResponseWriter, request *http.Request) {
	response.Header().Set(headerInstanceID, w.id)
	response.Header().Set(headerRequestID, request.Header.Get(headerRequestID))
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	expected := request.Header.Get(headerExpectInstance)
	switch {
	case request.Header.Get(headerRequestID) == "":
		refuse(response, http.StatusBadRequest)
		return
	case w.misdirected.Load() || expected != "" && expected != w.id:
		refuse(response, http.StatusMisdirectedRequest)
		return
	}
	limit := parseMilliseconds(request.Header.Get(headerDeadline))
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	if !w.admit() {
		refuse(response, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.admitted }()
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	case <-deadline.C:
		refuse(response, http.StatusServiceUnavailable)
		return
	case <-request.Context().Done():
		return
	}
	w.run(response, request, xxhash.Sum64(body), limit, deadline)
}

// admit reports whether the worker takes another message, to run it or to have it wait.
func (w *worker) admit() bool {
	select {
	case w.admitted <- struct{}{}:
		return true
	default:
		return false
	}
}

// run works on a message and answers it. It drops the message when the connection closes.
func (w *worker) run(
	response http.ResponseWriter, request *http.Request, bodyHash uint64, limit time.Duration, deadline *time.Timer,
) {
	index := w.recorder.beginRun(Run{
		RequestID: request.Header.Get(headerRequestID), Worker: w.id, Limit: limit, BodyHash: bodyHash,
		OrderKey: []byte(request.Header.Get(headerOrderKey)),
	})
	select {
	case <-time.After(w.work):
	case <-deadline.C:
		response.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-request.Context().Done():
		return
	}
	status, stamp := http.StatusOK, fmt.Sprintf("%s.%06d", w.id, w.stamps.Add(1))
	switch path.Base(request.URL.Path) {
	case answerFails:
		status, stamp = http.StatusInternalServerError, ""
	case answerNever:
		status, stamp = http.StatusUnprocessableEntity, ""
	}
	if stamp != "" {
		response.Header().Set(headerStamp, stamp)
	}
	response.WriteHeader(status)
	if http.NewResponseController(response).Flush() == nil {
		w.recorder.endRun(index, status, stamp)
	}
}

// refuse answers that a message was not run.
func refuse(response http.ResponseWriter, status int) {
	response.Header().Set(headerNotExecuted, "1")
	response.WriteHeader(status)
}

// parseMilliseconds returns the duration that a header names in milliseconds.
func parseMilliseconds(text string) time.Duration {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(number * float64(time.Millisecond))
}
