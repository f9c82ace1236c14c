package delivery

import (
	"sync"

	"gladepick/internal/configuration"
	"gladepick/internal/message"
)

// event is an input of the event loop. The loop calls apply on its goroutine.
type event interface{ apply(e *Engine) }

// eventQueue collects events for the event loop. It is unbounded, so push never blocks.
type eventQueue struct {
	mutex  sync.Mutex // guards events and spare
	events []event
	spare  []event       // the slice that takeAll returned last; reused by the next call
	wake   chan struct{} // holds one signal while events wait
}

// push appends an event and wakes the loop.
func (q *eventQueue) push(pushed event) {
	q.mutex.Lock()
	q.events = append(q.events, pushed)
	q.mutex.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all events pushed so far. The slice is valid until the next call.
func (q *eventQueue) takeAll() []event {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	taken := q.events
	clear(q.spare)
	q.events, q.spare = q.spare[:0], taken
	return taken
}

// The exported method that causes an event pushes it; attemptEnded is pushed by the goroutine of the attempt.
type (
	// configurationChanged carries a new configuration.
	configurationChanged struct{ table *configuration.Table }
	// workersChanged announces that a list of workers has been published to the endpoint set.
	workersChanged struct{}
	// rateDivisorChanged carries the number by which the rate limit of each service is divided.
	rateDivisorChanged struct{ divisor int }
	// submitted carries a message, its failures so far, and the generation of its partition at the time of Submit.
	submitted struct {
		message    *message.Message
		failures   int
		generation uint64
	}
	// released drops the messages of a partition that are older than the generation.
	released struct {
		partition  int
		generation uint64
	}
	// resumed announces the end of a pause of all partitions.
	resumed struct{}
	// partitionResumed announces the end of a pause of one partition.
	partitionResumed struct{ partition int }
	// attemptEnded carries the result of an attempt. The owner has already been notified of it.
	attemptEnded struct {
		attempt *attempt
		report  attemptReport
	}
)

func (ev configurationChanged) apply(e *Engine) { e.applyConfiguration(ev.table) }
func (workersChanged) apply(e *Engine)          { e.applyWorkers() }
func (ev rateDivisorChanged) apply(e *Engine)   { e.applyRateDivisor(ev.divisor) }
func (ev submitted) apply(e *Engine)            { e.enqueue(ev.message, ev.failures, ev.generation) }
func (ev released) apply(e *Engine)             { e.dropPartition(ev.partition, ev.generation) }
func (resumed) apply(e *Engine)                 { e.recheckAll() }
func (ev partitionResumed) apply(e *Engine)     { e.parkedRecheckAt[ev.partition] = e.now() }
func (ev attemptEnded) apply(e *Engine)         { e.applyAttemptReport(ev.attempt, ev.report) }
