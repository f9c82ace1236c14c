// The clients of a day: arrivals, retries and ends of requests.

package fleetsim

import (
	"math"
	"sort"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"gladepick/internal/decision"
)

// request is what one client wants, over all its tries.
type request struct {
	class, tenant int
	work          float64 // seconds on a core of speed 1
	arrived       time.Duration
	deadline      time.Duration // when the client gives up
	dedupKey      uint64
	retriesLeft   int  // tries that may still follow
	withinQuota   bool // its university's share
	dispatcher    *dispatcher
	ended         bool
}

// rateAt is the rate of all universities without bursts.
func (s *scenario) rateAt(at float64) float64 {
	r := s.load.Rate
	i := sort.Search(len(r), func(i int) bool { return r[i].AtSeconds > at })
	switch {
	case i == 0:
		return r[0].PerSecond * s.load.Factor
	case i == len(r):
		return r[i-1].PerSecond * s.load.Factor
	}
	part := (at - r[i-1].AtSeconds) / (r[i].AtSeconds - r[i-1].AtSeconds)
	return (r[i-1].PerSecond + part*(r[i].PerSecond-r[i-1].PerSecond)) * s.load.Factor
}

// Arrival is a request as its client makes it.
type Arrival struct {
	At                        time.Duration
	Class, Tenant, Dispatcher int     // places in the descriptions; dispatchers are counted through their groups
	WorkSeconds               float64 // seconds on a core of speed 1
}

// Arrivals draws a day's requests one after the other, until the day is over: a Poisson process whose rate moves,
// thinned from its peak.
func Arrivals(f *Fleet, l *Load, seed uint64) (next func() (Arrival, bool), err error) {
	s, err := newScenario(f, l)
	if err != nil {
		return nil, err
	}
	return s.arrivals(seed), nil
}

func (s *scenario) arrivals(seed uint64) func() (Arrival, bool) {
	rng, work := newStream(seed, arrivalStream), newStream(seed, workStream)
	peak, sum, most, classes, weight, at := 0.0, 0.0, 1.0, 0.0, 0.0, 0.0
	for _, p := range s.load.Rate {
		peak = max(peak, p.PerSecond*s.load.Factor)
	}
	var shares, weights []float64 // cumulative
	for _, p := range s.tenantShares {
		sum += p
		shares = append(shares, sum)
	}
	for _, g := range s.Dispatchers {
		for range g.Count {
			weight += g.Share
			weights = append(weights, weight)
		}
	}
	for _, b := range s.load.Bursts {
		most += max(b.Factor-1, 0) * s.tenantShares[s.tenantIndex[b.Tenant]] / sum
	}
	peak *= most
	sizes := make([]func() float64, len(s.classLoads))
	for i, w := range s.classLoads {
		classes += w.Share
		sizes[i] = func() float64 { return w.WorkMs / 1000 }
		if w.CV > 0 {
			v := math.Log(1 + w.CV*w.CV)
			sizes[i] = distuv.LogNormal{Mu: math.Log(w.WorkMs/1000) - v/2, Sigma: math.Sqrt(v), Src: work}.Rand
		}
	}
	return func() (Arrival, bool) {
		for peak > 0 {
			if at += rng.ExpFloat64() / peak; at >= s.load.Seconds {
				break
			}
			// Who sends: the usual mix, or a university's burst on top of it.
			base := s.rateAt(at)
			x, who := rng.Float64()*peak, -1
			if x < base {
				who = min(sort.SearchFloat64s(shares, x/base*sum), len(shares)-1)
			} else {
				x -= base
				for _, b := range s.load.Bursts {
					if at >= b.StartSeconds && at < b.StartSeconds+b.DurationSeconds && who < 0 {
						t := s.tenantIndex[b.Tenant]
						if x -= base * s.tenantShares[t] / sum * max(b.Factor-1, 0); x < 0 {
							who = t
						}
					}
				}
			}
			if who < 0 {
				continue
			}
			a := Arrival{At: sec(at), Tenant: who, Dispatcher: min(sort.SearchFloat64s(weights, rng.Float64()*weight), len(weights)-1)}
			for u := rng.Float64() * classes; a.Class < len(s.classLoads)-1 && u >= s.classLoads[a.Class].Share; a.Class++ {
				u -= s.classLoads[a.Class].Share
			}
			a.WorkSeconds = sizes[a.Class]()
			return a, true
		}
		return Arrival{}, false
	}
}

// request makes a client's request of an arrival and books it.
func (b *Accounting) newRequest(a Arrival) *request {
	c := &b.scenario.Classes[a.Class]
	q := &request{class: a.Class, tenant: a.Tenant, work: a.WorkSeconds, arrived: a.At, deadline: a.At + sec(c.DeadlineSeconds), retriesLeft: b.scenario.load.Retries.Max}
	if b.requests++; idempotencies[c.Idempotency] == decision.Deduplicated {
		q.dedupKey = b.requests
	}
	q.withinQuota = b.buckets[q.tenant].take(a.At, b.scenario.Tenants[q.tenant].RatePerSecond)
	b.result.addOffered(b.scenario, q)
	return q
}

// clients lets all requests come, one after the other.
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

// bucket counts what a university may send within its share: two seconds of it at a time.
type bucket struct {
	used float64
	at   time.Duration
}

func (b *bucket) take(now time.Duration, perSec float64) bool {
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

// end is a request's one final end, seen by its client.
func (d *simulation) finishRequest(q *request, verdict requestOutcome) {
	if q.ended {
		d.result.Violations["two answers"]++
		return
	}
	q.ended = true
	d.openRequests--
	d.result.addEnded(d.scenario, q, verdict, d.now-q.arrived)
}

// again lets a client try once more, if it does; it tells whether.
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
