package simcluster

import (
	"fmt"
	"slices"
	"time"
)

// Figures of the rules.
const (
	faultExcuse        = 4 * time.Second // how long a fault excuses what comes after it
	drainBound         = 3 * time.Second
	configurationBound = 3 * time.Second
	revertSlack        = 250 * time.Millisecond
	earlySlack         = 100 * time.Millisecond
	rateLimitWindow    = 5 * time.Second
	rateLimitOvershoot = 1.1
	rateLimitExtra     = 5
	answerMargin       = 50 * time.Millisecond // before the deadline, for a success that counts as read
	readTime           = 50 * time.Millisecond // an answer takes no longer to its reader
)

// Rule names what an auditor checks. The values are the names that the operators' pages use.
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

// Audit checks a history by all rules and returns the violations.
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

// audit is a history with indexes into it, and the violations that were found so far.
type audit struct {
	*History
	violations []Violation
	attempts   map[string]*Attempt
	arrivals   map[string][]*Arrival // by request id, sorted by time
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

// hadFault tells whether a fault that the filter counts lasted at some moment of a span.
func (a *audit) hadFault(from, until time.Duration, counts func(fault *Fault) bool) bool {
	return slices.ContainsFunc(a.Faults, func(fault Fault) bool {
		ended := fault.Until != 0 && fault.Until < from
		return counts(&fault) && fault.From <= until && !ended
	})
}

// faultFree tells whether no fault lasted at a moment, or within faultExcuse before it.
func (a *audit) faultFree(at time.Duration) bool {
	return !a.hadFault(at-faultExcuse, at, func(*Fault) bool { return true })
}

// ending is when and how a message ended.
type ending struct {
	at   time.Duration
	dead bool // without a success
}

// endingOf returns when a message ended according to the rules; false where it has not ended.
func (a *audit) endingOf(attempt *Attempt) (ending, bool) {
	earliest, ended := ending{}, false
	note := func(at time.Duration, dead bool) {
		if !ended || at < earliest.at {
			earliest, ended = ending{at: at, dead: dead}, true
		}
	}
	failures := 0
	for _, arrival := range a.arrivals[attempt.RequestID] {
		switch arrival.Result {
		case Succeeded:
			note(arrival.EndedAt, false)
		case Rejected:
			note(arrival.EndedAt, true)
		case Failed:
			if failures++; failures >= a.attemptsOf(attempt) {
				note(arrival.EndedAt, true)
			}
		}
	}
	if at, dropped := a.droppedAt(attempt); dropped {
		note(at, true)
	}
	if at := attempt.FirstSent + a.retentionOf(attempt); at <= a.End {
		note(at, true)
	}
	return earliest, ended
}

// attemptsOf returns the smallest number of failed attempts after which some configuration gives a message up.
func (a *audit) attemptsOf(attempt *Attempt) int {
	least := 0
	for i := range a.Changes {
		if route := a.Changes[i].Configuration.Route(attempt.Route); route != nil {
			if least == 0 || route.MaxAttempts < least {
				least = route.MaxAttempts
			}
		}
	}
	return max(least, 1)
}

// retentionOf returns the shortest time for which some configuration keeps a message.
func (a *audit) retentionOf(attempt *Attempt) time.Duration {
	least := time.Duration(0)
	for i := range a.Changes {
		if route := a.Changes[i].Configuration.Route(attempt.Route); route != nil {
			if least == 0 || route.Retention < least {
				least = route.Retention
			}
		}
	}
	return least
}

// droppedAt returns when a configuration may first have dropped a message's route after the message was sent. A
// change that was refused drops nothing.
func (a *audit) droppedAt(attempt *Attempt) (time.Duration, bool) {
	for i := range a.Changes {
		change := &a.Changes[i]
		if change.mayBeInForce() && change.Configuration.Route(attempt.Route) == nil && a.later(change, attempt) {
			return max(change.SentAt, attempt.SentAt), true
		}
	}
	return 0, false
}

// later tells whether a change may have come into force after a message was sent.
func (a *audit) later(change *ConfigurationChange, attempt *Attempt) bool {
	if change.SentAt >= attempt.SentAt {
		return true
	}
	return change.AnsweredAt == 0 || change.Status != statusOK || change.AnsweredAt+configurationBound >= attempt.SentAt
}

// mayBeInForce tells whether a change was not conclusively refused.
func (c *ConfigurationChange) mayBeInForce() bool {
	return c.Status == statusOK || c.Status == statusNoResponse
}
