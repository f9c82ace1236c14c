package delivery

import (
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/decision"
)

const (
	usableConnections  = 0.9 // the share of a worker's connections that all callers use together
	slotOvercommit     = 1.5 // of a worker's capacity, by all callers together: some messages wait at the worker
	minSlots           = 2   // that each caller may use where the worker has them, or a backlog drains too slowly
	defaultConnections = 32  // where the service's definition states none
	maxIdleTimeout     = 4 * time.Second
	idleTimeoutShare   = 0.8 // of the time after which the worker closes idle connections
	misdirectedPause   = 2 * time.Second
	minEjection        = 50 * time.Millisecond
	maxEjection        = time.Second
)

// endpoint is one worker, or a service's static endpoint. Everything but unavailable belongs to the event loop.
type endpoint struct {
	worker      cluster.Worker
	static      bool
	workerID    decision.WorkerID
	zone        int
	unavailable atomic.Bool // it drains, has left or is another worker than expected: nothing may be sent to it

	inFlight         int           // attempts
	limit            int           // of attempts in flight
	crowded          bool          // the worker takes fewer connections than it has callers: none may stay open while idle
	backoff          time.Duration // how long the last ejection lasts
	ejectedUntil     time.Duration // its last attempts failed: its health is not reset before
	misdirectedUntil time.Duration // another worker answered at its address; 0 for no
	healthResetAt    time.Duration // when the decision module was last told to forget its failures
	idleTimeout      time.Duration
	transport        *http.Transport
}

// ready tells whether messages may be sent to it.
func (e *endpoint) ready() bool { return !e.unavailable.Load() }

// setLimit bounds the attempts in flight by the service's definition and the number of callers that share the worker. Where
// the worker takes fewer connections than there are callers, their idle ones would keep others out.
func (e *endpoint) setLimit(service *configuration.Service, share int, dial dialer) {
	connections := float64(defaultConnections)
	if service.MaxConnections > 0 {
		connections = float64(service.MaxConnections) * usableConnections
	}
	limit := math.Floor(connections / float64(share))
	crowded := limit < 1
	if e.worker.Capacity > 0 {
		slots := math.Ceil(float64(e.worker.Capacity) * slotOvercommit / float64(share))
		limit = min(limit, max(slots, min(minSlots, float64(e.worker.Capacity))))
	}
	if attempts := max(int(limit), 1); attempts != e.limit || crowded != e.crowded {
		e.limit, e.crowded = attempts, crowded
		e.renewTransport(dial)
	}
}

// renewTransport replaces the transport, as the limits of one in use can't change. Attempts in flight end at the old
// one, which closes its connections after them.
func (e *endpoint) renewTransport(dial dialer) {
	e.closeIdle()
	idle := e.idleTimeout
	if e.crowded {
		idle = 0
	}
	e.transport = newTransport(dial, e.limit, idle)
}

func (e *endpoint) closeIdle() {
	if e.transport != nil {
		e.transport.CloseIdleConnections()
	}
}

// shortenIdleTimeout has idle connections closed before the worker closes them.
func (e *endpoint) shortenIdleTimeout(keepAlive time.Duration, dial dialer) {
	idle := time.Duration(float64(keepAlive) * idleTimeoutShare)
	if keepAlive > 0 && idle < e.idleTimeout {
		e.idleTimeout = idle
		e.renewTransport(dial)
	}
}

// recordAnswer ends the endpoint's ejection and resets its backoff.
func (e *endpoint) recordAnswer() { e.backoff, e.ejectedUntil = 0, 0 }

// eject leaves the worker alone for a time that doubles with each ejection: it is full or silent or does not answer
// properly.
func (e *endpoint) eject(now time.Duration) {
	e.backoff = min(max(2*e.backoff, minEjection), maxEjection)
	e.ejectedUntil = now + e.backoff
}

// listEntry is the endpoint as the decision module's list has it.
func (e *endpoint) listEntry() decision.Entry {
	state := decision.Ready
	if !e.ready() {
		state = decision.Draining
	}
	return decision.Entry{Worker: e.workerID, Started: e.healthResetAt, Zone: e.zone,
		Weight: float64(max(e.worker.Capacity, 1)), State: state}
}
