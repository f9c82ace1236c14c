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

// accepted sees to it that no accepted message is lost, and that what is said of it is true.
func (a *audit) accepted() {
	answers := make(map[string]*StateAnswer)
	for i := range a.Answers {
		answers[a.Answers[i].RequestID] = &a.Answers[i]
	}
	for i := range a.Tries {
		try := &a.Tries[i]
		if !try.Accepted() {
			continue
		}
		answer := answers[try.RequestID]
		if answer == nil || answer.Status != statusOK {
			status := statusNoAnswer
			if answer != nil {
				status = answer.Status
			}
			a.report(RuleLost, try.AnsweredAt, "%s (%s) was accepted, its state can't be had: %d", try.RequestID, try.MessageID, status)
			continue
		}
		a.checkState(try, answer)
	}
}

func (a *audit) checkState(try *Try, answer *StateAnswer) {
	ended, hasEnded := a.endingOf(try)
	switch answer.State {
	case stateCompleted:
		if !a.hasStamp(try, answer.Stamp) {
			a.report(RuleMixed, try.AnsweredAt, "%s is completed with the stamp %q of no successful run", try.RequestID, answer.Stamp)
		}
	case stateDeadLetter:
		if !hasEnded {
			a.report(RuleMixed, try.AnsweredAt, "%s (%s) is a dead letter and has not ended: %s", try.RequestID,
				try.MessageID, a.describeArrivals(try))
		} else if !ended.dead {
			a.report(RuleMixed, try.AnsweredAt, "%s (%s) is a dead letter and had succeeded before: %s", try.RequestID,
				try.MessageID, a.describeArrivals(try))
		}
		a.checkBody(try, answer)
	case stateQueued:
		a.checkBody(try, answer)
	default:
		a.report(RuleMixed, try.AnsweredAt, "%s has the state %q", try.RequestID, answer.State)
	}
}

func (a *audit) checkBody(try *Try, answer *StateAnswer) {
	switch {
	case answer.BodyStatus != statusOK:
		a.report(RuleLost, try.AnsweredAt, "%s (%s) is %s, its body can't be had: %d", try.RequestID, try.MessageID,
			answer.State, answer.BodyStatus)
	case answer.Body != try.Body:
		a.report(RuleMixed, try.AnsweredAt, "%s is %s with the body %q", try.RequestID, answer.State, answer.Body)
	}
}

func (a *audit) hasStamp(try *Try, stamp string) bool {
	return slices.ContainsFunc(a.arrivals[try.RequestID], func(arrival *Arrival) bool {
		return arrival.Result == Succeeded && arrival.Stamp == stamp && stamp != ""
	})
}

func (a *audit) describeArrivals(try *Try) string {
	text := ""
	for _, arrival := range a.arrivals[try.RequestID] {
		text += arrival.At.String() + " " + arrival.Sender + ">" + arrival.Worker + " " + string(arrival.Result) + "; "
	}
	return text
}

// order sees to it that messages with one key run one after the other, in the order of their acceptance.
func (a *audit) order() {
	keyed := make(map[[2]string][]*Try)
	for i := range a.Tries {
		if try := &a.Tries[i]; try.OrderKey != "" {
			key := [2]string{try.Route, try.OrderKey}
			keyed[key] = append(keyed[key], try)
		}
	}
	for _, tries := range keyed {
		for _, earlier := range tries {
			if earlier.Accepted() {
				a.checkOrder(earlier, tries)
			}
		}
	}
}

// checkOrder looks for messages that began although an earlier one with their key had not ended.
func (a *audit) checkOrder(earlier *Try, tries []*Try) {
	ended, hasEnded := a.endingOf(earlier)
	for _, later := range tries {
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

// twice sees to it that no message runs again after a success that its sender has read, unless there was unplanned
// trouble.
func (a *audit) twice() {
	for id, arrivals := range a.arrivals {
		read := time.Duration(0)
		for _, arrival := range arrivals {
			if read > 0 && arrival.Result.Ran() && arrival.At > read && !a.excusesRepeat(id, arrival) {
				a.report(RuleTwice, arrival.At, "%s runs again after the success at %v: %s", id, read,
					a.describeArrivals(&Try{RequestID: id}))
			}
			if read == 0 && a.wasRead(arrival) {
				read = arrival.EndedAt
			}
		}
	}
}

// wasRead tells whether an arrival ended in a success that came in time and that its sender could read.
func (a *audit) wasRead(arrival *Arrival) bool {
	if arrival.Result != Succeeded || arrival.Unread || arrival.EndedAt > arrival.At+arrival.Deadline-answerMargin {
		return false
	}
	return !a.troubled(arrival.EndedAt, arrival.EndedAt+readTime, func(trouble *Trouble) bool {
		return trouble.Machine == arrival.Sender
	})
}

// excusesRepeat tells whether there was unplanned trouble from a span before a run until the message's next arrival.
func (a *audit) excusesRepeat(id string, run *Arrival) bool {
	until := a.End
	for _, next := range a.arrivals[id] {
		if next.At > run.At {
			until = next.At
			break
		}
	}
	return a.troubled(run.At-contact, until, func(trouble *Trouble) bool { return !trouble.Planned })
}

// ceilings sees to it that no service gets more than its rate allows.
func (a *audit) ceilings() {
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
		allowed := int(service.RatePerSecond*ceilingWindow.Seconds()*ceilingOvershoot) + ceilingExtra
		a.checkCeiling(service.Name, times, allowed)
	}
}

func (a *audit) checkCeiling(service string, times []time.Duration, allowed int) {
	for first, last := 0, 0; last < len(times); last++ {
		for times[last]-times[first] >= ceilingWindow {
			first++
		}
		if count := last - first + 1; count > allowed {
			a.report(RuleCeiling, times[last], "%s got %d requests in %v, %d are allowed", service, count, ceilingWindow, allowed)
			return
		}
	}
}

// refused sees to it that what was refused with a promise never runs.
func (a *audit) refused() {
	for i := range a.Tries {
		try := &a.Tries[i]
		if !try.Refused() {
			continue
		}
		for _, arrival := range a.arrivals[try.RequestID] {
			if arrival.Result.Ran() {
				a.report(RuleRefused, arrival.At, "%s was refused at %v with %d and ran", try.RequestID, try.AnsweredAt, try.Status)
			}
		}
	}
}

// draining sees to it that workers that drain, or are gone, get nothing new.
func (a *audit) draining() {
	shown := make(map[string]time.Duration)
	for _, departure := range a.Departing {
		if _, known := shown[departure.Worker]; !known {
			shown[departure.Worker] = departure.ShownAt
		}
	}
	for i := range a.Arrivals {
		arrival := &a.Arrivals[i]
		at, departs := shown[arrival.Worker]
		misdirected := arrival.Status == http.StatusMisdirectedRequest
		if departs && !misdirected && arrival.At > at+drainBound && a.calm(arrival.At) {
			a.report(RuleDrain, arrival.At, "%s got %s from %s; the list has shown it as draining since %v", arrival.Worker,
				arrival.RequestID, arrival.Sender, at)
		}
	}
}

// unasked sees to it that workers run only what clients have sent, unchanged.
func (a *audit) unasked() {
	for i := range a.Arrivals {
		arrival := &a.Arrivals[i]
		try := a.tries[arrival.RequestID]
		switch {
		case try == nil:
			a.report(RuleUnasked, arrival.At, "%s at %s: no client has sent it", arrival.RequestID, arrival.Worker)
		case arrival.Method != http.MethodPost || arrival.Path != try.Path || arrival.Body != try.Body:
			a.report(RuleUnasked, arrival.At, "%s at %s: it was changed: %s %s %q", arrival.RequestID, arrival.Worker,
				arrival.Method, arrival.Path, arrival.Body)
		}
	}
}

// early sees to it that no message runs before its delay has passed.
func (a *audit) early() {
	for i := range a.Arrivals {
		arrival := &a.Arrivals[i]
		try := a.tries[arrival.RequestID]
		if try != nil && arrival.Result.Ran() && arrival.At < try.SentAt+try.Delay-earlySlack {
			a.report(RuleEarly, arrival.At, "%s was sent at %v with a delay of %v", arrival.RequestID, try.SentAt, try.Delay)
		}
	}
}

// ownEnds sees to it that no process ends by itself, apart from trouble at its machine.
func (a *audit) ownEnds() {
	for _, end := range a.OwnEnds {
		excused := a.troubled(end.At-time.Second, end.At, func(trouble *Trouble) bool { return trouble.Machine == end.Machine })
		if !excused {
			a.report(RuleOwnEnd, end.At, "the process of %s ended by itself: %s", end.Machine, end.Reason)
		}
	}
}

// sortedArrivals returns the arrivals that a worker began, in order.
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
