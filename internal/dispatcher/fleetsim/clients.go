package fleetsim

import (
	"time"
)

// request is a client's request, over all its tries.
type request struct {
	class, tenant int
	work          float64 // seconds on a core of speed 1
	arrived       time.Duration
	deadline      time.Duration // at which the client gives up
	dedupKey      uint64
	retriesLeft   int
	withinQuota   bool // within its tenant's quota when it arrived
	dispatcher    *dispatcher
	ended         bool
}

// scheduleArrivals schedules the first arrival. Each arrival schedules the next one.
func (sim *simulation) scheduleArrivals(seed uint64) {
	arrivals := sim.arrivals(seed)
	var next func()
	next = func() {
		a, ok := arrivals()
		if sim.allArrived = !ok; !ok {
			return
		}
		sim.schedule(a.At-sim.now, func() {
			req := sim.accounting.newRequest(a)
			req.arrived, req.dispatcher = sim.now, sim.dispatchers[a.Dispatcher]
			sim.openRequests++
			next()
			req.dispatcher.accept(req, false)
		})
	}
	next()
}

// quotaBucket is a leaky bucket for a tenant's quota. It holds the quota of two seconds.
type quotaBucket struct {
	used float64
	at   time.Duration
}

// take counts a request at the time now, and reports whether it is within the quota. A rate of 0 or less means no
// limit.
func (b *quotaBucket) take(now time.Duration, perSec float64) bool {
	if perSec <= 0 {
		return true
	}
	b.used = max(b.used-perSec*(now-b.at).Seconds(), 0)
	b.at = now
	if b.used+1 > 2*perSec+1 {
		return false
	}
	b.used++
	return true
}

// finishRequest records a request's final outcome, as its client sees it. A second outcome is counted as a violation.
func (sim *simulation) finishRequest(req *request, outcome requestOutcome) {
	if req.ended {
		sim.result.Violations[violationTwoAnswers]++
		return
	}
	req.ended = true
	sim.openRequests--
	sim.result.addOutcome(sim.scenario, req, outcome, sim.now-req.arrived)
}

// retry schedules the client's next try, and reports whether there is one: the client must have retries left, and its
// deadline must lie after the wait.
func (sim *simulation) retry(req *request, retryAfter time.Duration) bool {
	wait := ms(sim.load.Retries.WaitMs)
	if sim.load.Retries.HonourRetryAfter {
		wait = max(wait, retryAfter)
	}
	if req.retriesLeft <= 0 || sim.now+wait >= req.deadline {
		return false
	}
	req.retriesLeft--
	sim.result.Retries++
	sim.schedule(wait, func() { req.dispatcher.accept(req, true) })
	return true
}
