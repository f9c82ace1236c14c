// What a day came to: the service score as the brief counts it, and what
// stood in the way of more.

package fleetsim

import (
	"math"
	"time"
)

type requestOutcome uint8

const (
	served requestOutcome = iota
	rejected
	failed
)

// Tally is worth asked and earned, and requests by how they ended.
type Tally struct {
	OfferedValue float64 `json:"asked"`  // worth
	EarnedValue  float64 `json:"earned"` // worth
	Jobs         int     `json:"jobs"`
	InTime       int     `json:"in_time"`
	Late         int     `json:"late"`
	Failed       int     `json:"lost"` // refused or failed for good
}

// Service is the share of the worth that was earned; 1 where none was asked.
func (t *Tally) Service() float64 {
	if t.OfferedValue == 0 {
		return 1
	}
	return t.EarnedValue / t.OfferedValue
}

// WorkerStats is what the machines of a kind did.
type WorkerStats struct {
	Count               int     `json:"count"`
	Completed           int     `json:"done"`
	Utilization         float64 `json:"busy"`    // share of the slots' time at work
	RejectedJobs        int     `json:"full"`    // jobs turned away by a full waiting room
	RejectedConnections int     `json:"no_conn"` // connections turned away
}

// Result is what a day came to.
type Result struct {
	Score                float64        `json:"score"` // as the brief weighs it
	Total                Tally          `json:"whole"`
	Classes              []Tally        `json:"classes"`
	Tenants              []Tally        `json:"universities"` // within their shares
	Seconds              []Tally        `json:"seconds"`      // by the second in which the request came
	Kinds                []WorkerStats  `json:"kinds"`
	WorstTenSeconds      float64        `json:"worst_10_s"`
	Requests             int            `json:"tries"`
	Retries              int            `json:"repeats"`
	Rejections           int            `json:"refusals"` // by the module
	Overflowed           int            `json:"turned"`   // at the door: too many open jobs
	AttemptsSent         int            `json:"sent"`
	ConnectionsDialled   int            `json:"dialled"`
	CrossZoneAttempts    int            `json:"crossed"` // sends to another zone
	ConnectionsExhausted int            `json:"no_link"` // sends for which a dispatcher had no connection left
	PeakOpenJobs         int            `json:"open"`    // most open jobs at a dispatcher
	Outcomes             [9]int         `json:"outcomes"`
	Violations           map[string]int `json:"broken"` // rules, by name
	WorkSeconds          float64        `json:"worked"` // seconds on a core of speed 1
	Events               int            `json:"events"`
	Decisions            int            `json:"decisions"`
	Duration             time.Duration  `json:"span"`
	Stopped              bool           `json:"cut"`
}

func newResult(s *scenario) *Result {
	r := &Result{Violations: map[string]int{}, Classes: make([]Tally, len(s.Classes)), Tenants: make([]Tally, len(s.Tenants)),
		Kinds: make([]WorkerStats, len(s.Kinds)), Seconds: make([]Tally, int(math.Ceil(s.load.Seconds)))}
	for _, g := range s.Workers {
		r.Kinds[s.kindIndex[g.Kind]].Count += g.Count
	}
	return r
}

// tallies are those that a request counts in.
func (r *Result) tallies(q *request) []*Tally {
	out := []*Tally{&r.Total, &r.Classes[q.class], &r.Seconds[min(int(q.arrived.Seconds()), len(r.Seconds)-1)]}
	if q.withinQuota {
		out = append(out, &r.Tenants[q.tenant])
	}
	return out
}

// worth is what a request is worth in time.
func (s *scenario) value(q *request) float64 {
	w := s.Classes[q.class].Value
	if !q.withinQuota {
		w *= s.OverQuotaValue
	}
	return w
}

func (r *Result) addOffered(s *scenario, q *request) {
	for _, t := range r.tallies(q) {
		t.OfferedValue += s.value(q)
		t.Jobs++
	}
}

func (r *Result) addEnded(s *scenario, q *request, v requestOutcome, took time.Duration) {
	c := &s.Classes[q.class]
	worth := 0.0
	inTime := v == served && took <= sec(c.LatencyTargetSeconds+c.Stretch*q.work)
	switch {
	case inTime:
		worth = s.value(q)
	case v == served:
		worth = s.value(q) * c.LateValue
	}
	for _, t := range r.tallies(q) {
		t.EarnedValue += worth
		switch {
		case inTime:
			t.InTime++
		case v == served:
			t.Late++
		default:
			t.Failed++
		}
	}
}

// weigh gives the score: 40 % the whole, 15 % the worst 10 s, 20 % the worst class, 25 % the worst university within its
// share.
func (r *Result) computeScore() {
	r.WorstTenSeconds = 1
	width := min(10, len(r.Seconds))
	for i := 0; i+width <= len(r.Seconds); i++ {
		var t Tally
		for _, s := range r.Seconds[i : i+width] {
			t.OfferedValue += s.OfferedValue
			t.EarnedValue += s.EarnedValue
		}
		r.WorstTenSeconds = min(r.WorstTenSeconds, t.Service())
	}
	class, university := 1.0, 1.0
	for i := range r.Classes {
		class = min(class, r.Classes[i].Service())
	}
	for i := range r.Tenants {
		university = min(university, r.Tenants[i].Service())
	}
	r.Score = 0.4*r.Total.Service() + 0.15*r.WorstTenSeconds + 0.2*class + 0.25*university
}

// finish closes a day's book and looks for what must not be left.
func (d *simulation) closeAccounting() {
	r := d.result
	r.Duration = d.now
	r.computeScore()
	for _, w := range d.workers {
		w.advance()
		k := &r.Kinds[w.kindIndex]
		k.Utilization += w.busySlotSeconds / max(d.now.Seconds()*float64(w.kind.Slots)*float64(k.Count), 1e-9)
	}
	if left := d.openRequests; left > 0 && !r.Stopped {
		r.Violations["no answer"] += left
	}
	for _, n := range d.dispatchers {
		for _, t := range n.jobs {
			if !t.answered && !r.Stopped {
				r.Violations["no answer"]++
			}
		}
	}
}

// Accounting counts requests as they come and end, for days that are played elsewhere: on sockets.
type Accounting struct {
	scenario *scenario
	result   *Result
	buckets  []bucket
	requests uint64
}

func newAccounting(s *scenario) *Accounting {
	return &Accounting{scenario: s, result: newResult(s), buckets: make([]bucket, len(s.Tenants))}
}

// NewAccounting makes an accounting of a day of a fleet and a load.
func NewAccounting(f *Fleet, l *Load) (*Accounting, error) {
	s, err := newScenario(f, l)
	if err != nil {
		return nil, err
	}
	return newAccounting(s), nil
}

// RecordRequest notes that a request has come. Exactly one call of what it returns must follow, with its end.
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

// Result returns what the day came to.
func (b *Accounting) Result() *Result {
	b.result.computeScore()
	return b.result
}
