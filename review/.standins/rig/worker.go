package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a message at a worker.
type run struct {
	requestID string
	worker    string
	began     time.Time
	answered  time.Time // when the whole answer was written; zero if it was not
	limit     time.Duration
	stamp     string
	body      string
	orderKey  string
}

// runLog holds the runs of all workers.
type runLog struct {
	mutex sync.Mutex
	runs  []*run
}

// of returns copies of the runs of a message, in the order of their beginnings.
func (l *runLog) of(requestID string) []run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []run
	for _, each := range l.runs {
		if each.requestID == requestID {
			found = append(found, *each)
		}
	}
	return found
}

func (l *runLog) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.runs)
}

// worker is a stand-in of a worker: it works on capacity messages at a time, lets four times as many wait, and answers
// 503 with X-Not-Executed beyond that.
type worker struct {
	id, service, zone, address string
	capacity                   int
	work                       time.Duration
	slots                      chan struct{}
	waiting                    chan struct{}
	log                        *runLog
	record                     *record
}

// newWorker starts a worker at an address of its own.
func newWorker(ip, id, service, zone string, capacity int, work time.Duration, log *runLog, record *record) (*worker, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, address: listener.Addr().String(), capacity: capacity, work: work,
		slots: make(chan struct{}, capacity), waiting: make(chan struct{}, 5*capacity), log: log, record: record,
	}
	go func() { _ = http.Serve(listener, w) }()
	return w, nil
}

// ServeHTTP answers health checks and runs messages.
func (w *worker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	header := response.Header()
	header.Set("X-Instance-Id", w.id)
	if request.Method == http.MethodGet && request.URL.Path == "/health" {
		return
	}
	requestID := request.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", requestID)
	refuse := func(status int) {
		header.Set("X-Not-Executed", "1")
		response.WriteHeader(status)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if requestID == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	milliseconds, _ := strconv.ParseFloat(request.Header.Get("X-Deadline-Ms"), 64)
	limit := time.Duration(milliseconds * float64(time.Millisecond))
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	select {
	case w.waiting <- struct{}{}:
		defer func() { <-w.waiting }()
	default:
		refuse(http.StatusServiceUnavailable)
		return
	}
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	case <-deadline.C:
		refuse(http.StatusServiceUnavailable)
		return
	case <-request.Context().Done():
		return
	}
	w.run(response, request, requestID, string(body), limit, deadline)
}

// run works on a message and answers it. It drops the message when the connection closes.
func (w *worker) run(
	response http.ResponseWriter, request *http.Request, requestID, body string, limit time.Duration, deadline *time.Timer,
) {
	this := &run{requestID: requestID, worker: w.id, began: time.Now(), limit: limit, body: body, orderKey: request.Header.Get("X-Order-Key")}
	w.log.mutex.Lock()
	w.log.runs = append(w.log.runs, this)
	this.stamp = fmt.Sprintf("%s.%06d", w.id, len(w.log.runs))
	w.log.mutex.Unlock()
	w.record.line("run     %s at %s begins", requestID, w.id)
	select {
	case <-time.After(w.work):
	case <-deadline.C:
		response.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-request.Context().Done():
		w.record.line("run     %s at %s is dropped, its connection closed", requestID, w.id)
		return
	}
	response.Header().Set("X-Server-Stamp", this.stamp)
	_, err := response.Write([]byte("done\n"))
	if err == nil {
		err = http.NewResponseController(response).Flush()
	}
	if err != nil {
		return
	}
	w.log.mutex.Lock()
	this.answered = time.Now()
	w.log.mutex.Unlock()
	w.record.line("run     %s at %s answered 200, stamp %s", requestID, w.id, this.stamp)
}
