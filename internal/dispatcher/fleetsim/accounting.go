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
func NewAccounting(fleet *Fleet, load *Load) (*Accounting, error) {
	s, err := newScenario(fleet, load)
	if err != nil {
		return nil, err
	}
	return newAccounting(s), nil
}

// RecordRequest counts a request that has arrived. The caller must call the returned function exactly once, when the
// request ends.
func (acc *Accounting) RecordRequest(arrival Arrival) (ended func(served bool, took time.Duration)) {
	req := acc.newRequest(arrival)
	return func(wasServed bool, took time.Duration) {
		outcome := failed
		if wasServed {
			outcome = served
		}
		acc.result.addOutcome(acc.scenario, req, outcome, took)
	}
}

// Result computes the score and returns the result.
func (acc *Accounting) Result() *Result {
	acc.result.computeScore()
	return acc.result
}

// newRequest creates the request of an arrival, and counts it as offered.
func (acc *Accounting) newRequest(arrival Arrival) *request {
	requestClass := &acc.scenario.Classes[arrival.Class]
	req := &request{class: arrival.Class, tenant: arrival.Tenant, work: arrival.WorkSeconds, arrived: arrival.At, deadline: arrival.At + sec(requestClass.DeadlineSeconds), retriesLeft: acc.scenario.load.Retries.Max}
	if acc.requests++; idempotencies[requestClass.Idempotency] == decision.Deduplicated {
		req.dedupKey = acc.requests
	}
	req.withinQuota = acc.buckets[req.tenant].take(arrival.At, acc.scenario.Tenants[req.tenant].RatePerSecond)
	acc.result.addOffered(acc.scenario, req)
	return req
}

// closeAccounting completes the result of a simulated day, and counts requests without an answer as violations.
func (sim *simulation) closeAccounting() {
	res := sim.result
	res.Duration = sim.now
	res.computeScore()
	for _, w := range sim.workers {
		w.advance()
		stats := &res.Kinds[w.kindIndex]
		stats.Utilization += w.busySlotSeconds / max(sim.now.Seconds()*float64(w.kind.Slots)*float64(stats.Count), 1e-9)
	}
	if unanswered := sim.openRequests; unanswered > 0 && !res.Stopped {
		res.Violations[violationNoAnswer] += unanswered
	}
	for _, d := range sim.dispatchers {
		for _, j := range d.jobs {
			if !j.answered && !res.Stopped {
				res.Violations[violationNoAnswer]++
			}
		}
	}
}
