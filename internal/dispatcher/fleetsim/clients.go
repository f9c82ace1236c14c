package fleetsim

import (
	"time"
)

// request is what one client wants, over all its attempts to get it.
type request struct {
	class, tenant int
	work          float64 // seconds on a core of speed 1
	arrived       time.Duration
	deadline      time.Duration // at which the client gives up
	dedupKey      uint64
	retriesLeft   int
	withinQuota   bool // its tenant's quota
	dispatcher    *dispatcher
	ended         bool
}

// scheduleArrivals lets all requests arrive, each of which schedules the next one.
func (sim *simulation) scheduleArrivals(seed uint64) {
	arrivals := sim.arrivals(seed)
	var next func()
	next = func() {
		a, ok := arrivals()
		if sim.allArrived = !ok; !ok {
			return
		}
		sim.schedule(a.At-sim.now, func() {
			q := sim.accounting.newRequest(a)
			q.arrived, q.dispatcher = sim.now, sim.dispatchers[a.Dispatcher]
			sim.openRequests++
			next()
			q.dispatcher.accept(q, false)
		})
	}
	next()
}

// quotaBucket is a leaky bucket for a tenant's quota, two seconds of it deep.
type quotaBucket struct {
	used float64
	at   time.Duration
}

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

// finishRequest is a request's one final end, as its client sees it.
func (sim *simulation) finishRequest(q *request, verdict requestOutcome) {
	if q.ended {
		sim.result.Violations[violationTwoAnswers]++
		return
	}
	q.ended = true
	sim.openRequests--
	sim.result.addEnded(sim.scenario, q, verdict, sim.now-q.arrived)
}

// retry lets a client send its request again, if it does so, and tells whether.
func (sim *simulation) retry(q *request, after time.Duration) bool {
	wait := ms(sim.load.Retries.WaitMs)
	if sim.load.Retries.HonourRetryAfter {
		wait = max(wait, after)
	}
	if q.retriesLeft <= 0 || sim.now+wait >= q.deadline {
		return false
	}
	q.retriesLeft--
	sim.result.Retries++
	sim.schedule(wait, func() { q.dispatcher.accept(q, true) })
	return true
}
