package delivery

import (
	"sync"

	"gladepick/internal/configuration"
	"gladepick/internal/message"
)

// event is an input of the event loop. The method apply runs on the loop's goroutine.
type event interface{ apply(e *Engine) }

// eventQueue collects events for the event loop. It is unbounded: pushing never blocks.
type eventQueue struct {
	mutex  sync.Mutex // guards events and spare
	events []event
	spare  []event       // the slice that takeAll returned last, to be used again
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

// takeAll returns all events pushed so far. The slice is valid until the next call.
func (q *eventQueue) takeAll() []event {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	taken := q.events
	clear(q.spare)
	q.events, q.spare = q.spare[:0], taken
	return taken
}

// The events. Each is pushed by the exported method of its meaning; attemptEnded is pushed by the attempt's goroutine.
type (
	// configurationChanged brings a new configuration.
	configurationChanged struct{ table *configuration.Table }
	// workersChanged announces a list of workers that has been published to the endpoint set.
	workersChanged struct{}
	// rateDivisorChanged brings the divisor by which this store's part of each rate limit is computed.
	rateDivisorChanged struct{ count int }
	// submitted brings a message, with its failures so far and its partition's generation at that time.
	submitted struct {
		message    *message.Message
		failures   int
		generation uint64
	}
	// released ends the delivery of a partition's messages that are older than a generation.
	released struct {
		partition  int
		generation uint64
	}
	// resumed announces the end of a pause of all partitions.
	resumed struct{}
	// partitionResumed announces the end of a pause of one partition.
	partitionResumed struct{ partition int }
	// attemptEnded brings what came of an attempt. The owner of the messages has been notified of it.
	attemptEnded struct {
		attempt *attempt
		report  attemptReport
	}
)

func (ev configurationChanged) apply(e *Engine) { e.applyConfiguration(ev.table) }
func (workersChanged) apply(e *Engine)          { e.applyWorkers() }
func (ev rateDivisorChanged) apply(e *Engine)   { e.applyRateDivisor(ev.count) }
func (ev submitted) apply(e *Engine)            { e.enqueue(ev.message, ev.failures, ev.generation) }
func (ev released) apply(e *Engine)             { e.dropPartition(ev.partition, ev.generation) }
func (resumed) apply(e *Engine)                 { e.recheckAll() }
func (ev partitionResumed) apply(e *Engine)     { e.parkedRecheckAt[ev.partition] = e.now() }
func (ev attemptEnded) apply(e *Engine)         { e.applyAttemptReport(ev.attempt, ev.report) }
