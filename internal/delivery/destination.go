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
	connectionPart     = 0.9 // of a worker's connections, by all callers together
	slotPart           = 1.5 // of a worker's capacity, by all callers together: some messages wait at the worker
	leastSlots         = 2   // that each caller may use where the worker has them, or a backlog drains too slowly
	defaultConnections = 32  // where the service states none
	longestIdleTime    = 4 * time.Second
	idlePart           = 0.8 // of the time after which the worker closes idle connections
	wrongSpan          = 2 * time.Second
	shortestAvoidance  = 50 * time.Millisecond
	longestAvoidance   = time.Second
)

// destination is one worker, or a service's static endpoint. All but leaving belongs to the loop.
type destination struct {
	worker  cluster.Worker
	static  bool
	number  decision.WorkerID
	zone    int
	leaving atomic.Bool // it drains, has left or is another worker than expected: nothing may be sent to it

	flying     int
	limit      int
	avoidFor   time.Duration
	avoidUntil time.Duration // its last attempts failed: doubts of the decision module are not cleared before
	wrongUntil time.Duration // another worker answered at its address
	renewed    time.Duration // when doubts were cleared last
	idleTime   time.Duration
	transport  *http.Transport
}

// ready tells whether messages may be sent to it.
func (d *destination) ready() bool { return !d.leaving.Load() }

// setLimit bounds the destination's own attempts by the service's definition and the number of callers.
func (d *destination) setLimit(service *configuration.Service, share int, dial dialer) {
	connections := float64(defaultConnections)
	if service.MaxConnections > 0 {
		connections = float64(service.MaxConnections) * connectionPart
	}
	limit := math.Floor(connections / float64(share))
	if d.worker.Capacity > 0 {
		slots := math.Ceil(float64(d.worker.Capacity) * slotPart / float64(share))
		limit = min(limit, max(slots, min(leastSlots, float64(d.worker.Capacity))))
	}
	if whole := max(int(limit), 1); whole != d.limit {
		d.limit = whole
		d.renewTransport(dial)
	}
}

// renewTransport replaces the transport, as the limits of one in use can't change. Attempts in flight end at the old
// one, which closes its connections after them.
func (d *destination) renewTransport(dial dialer) {
	d.closeIdle()
	d.transport = newTransport(dial, d.limit, d.idleTime)
}

func (d *destination) closeIdle() {
	if d.transport != nil {
		d.transport.CloseIdleConnections()
	}
}

// learnIdleTime keeps idle connections for less than the worker does.
func (d *destination) learnIdleTime(keepAlive time.Duration, dial dialer) {
	idle := time.Duration(float64(keepAlive) * idlePart)
	if keepAlive > 0 && idle < d.idleTime {
		d.idleTime = idle
		d.renewTransport(dial)
	}
}

// answered notes that the worker is there and works.
func (d *destination) answered() { d.avoidFor, d.avoidUntil = 0, 0 }

// troubled notes that the worker is full or silent or does not answer properly.
func (d *destination) troubled(now time.Duration) {
	d.avoidFor = min(max(2*d.avoidFor, shortestAvoidance), longestAvoidance)
	d.avoidUntil = now + d.avoidFor
}

// entry is the destination as the decision module's list has it.
func (d *destination) entry() decision.Entry {
	state := decision.Ready
	if !d.ready() {
		state = decision.Draining
	}
	return decision.Entry{Worker: d.number, Started: d.renewed, Zone: d.zone,
		Weight: float64(max(d.worker.Capacity, 1)), State: state}
}
