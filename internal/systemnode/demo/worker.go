package demo

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	workerCount       = 2
	workerCapacity    = 16
	workerVersion     = "v1"
	headerTimeout     = 5 * time.Second
	headerRequestID   = "X-Request-Id"
	headerExpected    = "X-Expect-Instance"
	headerInstance    = "X-Instance-Id"
	headerStamp       = "X-Server-Stamp"
	headerNotExecuted = "X-Not-Executed"
)

// worker simulates a worker that processes each message successfully and without delay.
type worker struct {
	id      string
	address string
	zone    string
	done    atomic.Uint64
}

// ServeHTTP implements http.Handler. It serves health checks and deliveries. It rejects a delivery that is addressed to
// another worker.
func (w *worker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	header := response.Header()
	header.Set(headerInstance, w.id)
	header.Set(headerRequestID, request.Header.Get(headerRequestID))
	if request.URL.Path == healthPath {
		return
	}
	if expected := request.Header.Get(headerExpected); expected != "" && expected != w.id {
		header.Set(headerNotExecuted, "1")
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	header.Set(headerStamp, fmt.Sprintf("%s.%d", w.id, w.done.Add(1)))
}
