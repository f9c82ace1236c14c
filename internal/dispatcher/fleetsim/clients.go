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
func (d *simulation) scheduleArrivals(seed uint64) {
	arrivals := d.arrivals(seed)
	var next func()
	next = func() {
		a, ok := arrivals()
		if d.allArrived = !ok; !ok {
			return
		}
		d.schedule(a.At-d.now, func() {
			q := d.accounting.newRequest(a)
			q.arrived, q.dispatcher = d.now, d.dispatchers[a.Dispatcher]
			d.openRequests++
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
func (d *simulation) finishRequest(q *request, verdict requestOutcome) {
	if q.ended {
		d.result.Violations[violationTwoAnswers]++
		return
	}
	q.ended = true
	d.openRequests--
	d.result.addEnded(d.scenario, q, verdict, d.now-q.arrived)
}

// retry lets a client send its request again, if it does so, and tells whether.
func (d *simulation) retry(q *request, after time.Duration) bool {
	wait := ms(d.load.Retries.WaitMs)
	if d.load.Retries.HonourRetryAfter {
		wait = max(wait, after)
	}
	if q.retriesLeft <= 0 || d.now+wait >= q.deadline {
		return false
	}
	q.retriesLeft--
	d.result.Retries++
	d.schedule(wait, func() { q.dispatcher.accept(q, true) })
	return true
}
