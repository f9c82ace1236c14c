package delivery

import (
	"sync"

	"gladepick/internal/configuration"
	"gladepick/internal/message"
)

// event is an input of the event loop. Apply runs on the loop's goroutine.
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

type (
	configurationChanged struct{ table *configuration.Table }
	workersChanged       struct{}
	deliverersChanged    struct{ count int }
	submitted            struct {
		message    *message.Message
		failures   int
		generation uint64
	}
	released struct {
		partition  int
		generation uint64 // messages of an older one are dropped
	}
	resumed          struct{}
	partitionResumed struct{ partition int }
	attemptEnded     struct {
		attempt *attempt
		report  attemptReport
	}
)

func (ev configurationChanged) apply(e *Engine) { e.applyConfiguration(ev.table) }
func (workersChanged) apply(e *Engine)          { e.applyWorkers() }
func (ev deliverersChanged) apply(e *Engine)    { e.applyDeliverers(ev.count) }
func (ev submitted) apply(e *Engine)            { e.enqueue(ev.message, ev.failures, ev.generation) }
func (ev released) apply(e *Engine)             { e.dropPartition(ev.partition, ev.generation) }
func (resumed) apply(e *Engine)                 { e.recheckAll() }
func (ev partitionResumed) apply(e *Engine)     { e.parkedRecheckAt[ev.partition] = e.now() }
func (ev attemptEnded) apply(e *Engine)         { e.commitAttempt(ev.attempt, ev.report) }
