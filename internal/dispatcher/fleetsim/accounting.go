package fleetsim

import (
	"time"

	"gladepick/internal/decision"
)

// Accounting counts requests as they arrive and end. Simulate uses one; other packages use it for days that run on real
// sockets. It is not safe for concurrent use.
type Accounting struct {
	scenario *scenario
	result   *Result
	buckets  []quotaBucket
	requests uint64
}

func newAccounting(s *scenario) *Accounting {
	return &Accounting{scenario: s, result: newResult(s), buckets: make([]quotaBucket, len(s.Tenants))}
}

// NewAccounting returns the accounting of a day that a fleet and a load describe. It returns an error if these are
// invalid.
func NewAccounting(f *Fleet, l *Load) (*Accounting, error) {
	s, err := newScenario(f, l)
	if err != nil {
		return nil, err
	}
	return newAccounting(s), nil
}

// RecordRequest counts a request that has arrived. The caller must call the returned function exactly once, when the
// request ends.
func (b *Accounting) RecordRequest(a Arrival) (ended func(served bool, took time.Duration)) {
	q := b.newRequest(a)
	return func(ok bool, took time.Duration) {
		v := failed
		if ok {
			v = served
		}
		b.result.addEnded(b.scenario, q, v, took)
	}
}

// Result computes the score and returns the result.
func (b *Accounting) Result() *Result {
	b.result.computeScore()
	return b.result
}

// newRequest creates the request of an arrival, and counts it as offered.
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

// closeAccounting completes the result of a simulated day, and counts requests without an answer as violations.
func (sim *simulation) closeAccounting() {
	r := sim.result
	r.Duration = sim.now
	r.computeScore()
	for _, w := range sim.workers {
		w.advance()
		k := &r.Kinds[w.kindIndex]
		k.Utilization += w.busySlotSeconds / max(sim.now.Seconds()*float64(w.kind.Slots)*float64(k.Count), 1e-9)
	}
	if left := sim.openRequests; left > 0 && !r.Stopped {
		r.Violations[violationNoAnswer] += left
	}
	for _, n := range sim.dispatchers {
		for _, t := range n.jobs {
			if !t.answered && !r.Stopped {
				r.Violations[violationNoAnswer]++
			}
		}
	}
}
