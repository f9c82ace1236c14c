package simcluster

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// delivery is one request at a worker.
type delivery struct {
	worker   *Worker
	writer   http.ResponseWriter
	request  *http.Request
	id       string
	deadline *time.Timer
}

// outcome is the result of a delivery and the response to it.
type outcome struct {
	result Result
	status int
	stamp  string
}

// serve rejects a delivery or runs it.
func (d *delivery) serve() outcome {
	service := d.worker.service
	if expected := d.request.Header.Get("X-Expect-Instance"); expected != "" && expected != d.worker.entry.ID {
		return d.reject(http.StatusMisdirectedRequest)
	}
	if !service.admit() {
		return d.reject(http.StatusTooManyRequests)
	}
	if service.Deduplicates {
		if stamp := service.stampOf(d.id); stamp != "" {
			d.writer.Header().Set("X-Server-Stamp", stamp)
			return outcome{Repeated, http.StatusOK, stamp}
		}
		if !service.begin(d.id) {
			return d.reject(http.StatusConflict)
		}
		defer service.finish(d.id)
	}
	return d.awaitSlot()
}

// reject returns the outcome for a delivery that has not run. The header X-Not-Executed informs the sender of that.
func (d *delivery) reject(status int) outcome {
	d.writer.Header().Set("X-Not-Executed", "1")
	return outcome{result: NotRun, status: status}
}

// awaitSlot runs the delivery once the worker has a free slot. It rejects the delivery if the worker's queue is full,
// or if the deadline passes first.
func (d *delivery) awaitSlot() outcome {
	select {
	case d.worker.waiting <- struct{}{}:
	default:
		return d.reject(http.StatusServiceUnavailable)
	}
	defer func() { <-d.worker.waiting }()
	select {
	case d.worker.slots <- struct{}{}:
	case <-d.deadline.C:
		return d.reject(http.StatusServiceUnavailable)
	case <-d.request.Context().Done():
		return outcome{result: NotRun, status: http.StatusServiceUnavailable}
	}
	defer func() { <-d.worker.slots }()
	return d.work()
}

// work runs the delivery for a random time around the service's average, and returns its result.
func (d *delivery) work() outcome {
	service := d.worker.service
	random := service.cluster.random
	duration := time.Duration((0.5 + random.fraction()) * float64(service.Work))
	work := time.NewTimer(duration)
	defer work.Stop()
	select {
	case <-work.C:
	case <-d.deadline.C:
		return outcome{result: Overdue, status: http.StatusGatewayTimeout}
	case <-d.worker.abandoned(d.request):
		return outcome{result: Broken}
	}
	switch {
	case strings.Contains(d.request.RequestURI, scriptedResultQuery+scriptedReject):
		return outcome{result: Rejected, status: http.StatusUnprocessableEntity}
	case strings.Contains(d.request.RequestURI, scriptedResultQuery+scriptedFailure), random.fraction() < service.FailureShare:
		return outcome{result: Failed, status: http.StatusInternalServerError}
	}
	stamp := fmt.Sprintf("%s.%x", d.worker.entry.ID, random.uint64())
	service.storeStamp(d.id, stamp)
	d.writer.Header().Set("X-Server-Stamp", stamp)
	return outcome{Succeeded, http.StatusOK, stamp}
}

// abandoned returns a channel that is closed when the connection of a request ends; the worker then stops processing
// the message. For one worker of three it returns nil: these workers finish the message anyway.
func (w *Worker) abandoned(request *http.Request) <-chan struct{} {
	if w.number%persistentWorkerInterval == 0 {
		return nil
	}
	return request.Context().Done()
}
