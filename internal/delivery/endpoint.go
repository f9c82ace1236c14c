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
	usableConnectionShare = 0.9 // fraction of a worker's connections that all callers together use
	slotOvercommit        = 1.5 // multiple of a worker's capacity that all callers use; the excess waits at the worker
	minSlots              = 2   // per caller, if the worker has them; with fewer, a backlog drains too slowly
	defaultConnections    = 32  // if the definition of the service states none
	maxIdleTimeout        = 4 * time.Second
	idleTimeoutShare      = 0.8                   // fraction of the time after which the worker closes idle connections
	misdirectedPause      = 2 * time.Second       // after another worker responded at the address
	minEjection           = 50 * time.Millisecond // doubles with each consecutive ejection
	maxEjection           = time.Second
)

// endpoint is a worker, or the static endpoint of a service. The event loop owns all fields except unavailable.
type endpoint struct {
	worker      cluster.Worker
	static      bool
	workerID    decision.WorkerID
	zone        int
	unavailable atomic.Bool // it drains, has left, or is not the expected worker: nothing may be sent to it

	inFlight         int           // attempts
	limit            int           // of attempts in flight
	oversubscribed   bool          // fewer connections than callers: no connection stays open while idle
	backoff          time.Duration // duration of the last ejection
	ejectedUntil     time.Duration // its last attempts failed: its health is not reset earlier
	misdirectedUntil time.Duration // another worker responded at its address; 0 if none did
	healthResetAt    time.Duration // when the decision module last received a reset of its health
	idleTimeout      time.Duration
	transport        *http.Transport
}

// ready reports whether messages may be sent to the endpoint.
func (e *endpoint) ready() bool { return !e.unavailable.Load() }

// setLimit limits the attempts in flight by the definition of the service and by the number of callers that share the
// worker. If the worker accepts fewer connections than it has callers, the idle connections of some callers would lock
// out the others, so they are closed.
func (e *endpoint) setLimit(service *configuration.Service, callers int, dial dialer) {
	connections := float64(defaultConnections)
	if service.MaxConnections > 0 {
		connections = float64(service.MaxConnections) * usableConnectionShare
	}
	limit := math.Floor(connections / float64(callers))
	oversubscribed := limit < 1
	if e.worker.Capacity > 0 {
		slots := math.Ceil(float64(e.worker.Capacity) * slotOvercommit / float64(callers))
		limit = min(limit, max(slots, min(minSlots, float64(e.worker.Capacity))))
	}
	if attempts := max(int(limit), 1); attempts != e.limit || oversubscribed != e.oversubscribed {
		e.limit, e.oversubscribed = attempts, oversubscribed
		e.renewTransport(dial)
	}
}

// renewTransport replaces the transport, because the limits of a transport in use cannot be changed. Attempts in flight
// finish on the old transport, which closes its connections after them.
func (e *endpoint) renewTransport(dial dialer) {
	e.closeIdle()
	idle := e.idleTimeout
	if e.oversubscribed {
		idle = 0
	}
	e.transport = newTransport(dial, e.limit, idle)
}

func (e *endpoint) closeIdle() {
	if e.transport != nil {
		e.transport.CloseIdleConnections()
	}
}

// shortenIdleTimeout shortens the idle time-out, if necessary, so that the store closes idle connections before the
// worker does.
func (e *endpoint) shortenIdleTimeout(keepAlive time.Duration, dial dialer) {
	idle := time.Duration(float64(keepAlive) * idleTimeoutShare)
	if keepAlive > 0 && idle < e.idleTimeout {
		e.idleTimeout = idle
		e.renewTransport(dial)
	}
}

// recordResponse ends the ejection of the endpoint and resets its backoff.
func (e *endpoint) recordResponse() { e.backoff, e.ejectedUntil = 0, 0 }

// eject excludes the endpoint from health resets for a time that doubles with each consecutive ejection. It is called
// when the worker is full or did not respond properly.
func (e *endpoint) eject(now time.Duration) {
	e.backoff = min(max(2*e.backoff, minEjection), maxEjection)
	e.ejectedUntil = now + e.backoff
}

// listEntry returns the entry of the endpoint in the decision module's list of workers.
func (e *endpoint) listEntry() decision.Entry {
	state := decision.Ready
	if !e.ready() {
		state = decision.Draining
	}
	return decision.Entry{Worker: e.workerID, Started: e.healthResetAt, Zone: e.zone,
		Weight: float64(max(e.worker.Capacity, 1)), State: state}
}
