package simcluster

import (
	"fmt"
	"slices"
	"time"
)

// Figures of the rules.
const (
	contact            = 4 * time.Second // trouble excuses for so long
	drainBound         = 3 * time.Second
	configurationBound = 3 * time.Second
	revertSlack        = 250 * time.Millisecond
	earlySlack         = 100 * time.Millisecond
	ceilingWindow      = 5 * time.Second
	ceilingOvershoot   = 1.1
	ceilingExtra       = 5
	answerMargin       = 50 * time.Millisecond // before the deadline, for a success that counts as read
	readTime           = 50 * time.Millisecond // an answer takes no longer to its reader
)

// Rule names what an auditor watches.
type Rule string

// The rules.
const (
	RuleLost          Rule = "LOST"
	RuleMixed         Rule = "MIXED"
	RuleOrder         Rule = "ORDER"
	RuleTwice         Rule = "TWICE"
	RuleCeiling       Rule = "CEILING"
	RuleConfiguration Rule = "CONFIG"
	RuleRefused       Rule = "REFUSED"
	RuleDrain         Rule = "DRAIN"
	RuleUnasked       Rule = "UNASKED"
	RuleEarly         Rule = "EARLY RUN"
	RuleOwnEnd        Rule = "OWN END"
)

// Violation is a rule broken.
type Violation struct {
	Rule Rule
	At   time.Duration
	Text string
}

// String describes the violation.
func (v Violation) String() string { return fmt.Sprintf("%s at %v: %s", v.Rule, v.At, v.Text) }

// Audit judges a history by all rules.
func Audit(history *History) []Violation {
	a := newAudit(history)
	a.accepted()
	a.order()
	a.twice()
	a.ceilings()
	a.refused()
	a.draining()
	a.unasked()
	a.early()
	a.ownEnds()
	a.lateConfigurations()
	a.regressions()
	a.missingRoutes()
	a.acknowledgements()
	a.readBack()
	a.linearizable()
	return a.violations
}

// audit is a history in the making of its judgement.
type audit struct {
	*History
	violations []Violation
	tries      map[string]*Try
	arrivals   map[string][]*Arrival // by request id, in order
}

func newAudit(history *History) *audit {
	a := &audit{History: history, tries: make(map[string]*Try), arrivals: make(map[string][]*Arrival)}
	for i := range history.Tries {
		a.tries[history.Tries[i].RequestID] = &history.Tries[i]
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

// troubled tells whether a trouble that a filter names lasted at some moment of a span.
func (a *audit) troubled(from, until time.Duration, counts func(trouble *Trouble) bool) bool {
	return slices.ContainsFunc(a.Troubles, func(trouble Trouble) bool {
		ended := trouble.Until != 0 && trouble.Until < from
		return counts(&trouble) && trouble.From <= until && !ended
	})
}

// calm tells whether no trouble of any kind lasted at a moment, or in the span of contact before it.
func (a *audit) calm(at time.Duration) bool {
	return !a.troubled(at-contact, at, func(*Trouble) bool { return true })
}

// ending is when a message ended, and by what.
type ending struct {
	at   time.Duration
	dead bool // without a success
}

// endingOf returns when a message ended by its rule; false where it has not.
func (a *audit) endingOf(try *Try) (ending, bool) {
	earliest, ended := ending{}, false
	note := func(at time.Duration, dead bool) {
		if !ended || at < earliest.at {
			earliest, ended = ending{at: at, dead: dead}, true
		}
	}
	failures := 0
	for _, arrival := range a.arrivals[try.RequestID] {
		switch arrival.Result {
		case Succeeded:
			note(arrival.EndedAt, false)
		case Rejected:
			note(arrival.EndedAt, true)
		case Failed:
			if failures++; failures >= a.attemptsOf(try) {
				note(arrival.EndedAt, true)
			}
		}
	}
	if at, dropped := a.droppedAt(try); dropped {
		note(at, true)
	}
	if at := try.FirstSent + a.retentionOf(try); at <= a.End {
		note(at, true)
	}
	return earliest, ended
}

// attemptsOf returns the smallest number of failed attempts after which any configuration gives a message up.
func (a *audit) attemptsOf(try *Try) int {
	least := 0
	for i := range a.Orders {
		if route := a.Orders[i].Configuration.Route(try.Route); route != nil {
			if least == 0 || route.MaxAttempts < least {
				least = route.MaxAttempts
			}
		}
	}
	return max(least, 1)
}

func (a *audit) retentionOf(try *Try) time.Duration {
	least := time.Duration(0)
	for i := range a.Orders {
		if route := a.Orders[i].Configuration.Route(try.Route); route != nil {
			if least == 0 || route.Retention < least {
				least = route.Retention
			}
		}
	}
	return least
}

// droppedAt returns when a configuration may first have dropped a message's route after it was sent. An order that
// was refused drops nothing.
func (a *audit) droppedAt(try *Try) (time.Duration, bool) {
	for i := range a.Orders {
		order := &a.Orders[i]
		if order.mayBeInForce() && order.Configuration.Route(try.Route) == nil && a.later(order, try) {
			return max(order.SentAt, try.SentAt), true
		}
	}
	return 0, false
}

// later tells whether an order may have come into force after a message was sent.
func (a *audit) later(order *Order, try *Try) bool {
	if order.SentAt >= try.SentAt {
		return true
	}
	return order.AnsweredAt == 0 || order.Status != statusOK || order.AnsweredAt+configurationBound >= try.SentAt
}

// mayBeInForce tells whether an order was not clearly refused.
func (o *Order) mayBeInForce() bool { return o.Status == statusOK || o.Status == statusNoAnswer }
