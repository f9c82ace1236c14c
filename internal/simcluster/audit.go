package simcluster

import (
	"fmt"
	"slices"
	"time"
)

// Time limits and tolerances of the rules.
const (
	faultGrace          = 4 * time.Second // time after a fault during which the rules still tolerate its effects
	drainBound          = 3 * time.Second
	configurationBound  = 3 * time.Second
	revertSlack         = 250 * time.Millisecond
	earlySlack          = 100 * time.Millisecond
	rateLimitWindow     = 5 * time.Second
	rateLimitOvershoot  = 1.1
	rateLimitExtra      = 5
	responseMargin      = 50 * time.Millisecond // before the deadline; a later success may not be read in time
	responseTransitTime = 50 * time.Millisecond // upper limit on the time between a worker's response and its receipt
)

// Rule is a guarantee of the service that Audit checks. The values are the names in the operators' documentation.
type Rule string

// The rules.
const (
	RuleLost           Rule = "LOST"
	RuleMixed          Rule = "MIXED"
	RuleOrder          Rule = "ORDER"
	RuleDuplicate      Rule = "TWICE"
	RuleRateLimit      Rule = "CEILING"
	RuleConfiguration  Rule = "CONFIG"
	RuleRefused        Rule = "REFUSED"
	RuleDrain          Rule = "DRAIN"
	RuleUnsolicited    Rule = "UNASKED"
	RuleEarly          Rule = "EARLY RUN"
	RuleUnexpectedExit Rule = "OWN END"
)

// Violation is one breach of a rule.
type Violation struct {
	Rule Rule
	At   time.Duration
	Text string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return fmt.Sprintf("%s at %v: %s", v.Rule, v.At, v.Text) }

// Audit checks a history against all rules and returns the violations.
func Audit(history *History) []Violation {
	a := newAudit(history)
	a.checkAccepted()
	a.checkOrder()
	a.checkDuplicates()
	a.checkRateLimits()
	a.checkRefused()
	a.checkDraining()
	a.checkUnsolicited()
	a.checkEarly()
	a.checkUnexpectedExits()
	a.checkStaleConfigurations()
	a.checkRegressions()
	a.checkRoutes()
	a.checkAcknowledgements()
	a.checkReadBack()
	a.checkLinearizable()
	return a.violations
}

// audit is a history with indexes into it, and the violations found so far.
type audit struct {
	*History
	violations []Violation
	attempts   map[string]*Attempt
	arrivals   map[string][]*Arrival // by request ID, sorted by time
}

func newAudit(history *History) *audit {
	a := &audit{History: history, attempts: make(map[string]*Attempt), arrivals: make(map[string][]*Arrival)}
	for i := range history.Attempts {
		a.attempts[history.Attempts[i].RequestID] = &history.Attempts[i]
	}
	for i := range history.Arrivals {
		arrival := &history.Arrivals[i]
		a.arrivals[arrival.RequestID] = append(a.arrivals[arrival.RequestID], arrival)
	}
	return a
}

func (a *audit) report(rule Rule, at time.Duration, format string, values ...any) {
	a.violations = append(a.violations, Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, values...)})
}

// hadFault reports whether a fault that the filter selects was in effect at any time between from and until.
func (a *audit) hadFault(from, until time.Duration, counts func(fault *Fault) bool) bool {
	return slices.ContainsFunc(a.Faults, func(fault Fault) bool {
		ended := fault.Until != 0 && fault.Until < from
		return counts(&fault) && fault.From <= until && !ended
	})
}

// faultFree reports whether no fault was in effect at a time, or within faultGrace before it.
func (a *audit) faultFree(at time.Duration) bool {
	return !a.hadFault(at-faultGrace, at, func(*Fault) bool { return true })
}

// ending holds the time at which a message ended and whether it failed.
type ending struct {
	at   time.Duration
	dead bool // without a success
}

// endingOf returns the earliest time at which a message ended by the rules. It returns false if it has not ended.
func (a *audit) endingOf(attempt *Attempt) (ending, bool) {
	earliest, found := ending{}, false
	record := func(at time.Duration, dead bool) {
		if !found || at < earliest.at {
			earliest, found = ending{at: at, dead: dead}, true
		}
	}
	failures := 0
	for _, arrival := range a.arrivals[attempt.RequestID] {
		switch arrival.Result {
		case Succeeded:
			record(arrival.EndedAt, false)
		case Rejected:
			record(arrival.EndedAt, true)
		case Failed:
			if failures++; failures >= a.minAttemptsOf(attempt) {
				record(arrival.EndedAt, true)
			}
		}
	}
	if at, dropped := a.droppedAt(attempt); dropped {
		record(at, true)
	}
	if at := attempt.FirstSent + a.minRetentionOf(attempt); at <= a.End {
		record(at, true)
	}
	return earliest, found
}

// minAttemptsOf returns the smallest number of failed attempts after which any configuration gives up a message.
func (a *audit) minAttemptsOf(attempt *Attempt) int {
	lowest := 0
	for i := range a.Changes {
		if route := a.Changes[i].Configuration.Route(attempt.Route); route != nil {
			if lowest == 0 || route.MaxAttempts < lowest {
				lowest = route.MaxAttempts
			}
		}
	}
	return max(lowest, 1)
}

// minRetentionOf returns the shortest time for which any configuration retains a message.
func (a *audit) minRetentionOf(attempt *Attempt) time.Duration {
	lowest := time.Duration(0)
	for i := range a.Changes {
		if route := a.Changes[i].Configuration.Route(attempt.Route); route != nil {
			if lowest == 0 || route.Retention < lowest {
				lowest = route.Retention
			}
		}
	}
	return lowest
}

// droppedAt returns when a change may first have dropped the route of a message after the message was sent. Changes
// that were refused do not count.
func (a *audit) droppedAt(attempt *Attempt) (time.Duration, bool) {
	for i := range a.Changes {
		change := &a.Changes[i]
		if change.mayBeInForce() && change.Configuration.Route(attempt.Route) == nil && a.mayTakeEffectAfter(change, attempt) {
			return max(change.SentAt, attempt.SentAt), true
		}
	}
	return 0, false
}

// mayTakeEffectAfter reports whether a change may have come into force after a message was sent.
func (a *audit) mayTakeEffectAfter(change *ConfigurationChange, attempt *Attempt) bool {
	if change.SentAt >= attempt.SentAt {
		return true
	}
	return change.AnsweredAt == 0 || change.Status != statusOK || change.AnsweredAt+configurationBound >= attempt.SentAt
}

// mayBeInForce reports whether a change may have been accepted: it was acknowledged, or no response was conclusive.
func (c *ConfigurationChange) mayBeInForce() bool {
	return c.Status == statusOK || c.Status == statusNoResponse
}
