package fleetsim

import (
	"math"
	"time"
)

// requestOutcome is how a request ended.
type requestOutcome uint8

const (
	served requestOutcome = iota
	rejected
	failed
)

// Rules that a day may violate, as Result.Violations names them.
const (
	// ViolationOverload counts workers that were overloaded during their slow start.
	ViolationOverload = "cold worker pushed over"

	violationTwoAnswers  = "two answers"
	violationNoAnswer    = "no answer"
	violationTwoAttempts = "two attempts at a time"
	violationNotReady    = "sent to a worker that is not ready"
	violationDeadline    = "deadline passed by the module"
	violationRanTwice    = "ran twice"
)

// Tally counts requests by how they ended, and sums the value that they offered and earned.
type Tally struct {
	OfferedValue float64 `json:"asked"`
	EarnedValue  float64 `json:"earned"`
	Jobs         int     `json:"jobs"`
	InTime       int     `json:"in_time"`
	Late         int     `json:"late"`
	Failed       int     `json:"lost"` // rejected or failed for good
}

// Service returns the share of the offered value that was earned; 1 where none was offered.
func (t *Tally) Service() float64 {
	if t.OfferedValue == 0 {
		return 1
	}
	return t.EarnedValue / t.OfferedValue
}

// WorkerStats sums up what the workers of a kind did.
type WorkerStats struct {
	Count               int     `json:"count"`
	Completed           int     `json:"done"`
	Utilization         float64 `json:"busy"`    // share of the slots' time that was in use
	RejectedJobs        int     `json:"full"`    // by workers with a full queue
	RejectedConnections int     `json:"no_conn"` // by workers at their limit of connections
}

// Result is the result of a day.
type Result struct {
	Score                float64        `json:"score"` // see computeScore
	Total                Tally          `json:"whole"`
	Classes              []Tally        `json:"classes"`
	Tenants              []Tally        `json:"universities"` // only requests within the tenants' quotas
	Seconds              []Tally        `json:"seconds"`      // by the second in which the request arrived
	Kinds                []WorkerStats  `json:"kinds"`
	WorstTenSeconds      float64        `json:"worst_10_s"`
	Requests             int            `json:"tries"`
	Retries              int            `json:"repeats"`
	Rejections           int            `json:"refusals"` // by the decision modules
	Overflowed           int            `json:"turned"`   // rejected by a dispatcher with too many open jobs
	AttemptsSent         int            `json:"sent"`
	ConnectionsDialled   int            `json:"dialled"`
	CrossZoneAttempts    int            `json:"crossed"` // to a worker in another zone
	ConnectionsExhausted int            `json:"no_link"` // attempts for which a dispatcher had no connection left
	PeakOpenJobs         int            `json:"open"`    // greatest number at one dispatcher
	Outcomes             [9]int         `json:"outcomes"`
	Violations           map[string]int `json:"broken"` // number of violations by rule
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

// tallies returns the tallies in which a request counts.
func (r *Result) tallies(q *request) []*Tally {
	out := []*Tally{&r.Total, &r.Classes[q.class], &r.Seconds[min(int(q.arrived.Seconds()), len(r.Seconds)-1)]}
	if q.withinQuota {
		out = append(out, &r.Tenants[q.tenant])
	}
	return out
}

// value returns the value that a request earns if it is answered in time.
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
	earned := 0.0
	inTime := v == served && took <= sec(c.LatencyTargetSeconds+c.Stretch*q.work)
	switch {
	case inTime:
		earned = s.value(q)
	case v == served:
		earned = s.value(q) * c.LateValue
	}
	for _, t := range r.tallies(q) {
		t.EarnedValue += earned
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

// computeScore computes the score as a weighted sum of service: 40 % for the whole day, 15 % for the worst ten seconds,
// 20 % for the worst class and 25 % for the worst tenant within its quota.
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
