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

// checkAccepted checks that no accepted message is lost, and that its reported state is correct.
func (a *audit) checkAccepted() {
	responses := make(map[string]*StateResponse)
	for i := range a.StateResponses {
		responses[a.StateResponses[i].RequestID] = &a.StateResponses[i]
	}
	for i := range a.Attempts {
		attempt := &a.Attempts[i]
		if !attempt.Accepted() {
			continue
		}
		response := responses[attempt.RequestID]
		if response == nil || response.Status != statusOK {
			status := statusNoResponse
			if response != nil {
				status = response.Status
			}
			a.report(RuleLost, attempt.AnsweredAt, "%s (%s) was accepted, but the query for its state ended with status %d",
				attempt.RequestID, attempt.MessageID, status)
			continue
		}
		a.checkState(attempt, response)
	}
}

// checkState checks the reported state of an accepted message.
func (a *audit) checkState(attempt *Attempt, response *StateResponse) {
	end, hasEnded := a.endingOf(attempt)
	switch response.State {
	case stateCompleted:
		if !a.hasStamp(attempt, response.Stamp) {
			a.report(RuleMixed, attempt.AnsweredAt, "%s is completed with stamp %q, which no successful run returned",
				attempt.RequestID, response.Stamp)
		}
	case stateDeadLetter:
		if !hasEnded {
			a.report(RuleMixed, attempt.AnsweredAt, "%s (%s) is a dead letter, although it has not ended: %s",
				attempt.RequestID, attempt.MessageID, a.describeArrivals(attempt))
		} else if !end.dead {
			a.report(RuleMixed, attempt.AnsweredAt, "%s (%s) is a dead letter, although it succeeded first: %s",
				attempt.RequestID, attempt.MessageID, a.describeArrivals(attempt))
		}
		a.checkBody(attempt, response)
	case stateQueued:
		a.checkBody(attempt, response)
	default:
		a.report(RuleMixed, attempt.AnsweredAt, "%s has the unknown state %q", attempt.RequestID, response.State)
	}
}

// checkBody checks that the body of a message that has not completed can be read and is unchanged.
func (a *audit) checkBody(attempt *Attempt, response *StateResponse) {
	switch {
	case response.BodyStatus != statusOK:
		a.report(RuleLost, attempt.AnsweredAt, "%s (%s) is %s, but the query for its body ended with status %d",
			attempt.RequestID, attempt.MessageID, response.State, response.BodyStatus)
	case response.Body != attempt.Body:
		a.report(RuleMixed, attempt.AnsweredAt, "%s is %s with the body %q", attempt.RequestID, response.State,
			response.Body)
	}
}

// hasStamp reports whether a successful run of a message returned the stamp.
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

// checkOrder checks that messages with the same order key run one after another, in the order of their acceptance.
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

// checkKeyOrder reports messages that began to run before an earlier message with the same key had ended.
func (a *audit) checkKeyOrder(earlier *Attempt, attempts []*Attempt) {
	end, hasEnded := a.endingOf(earlier)
	for _, later := range attempts {
		if later.SentAt <= earlier.AnsweredAt {
			continue
		}
		for _, arrival := range a.arrivals[later.RequestID] {
			if arrival.Result.Ran() && (!hasEnded || arrival.At < end.at) {
				a.report(RuleOrder, arrival.At,
					"%s (%s, sent at %v) began to run before %s (%s, accepted at %v) had ended: %s",
					later.RequestID, later.MessageID, later.SentAt, earlier.RequestID, earlier.MessageID,
					earlier.AnsweredAt, a.describeArrivals(earlier))
			}
		}
	}
}

// checkDuplicates checks that no message runs again after a success that its sender has read, except close to an
// unplanned fault.
func (a *audit) checkDuplicates() {
	for id, arrivals := range a.arrivals {
		readAt := time.Duration(0)
		for _, arrival := range arrivals {
			if readAt > 0 && arrival.Result.Ran() && arrival.At > readAt && !a.faultExplainsRepeat(id, arrival) {
				a.report(RuleDuplicate, arrival.At, "%s ran again after its success at %v: %s", id, readAt,
					a.describeArrivals(&Attempt{RequestID: id}))
			}
			if readAt == 0 && a.wasRead(arrival) {
				readAt = arrival.EndedAt
			}
		}
	}
}

// wasRead reports whether an arrival ended in a success that was in time and that its sender could read.
func (a *audit) wasRead(arrival *Arrival) bool {
	if arrival.Result != Succeeded || arrival.Unread || arrival.EndedAt > arrival.At+arrival.Deadline-responseMargin {
		return false
	}
	return !a.hadFault(arrival.EndedAt, arrival.EndedAt+responseTransitTime, func(fault *Fault) bool {
		return fault.Machine == arrival.Sender
	})
}

// faultExplainsRepeat reports whether an unplanned fault was in effect between faultGrace before a run and the next
// arrival of the message.
func (a *audit) faultExplainsRepeat(id string, run *Arrival) bool {
	until := a.End
	for _, next := range a.arrivals[id] {
		if next.At > run.At {
			until = next.At
			break
		}
	}
	return a.hadFault(run.At-faultGrace, until, func(fault *Fault) bool { return !fault.Planned })
}

// checkRateLimits checks that no service receives more requests than its rate limit allows.
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

// checkRateLimit checks a sliding window over the sorted arrival times of a service.
func (a *audit) checkRateLimit(service string, times []time.Duration, allowed int) {
	for first, last := 0, 0; last < len(times); last++ {
		for times[last]-times[first] >= rateLimitWindow {
			first++
		}
		if count := last - first + 1; count > allowed {
			a.report(RuleRateLimit, times[last], "%s received %d requests in %v, but only %d are allowed", service,
				count, rateLimitWindow, allowed)
			return
		}
	}
}

// checkRefused checks that a message never runs if the response promised that it would not.
func (a *audit) checkRefused() {
	for i := range a.Attempts {
		attempt := &a.Attempts[i]
		if !attempt.Refused() {
			continue
		}
		for _, arrival := range a.arrivals[attempt.RequestID] {
			if arrival.Result.Ran() {
				a.report(RuleRefused, arrival.At, "%s was refused at %v with status %d, but ran", attempt.RequestID,
					attempt.AnsweredAt, attempt.Status)
			}
		}
	}
}

// checkDraining checks that workers that are draining or gone receive no new messages.
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
			a.report(RuleDrain, arrival.At,
				"%s received %s from %s, although the list has shown it as draining or gone since %v", arrival.Worker,
				arrival.RequestID, arrival.Sender, at)
		}
	}
}

// checkUnsolicited checks that workers receive only messages that clients have sent, and receive them unchanged.
func (a *audit) checkUnsolicited() {
	for i := range a.Arrivals {
		arrival := &a.Arrivals[i]
		attempt := a.attempts[arrival.RequestID]
		switch {
		case attempt == nil:
			a.report(RuleUnsolicited, arrival.At, "%s arrived at %s, but no client has sent it", arrival.RequestID,
				arrival.Worker)
		case arrival.Method != http.MethodPost || arrival.Path != attempt.Path || arrival.Body != attempt.Body:
			a.report(RuleUnsolicited, arrival.At, "%s arrived at %s with a changed request: %s %s %q",
				arrival.RequestID, arrival.Worker, arrival.Method, arrival.Path, arrival.Body)
		}
	}
}

// checkEarly checks that no message runs before its delay has passed.
func (a *audit) checkEarly() {
	for i := range a.Arrivals {
		arrival := &a.Arrivals[i]
		attempt := a.attempts[arrival.RequestID]
		if attempt != nil && arrival.Result.Ran() && arrival.At < attempt.SentAt+attempt.Delay-earlySlack {
			a.report(RuleEarly, arrival.At, "%s ran before its delay had passed: it was sent at %v with a delay of %v",
				arrival.RequestID, attempt.SentAt, attempt.Delay)
		}
	}
}

// checkUnexpectedExits checks that no process exits on its own, except during a fault of its machine.
func (a *audit) checkUnexpectedExits() {
	for _, exit := range a.UnexpectedExits {
		excused := a.hadFault(exit.At-time.Second, exit.At, func(fault *Fault) bool { return fault.Machine == exit.Machine })
		if !excused {
			a.report(RuleUnexpectedExit, exit.At, "the process of %s exited unexpectedly: %s", exit.Machine, exit.Reason)
		}
	}
}

// sortedRuns returns the arrivals that a worker began to run, sorted by time.
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
