package soak

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Rule is a rule of the service.
type Rule string

// The rules that a play is judged by.
const (
	Lost     Rule = "LOST"    // an accepted message is gone, or stays queued for good
	Twice    Rule = "TWICE"   // a message runs again after its success
	Order    Rule = "ORDER"   // a message runs before an earlier one of its key has ended, or before its time
	Budget   Rule = "BUDGET"  // a message runs again after too many failures, or after it was refused for good
	Mixed    Rule = "MIXED"   // a message's bytes, key, state or stamp are not its own
	Ceiling  Rule = "CEILING" // a service gets more than its rate limit
	NoAnswer Rule = "ANSWER"  // a request that a front has read gets no answer
	Refused  Rule = "REFUSED" // a message runs although its client was promised that it will not
	Ended    Rule = "PROCESS" // a process ends by itself
)

// States that a front tells.
const (
	stateQueued    = "queued"
	stateCompleted = "completed"
	stateDead      = "dead_letter"
)

// Violation is a breach of a rule.
type Violation struct {
	Rule      Rule
	At        time.Duration
	RequestID string // of the message; empty where there is none
	Text      string
}

// String returns the rule, the time, the message and what happened, on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s %s", v.Rule, v.At.Seconds(), v.RequestID, v.Text)
}

// answerMargin is how long before the timeout a success must be complete to count.
const answerMargin = 50 * time.Millisecond

// budgetFactor: so many times max-attempts failures of a message are allowed.
const budgetFactor = 3

// Judge returns all breaches of rules in a history, in the order of their times.
func Judge(history *History) []Violation {
	j := &judge{history: history, runs: make(map[string][]*Run), attempts: make(map[string]*Attempt), ended: endings(history)}
	for i := range history.Attempts {
		j.attempts[history.Attempts[i].RequestID] = &history.Attempts[i]
	}
	for i := range history.Runs {
		run := &history.Runs[i]
		j.runs[run.RequestID] = append(j.runs[run.RequestID], run)
	}
	j.judgeRuns()
	j.judgeStates()
	j.judgeOrder()
	j.judgeCeilings()
	j.judgeAnswers()
	for _, exit := range history.Exits {
		j.report(Ended, exit.At, "", "%s ended by itself: %s", exit.Machine, exit.Reason)
	}
	slices.SortStableFunc(j.found, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return j.found
}

// judge holds a history against the rules.
type judge struct {
	history  *History
	attempts map[string]*Attempt
	runs     map[string][]*Run // by request ID, in the order of their beginnings
	ended    map[string]time.Duration
	found    []Violation
}

func (j *judge) report(rule Rule, at time.Duration, requestID, format string, arguments ...any) {
	j.found = append(j.found, Violation{Rule: rule, At: at, RequestID: requestID, Text: fmt.Sprintf(format, arguments...)})
}

// endings returns when messages have ended: at a success, at a refusal for good, or at the last failure of the budget.
func endings(history *History) map[string]time.Duration {
	ended := make(map[string]time.Duration)
	failures := make(map[string]int)
	for i := range history.Runs {
		run := &history.Runs[i]
		if _, found := ended[run.RequestID]; found {
			continue
		}
		switch run.Status {
		case http.StatusOK, http.StatusUnprocessableEntity:
			ended[run.RequestID] = run.AnsweredAt
		case http.StatusInternalServerError:
			if failures[run.RequestID]++; failures[run.RequestID] >= maxAttempts {
				ended[run.RequestID] = run.AnsweredAt
			}
		}
	}
	return ended
}

// unplanned reports whether an unplanned trouble was in effect in a span.
func (j *judge) unplanned(from, until time.Duration) bool {
	return slices.ContainsFunc(j.history.Faults, func(fault Fault) bool {
		return !propertiesOf[fault.Kind].planned && fault.From <= until && fault.Until >= from
	})
}

// judgeRuns judges the runs of each message: repeats, the time of the first one, contents and failures.
func (j *judge) judgeRuns() {
	for requestID, runs := range j.runs {
		attempt := j.attempts[requestID]
		if attempt == nil {
			continue // its request was still under way at the end
		}
		if promisesNotTaken(attempt.Status) {
			j.report(Refused, runs[0].BeganAt, requestID, "ran although %s had answered %d", attempt.Front, attempt.Status)
		}
		j.judgeContents(attempt, runs)
		j.judgeRepeats(runs)
		j.judgeBudget(runs)
		due := attempt.SentAt + attempt.Delay
		if began := runs[0].BeganAt; attempt.Delay > 0 && began < due-milliseconds(earlyMS) {
			j.report(Order, began, requestID, "began %v before its delay was over", due-began)
		}
	}
}

// judgeContents checks that the worker got the message's own bytes and key.
func (j *judge) judgeContents(attempt *Attempt, runs []*Run) {
	for _, run := range runs {
		if run.BodyHash != attempt.BodyHash {
			j.report(Mixed, run.BeganAt, run.RequestID, "%s got another body", run.Worker)
		}
		if !bytes.Equal(run.OrderKey, attempt.OrderKey) {
			j.report(Mixed, run.BeganAt, run.RequestID, "%s got the order key %q, %q was sent", run.Worker, run.OrderKey, attempt.OrderKey)
		}
	}
}

// judgeRepeats looks for runs after a success that the system has read, without a trouble that excuses them.
func (j *judge) judgeRepeats(runs []*Run) {
	for i, first := range runs {
		isSuccess := first.Status == http.StatusOK && first.AnsweredAt-first.BeganAt+answerMargin <= first.Limit
		if !isSuccess {
			continue
		}
		for _, again := range runs[i+1:] {
			after := first.AnsweredAt + answerMargin // the answer was on its way
			if again.BeganAt > after && !j.unplanned(again.BeganAt-milliseconds(contactMS), again.BeganAt) {
				j.report(Twice, again.BeganAt, again.RequestID, "ran again at %s after its success at %.3f s", again.Worker, first.AnsweredAt.Seconds())
			}
		}
		return
	}
}

// judgeBudget looks for runs after too many failures, or after a refusal for good.
func (j *judge) judgeBudget(runs []*Run) {
	failures, refusals := 0, 0
	for _, run := range runs {
		if failures >= budgetFactor*maxAttempts || refusals >= budgetFactor {
			j.report(Budget, run.BeganAt, run.RequestID, "ran again after %d failures and %d refusals", failures, refusals)
			return
		}
		switch run.Status {
		case http.StatusInternalServerError:
			failures++
		case http.StatusUnprocessableEntity:
			refusals++
		}
	}
}

// judgeStates judges what the fronts say at the end of each accepted message.
func (j *judge) judgeStates() {
	for i := range j.history.States {
		state := &j.history.States[i]
		attempt := j.attempts[state.RequestID]
		endedAt, hasEnded := j.ended[state.RequestID]
		switch {
		case state.State == "":
			j.report(Lost, j.history.End, state.RequestID, "no front tells its state (%d)", state.Status)
		case state.State == stateCompleted && !j.hasStamp(state):
			j.report(Mixed, j.history.End, state.RequestID, "is completed with the stamp %q of no run", state.Stamp)
		case !hasEnded && state.State != stateQueued:
			j.report(Lost, j.history.End, state.RequestID, "has not ended, and is %s", state.State)
		case !hasEnded:
			j.report(Lost, j.history.End, state.RequestID, "stays queued; it was due at %.3f s", (attempt.SentAt + attempt.Delay).Seconds())
		case state.State == stateQueued && !j.unplanned(endedAt-milliseconds(contactMS), endedAt):
			j.report(Lost, j.history.End, state.RequestID, "is queued, and ended at %.3f s", endedAt.Seconds())
		}
		if state.State == stateQueued || state.State == stateDead {
			j.judgeBody(attempt, state)
		}
	}
}

// hasStamp reports whether a state has the stamp of a successful run.
func (j *judge) hasStamp(state *FinalState) bool {
	return slices.ContainsFunc(j.runs[state.RequestID], func(run *Run) bool {
		return run.Status == http.StatusOK && run.Stamp == state.Stamp
	})
}

func (j *judge) judgeBody(attempt *Attempt, state *FinalState) {
	switch {
	case state.BodyStatus != http.StatusOK:
		j.report(Lost, j.history.End, state.RequestID, "is %s, and its body does not come back (%d)", state.State, state.BodyStatus)
	case state.BodyHash != attempt.BodyHash:
		j.report(Mixed, j.history.End, state.RequestID, "is %s, and another body comes back", state.State)
	}
}

// judgeOrder looks for messages that began before an earlier one of their order key had ended: one that was accepted
// before they were sent.
func (j *judge) judgeOrder() {
	byKey := make(map[string][]*Attempt)
	for i := range j.history.Attempts {
		attempt := &j.history.Attempts[i]
		if len(attempt.OrderKey) > 0 {
			byKey[string(attempt.OrderKey)] = append(byKey[string(attempt.OrderKey)], attempt)
		}
	}
	for _, attempts := range byKey {
		slices.SortFunc(attempts, func(a, b *Attempt) int { return cmp.Compare(a.SentAt, b.SentAt) })
		for i, later := range attempts {
			if runs := j.runs[later.RequestID]; len(runs) > 0 {
				j.judgeOrderOf(later, runs[0], attempts[:i])
			}
		}
	}
}

// judgeOrderOf reports the first earlier message of a key that had not ended when a later one began.
func (j *judge) judgeOrderOf(later *Attempt, run *Run, earlier []*Attempt) {
	for _, before := range earlier {
		if !before.accepted() || before.AnsweredAt > later.SentAt {
			continue
		}
		endedAt, hasEnded := j.ended[before.RequestID]
		if !hasEnded || endedAt > run.BeganAt {
			j.report(Order, run.BeganAt, later.RequestID, "began before %s of the same key had ended", before.RequestID)
			return
		}
	}
}

// judgeCeilings counts the arrivals at a limited service in each window that lies in the span of the limit.
func (j *judge) judgeCeilings() {
	const window = ceilingWindowS * time.Second
	for _, limit := range j.history.Limits {
		allowed := limit.PerSecond*ceilingWindowS*ceilingOvershoot + 5
		var arrivals []time.Duration
		for i := range j.history.Runs {
			run := &j.history.Runs[i]
			attempt := j.attempts[run.RequestID]
			if attempt != nil && string(attempt.Route) == limit.Service && run.BeganAt >= limit.From && run.BeganAt <= limit.Until {
				arrivals = append(arrivals, run.BeganAt)
			}
		}
		for first, last := 0, 0; last < len(arrivals); last++ {
			for arrivals[last]-arrivals[first] > window {
				first++
			}
			if count := last - first + 1; float64(count) > allowed {
				j.report(Ceiling, arrivals[last], "", "%d arrivals at %s within %v", count, limit.Service, window)
				break
			}
		}
	}
}

// judgeAnswers looks for requests that got no answer although no unplanned trouble was near. A connection that ends soon
// after the request was sent may have ended before it was read.
func (j *judge) judgeAnswers() {
	for i := range j.history.Attempts {
		attempt := &j.history.Attempts[i]
		took := attempt.AnsweredAt - attempt.SentAt
		isCut := attempt.Status == 0 && took > milliseconds(lossSlackMS) && took < clientDeadline-answerMargin
		if isCut && !j.unplanned(attempt.SentAt-milliseconds(contactMS), attempt.AnsweredAt) {
			j.report(NoAnswer, attempt.AnsweredAt, attempt.RequestID, "%s ended the connection after %v without an answer", attempt.Front, took)
		}
	}
}
