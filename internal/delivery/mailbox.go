package delivery

import (
	"sync"

	"gladepick/internal/configuration"
	"gladepick/internal/message"
)

// event is something that the loop is told.
type event interface{ apply(e *Engine) }

// mailbox collects events for the loop. Posting never blocks.
type mailbox struct {
	mutex  sync.Mutex
	events []event
	spare  []event
	wake   chan struct{}
}

// post appends an event and wakes the loop.
func (m *mailbox) post(posted event) {
	m.mutex.Lock()
	m.events = append(m.events, posted)
	m.mutex.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// take returns all events posted so far. The slice is valid until the next take.
func (m *mailbox) take() []event {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	taken := m.events
	clear(m.spare)
	m.events, m.spare = m.spare[:0], taken
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
		generation uint64 // messages of an older one are forgotten
	}
	resumed          struct{}
	partitionResumed struct{ partition int }
	attemptEnded     struct {
		attempt *attempt
		result  result
	}
)

func (ev configurationChanged) apply(e *Engine) { e.applyConfiguration(ev.table) }
func (workersChanged) apply(e *Engine)          { e.applyWorkers() }
func (ev deliverersChanged) apply(e *Engine)    { e.applyDeliverers(ev.count) }
func (ev submitted) apply(e *Engine)            { e.accept(ev.message, ev.failures, ev.generation) }
func (ev released) apply(e *Engine)             { e.forgetPartition(ev.partition, ev.generation) }
func (resumed) apply(e *Engine)                 { e.lookAtParked() }
func (ev partitionResumed) apply(e *Engine)     { e.parkedAt[ev.partition] = e.now() }
func (ev attemptEnded) apply(e *Engine)         { e.finishAttempt(ev.attempt, ev.result) }
