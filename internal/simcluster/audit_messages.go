package simcluster

import (
	"cmp"
	"net/http"
	"slices"
	"time"
)

const (
	statusOK        = http.StatusOK
	stateQueued     = "queued"
	stateCompleted  = "completed"
	stateDeadLetter = "dead_letter"
)

// checkAccepted checks that no accepted message is lost, and that its reported state is true.
func (a *audit) checkAccepted() {
	answers := make(map[string]*StateResponse)
	for i := range a.StateResponses {
		answers[a.StateResponses[i].RequestID] = &a.StateResponses[i]
	}
	for i := range a.Attempts {
		attempt := &a.Attempts[i]
		if !attempt.Accepted() {
			continue
		}
		answer := answers[attempt.RequestID]
		if answer == nil || answer.Status != statusOK {
			status := statusNoResponse
			if answer != nil {
				status = answer.Status
			}
			a.report(RuleLost, attempt.AnsweredAt, "%s (%s) was accepted, its state can't be had: %d", attempt.RequestID, attempt.MessageID, status)
			continue
		}
		a.checkState(attempt, answer)
	}
}

// checkState checks the reported state of an accepted message.
func (a *audit) checkState(attempt *Attempt, answer *StateResponse) {
	ended, hasEnded := a.endingOf(attempt)
	switch answer.State {
	case stateCompleted:
		if !a.hasStamp(attempt, answer.Stamp) {
			a.report(RuleMixed, attempt.AnsweredAt, "%s is completed with the stamp %q of no successful run", attempt.RequestID, answer.Stamp)
		}
	case stateDeadLetter:
		if !hasEnded {
			a.report(RuleMixed, attempt.AnsweredAt, "%s (%s) is a dead letter and has not ended: %s", attempt.RequestID,
				attempt.MessageID, a.describeArrivals(attempt))
		} else if !ended.dead {
			a.report(RuleMixed, attempt.AnsweredAt, "%s (%s) is a dead letter and had succeeded before: %s", attempt.RequestID,
				attempt.MessageID, a.describeArrivals(attempt))
		}
		a.checkBody(attempt, answer)
	case stateQueued:
		a.checkBody(attempt, answer)
	default:
		a.report(RuleMixed, attempt.AnsweredAt, "%s has the state %q", attempt.RequestID, answer.State)
	}
}

// checkBody checks that the body of a message that has not completed can be read, and is unchanged.
func (a *audit) checkBody(attempt *Attempt, answer *StateResponse) {
	switch {
	case answer.BodyStatus != statusOK:
		a.report(RuleLost, attempt.AnsweredAt, "%s (%s) is %s, its body can't be had: %d", attempt.RequestID, attempt.MessageID,
			answer.State, answer.BodyStatus)
	case answer.Body != attempt.Body:
		a.report(RuleMixed, attempt.AnsweredAt, "%s is %s with the body %q", attempt.RequestID, answer.State, answer.Body)
	}
}

// hasStamp tells whether a successful run of a message carries a stamp.
func (a *audit) hasStamp(attempt *Attempt, stamp string) bool {
	return slices.ContainsFunc(a.arrivals[attempt.RequestID], func(arrival *Arrival) bool {
		return arrival.Result == Succeeded && arrival.Stamp == stamp && stamp != ""
	})
}

// describeArrivals lists the arrivals of a message, for the texts of violations.
func (a *audit) describeArrivals(attempt *Attempt) string {
	text := ""
	for _, arrival := range a.arrivals[attempt.RequestID] {
		text += arrival.At.String() + " " + arrival.Sender + ">" + arrival.Worker + " " + string(arrival.Result) + "; "
	}
	return text
}

// checkOrder checks that messages with one order key run one after the other, in the order of their acceptance.
func (a *audit) checkOrder() {
	keyed := make(map[[2]string][]*Attempt)
	for i := range a.Attempts {
		if attempt := &a.Attempts[i]; attempt.OrderKey != "" {
			key := [2]string{attempt.Route, attempt.OrderKey}
			keyed[key] = append(keyed[key], attempt)
		}
	}
	for _, attempts := range keyed {
		for _, earlier := range attempts {
			if earlier.Accepted() {
				a.checkKeyOrder(earlier, attempts)
			}
		}
	}
}

// checkKeyOrder finds messages that began before an earlier one with the same key had ended.
func (a *audit) checkKeyOrder(earlier *Attempt, attempts []*Attempt) {
	ended, hasEnded := a.endingOf(earlier)
	for _, later := range attempts {
		if later.SentAt <= earlier.AnsweredAt {
			continue
		}
		for _, arrival := range a.arrivals[later.RequestID] {
			if arrival.Result.Ran() && (!hasEnded || arrival.At < ended.at) {
				a.report(RuleOrder, arrival.At, "%s (%s, sent at %v) began before %s (%s, accepted at %v) had ended: %s",
					later.RequestID, later.MessageID, later.SentAt, earlier.RequestID, earlier.MessageID,
					earlier.AnsweredAt, a.describeArrivals(earlier))
			}
		}
	}
}

// checkDuplicates checks that no message runs again after a success that its sender has read, except near an
// unplanned fault.
func (a *audit) checkDuplicates() {
	for id, arrivals := range a.arrivals {
		read := time.Duration(0)
		for _, arrival := range arrivals {
			if read > 0 && arrival.Result.Ran() && arrival.At > read && !a.excusesRepeat(id, arrival) {
				a.report(RuleDuplicate, arrival.At, "%s runs again after the success at %v: %s", id, read,
					a.describeArrivals(&Attempt{RequestID: id}))
			}
			if read == 0 && a.wasRead(arrival) {
				read = arrival.EndedAt
			}
		}
	}
}

// wasRead tells whether an arrival ended in a success that was in time and that its sender was able to read.
func (a *audit) wasRead(arrival *Arrival) bool {
	if arrival.Result != Succeeded || arrival.Unread || arrival.EndedAt > arrival.At+arrival.Deadline-answerMargin {
		return false
	}
	return !a.hadFault(arrival.EndedAt, arrival.EndedAt+readTime, func(fault *Fault) bool {
		return fault.Machine == arrival.Sender
	})
}

// excusesRepeat tells whether an unplanned fault lasted between faultExcuse before a run and the message's next
// arrival.
func (a *audit) excusesRepeat(id string, run *Arrival) bool {
	until := a.End
	for _, next := range a.arrivals[id] {
		if next.At > run.At {
			until = next.At
			break
		}
	}
	return a.hadFault(run.At-faultExcuse, until, func(fault *Fault) bool { return !fault.Planned })
}

// checkRateLimits checks that no service gets more requests than its rate limit allows.
func (a *audit) checkRateLimits() {
	for _, service := range a.Services {
		if service.RatePerSecond <= 0 {
			continue
		}
		var times []time.Duration
		for i := range a.Arrivals {
			if a.Arrivals[i].Service == service.Name {
				times = append(times, a.Arrivals[i].At)
			}
		}
		slices.Sort(times)
		allowed := int(service.RatePerSecond*rateLimitWindow.Seconds()*rateLimitOvershoot) + rateLimitExtra
		a.checkRateLimit(service.Name, times, allowed)
	}
}

// checkRateLimit slides a window over the arrival times of a service, which are sorted.
func (a *audit) checkRateLimit(service string, times []time.Duration, allowed int) {
	for first, last := 0, 0; last < len(times); last++ {
		for times[last]-times[first] >= rateLimitWindow {
			first++
		}
		if count := last - first + 1; count > allowed {
			a.report(RuleRateLimit, times[last], "%s got %d requests in %v, %d are allowed", service, count, rateLimitWindow, allowed)
			return
		}
	}
}

// checkRefused checks that a message never runs after a response that promises so.
func (a *audit) checkRefused() {
	for i := range a.Attempts {
		attempt := &a.Attempts[i]
		if !attempt.Refused() {
			continue
		}
		for _, arrival := range a.arrivals[attempt.RequestID] {
			if arrival.Result.Ran() {
				a.report(RuleRefused, arrival.At, "%s was refused at %v with %d and ran", attempt.RequestID, attempt.AnsweredAt, attempt.Status)
			}
		}
	}
}

// checkDraining checks that workers that are draining, or gone, get no new messages.
func (a *audit) checkDraining() {
	shown := make(map[string]time.Duration)
	for _, departure := range a.Departures {
		if _, known := shown[departure.Worker]; !known {
			shown[departure.Worker] = departure.ShownAt
		}
	}
	for i := range a.Arrivals {
		arrival := &a.Arrivals[i]
		at, departs := shown[arrival.Worker]
		misdirected := arrival.Status == http.StatusMisdirectedRequest
		if departs && !misdirected && arrival.At > at+drainBound && a.faultFree(arrival.At) {
			a.report(RuleDrain, arrival.At, "%s got %s from %s; the list has shown it as draining since %v", arrival.Worker,
				arrival.RequestID, arrival.Sender, at)
		}
	}
}

// checkUnsolicited checks that workers run only what clients have sent, unchanged.
func (a *audit) checkUnsolicited() {
	for i := range a.Arrivals {
		arrival := &a.Arrivals[i]
		attempt := a.attempts[arrival.RequestID]
		switch {
		case attempt == nil:
			a.report(RuleUnsolicited, arrival.At, "%s at %s: no client has sent it", arrival.RequestID, arrival.Worker)
		case arrival.Method != http.MethodPost || arrival.Path != attempt.Path || arrival.Body != attempt.Body:
			a.report(RuleUnsolicited, arrival.At, "%s at %s: it was changed: %s %s %q", arrival.RequestID, arrival.Worker,
				arrival.Method, arrival.Path, arrival.Body)
		}
	}
}

// checkEarly checks that no message runs before its delay has passed.
func (a *audit) checkEarly() {
	for i := range a.Arrivals {
		arrival := &a.Arrivals[i]
		attempt := a.attempts[arrival.RequestID]
		if attempt != nil && arrival.Result.Ran() && arrival.At < attempt.SentAt+attempt.Delay-earlySlack {
			a.report(RuleEarly, arrival.At, "%s was sent at %v with a delay of %v", arrival.RequestID, attempt.SentAt, attempt.Delay)
		}
	}
}

// checkUnexpectedExits checks that no process exits on its own, except during a fault of its machine.
func (a *audit) checkUnexpectedExits() {
	for _, end := range a.UnexpectedExits {
		excused := a.hadFault(end.At-time.Second, end.At, func(fault *Fault) bool { return fault.Machine == end.Machine })
		if !excused {
			a.report(RuleUnexpectedExit, end.At, "the process of %s ended by itself: %s", end.Machine, end.Reason)
		}
	}
}

// sortedRuns returns the arrivals on which a worker began to work, sorted by time.
func (a *audit) sortedRuns() []*Arrival {
	var runs []*Arrival
	for i := range a.Arrivals {
		if a.Arrivals[i].Result.Ran() {
			runs = append(runs, &a.Arrivals[i])
		}
	}
	slices.SortStableFunc(runs, func(x, y *Arrival) int { return cmp.Compare(x.At, y.At) })
	return runs
}
