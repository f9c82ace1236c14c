package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Event is a line of a timeline.
type Event struct {
	At   time.Duration
	Text string
}

// Timeline returns what a history has of one message, together with all troubles, in the order of their times.
func Timeline(history *History, requestID string) []Event {
	var events []Event
	add := func(at time.Duration, format string, arguments ...any) {
		events = append(events, Event{At: at, Text: fmt.Sprintf(format, arguments...)})
	}
	for _, fault := range history.Faults {
		add(fault.From, "%s %s begins", fault.Kind, fault.Machine)
		add(fault.Until, "%s %s ends", fault.Kind, fault.Machine)
	}
	for _, attempt := range history.Attempts {
		if attempt.RequestID == requestID {
			add(attempt.SentAt, "sent to %s, key %q, delay %v", attempt.Front, attempt.OrderKey, attempt.Delay)
			add(attempt.AnsweredAt, "answered %d, message %s", attempt.Status, attempt.MessageID)
		}
	}
	for _, run := range history.Runs {
		if run.RequestID != requestID {
			continue
		}
		add(run.BeganAt, "run at %s begins", run.Worker)
		if run.Status != 0 {
			add(run.AnsweredAt, "run at %s answered %d, stamp %s", run.Worker, run.Status, run.Stamp)
		}
	}
	for _, state := range history.States {
		if state.RequestID == requestID {
			add(history.End, "state %d %s, stamp %s, body %d", state.Status, state.State, state.Stamp, state.BodyStatus)
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}
