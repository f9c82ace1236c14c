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

// Service returns the share of the offered value that was earned, or 1 if none was offered.
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
	result := &Result{Violations: map[string]int{}, Classes: make([]Tally, len(s.Classes)), Tenants: make([]Tally, len(s.Tenants)),
		Kinds: make([]WorkerStats, len(s.Kinds)), Seconds: make([]Tally, int(math.Ceil(s.load.Seconds)))}
	for _, g := range s.Workers {
		result.Kinds[s.kindIndex[g.Kind]].Count += g.Count
	}
	return result
}

// tallies returns the tallies in which a request counts.
func (r *Result) tallies(req *request) []*Tally {
	out := []*Tally{&r.Total, &r.Classes[req.class], &r.Seconds[min(int(req.arrived.Seconds()), len(r.Seconds)-1)]}
	if req.withinQuota {
		out = append(out, &r.Tenants[req.tenant])
	}
	return out
}

// value returns the value that a request earns if it is answered in time.
func (s *scenario) value(req *request) float64 {
	earned := s.Classes[req.class].Value
	if !req.withinQuota {
		earned *= s.OverQuotaValue
	}
	return earned
}

func (r *Result) addOffered(s *scenario, req *request) {
	for _, t := range r.tallies(req) {
		t.OfferedValue += s.value(req)
		t.Jobs++
	}
}

func (r *Result) addOutcome(s *scenario, req *request, outcome requestOutcome, took time.Duration) {
	requestClass := &s.Classes[req.class]
	earned := 0.0
	inTime := outcome == served && took <= sec(requestClass.LatencyTargetSeconds+requestClass.Stretch*req.work)
	switch {
	case inTime:
		earned = s.value(req)
	case outcome == served:
		earned = s.value(req) * requestClass.LateValue
	}
	for _, t := range r.tallies(req) {
		t.EarnedValue += earned
		switch {
		case inTime:
			t.InTime++
		case outcome == served:
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
	worstClass, worstTenant := 1.0, 1.0
	for i := range r.Classes {
		worstClass = min(worstClass, r.Classes[i].Service())
	}
	for i := range r.Tenants {
		worstTenant = min(worstTenant, r.Tenants[i].Service())
	}
	r.Score = 0.4*r.Total.Service() + 0.15*r.WorstTenSeconds + 0.2*worstClass + 0.25*worstTenant
}
