package dispatch

import (
	"time"

	"gladepick/internal/decision"
)

// EventKind is the kind of an Event. It determines which fields of the Event are set.
type EventKind uint8

// The values of Event.Kind, each with the fields that are set besides Kind and At.
const (
	JobAccepted    EventKind = iota + 1 // Job, which is now open
	JobOverflowed                       // Job, which has no number: not accepted because too many are open
	AttemptSent                         // Attempt
	AttemptStarted                      // Attempt: the worker has started the job
	AttemptEnded                        // Attempt, Outcome, Load; decision.NeverSent if nothing was sent
	JobAnswered                         // Job, Answer
	JobAbandoned                        // Job: the client disconnected before the answer
)

// Event describes one thing that the core did. If Attempt is set, so is Job.
type Event struct {
	Kind    EventKind
	At      time.Duration // on the core's clock
	Job     *Job
	Attempt *Attempt
	Outcome decision.Outcome
	Load    decision.Load
	Answer  Answer
}

// Observer receives the core's events. The core's goroutine delivers them in order, except for JobOverflowed, which
// comes on the goroutine that called Submit.
type Observer interface {
	// Observe must not block, modify the event or what it points to, or retain the event after it returns.
	Observe(*Event)
}

// observe passes an event to the observer. If the event has no time, observe sets it to now.
func (c *Core) observe(e Event) {
	if c.Observer == nil {
		return
	}
	event := e // a copy, so that the parameter does not escape to the heap if there is no observer
	if event.At == 0 {
		event.At = c.now()
	}
	c.Observer.Observe(&event)
}
