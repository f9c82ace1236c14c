package dispatch

import (
	"time"

	"gladepick/internal/decision"
)

// EventKind tells what an Observer is shown, and which fields of the Event are set.
type EventKind uint8

// The kinds of events.
const (
	JobAccepted    EventKind = iota + 1 // Job: it is open now
	JobOverflowed                       // Job: not taken, too many are open; it has no number
	AttemptSent                         // Attempt
	AttemptStarted                      // Attempt: the job has started at the worker
	AttemptEnded                        // Attempt, Outcome, Load; one that never went out ends too, as decision.NeverSent
	JobAnswered                         // Job, Answer
	JobAbandoned                        // Job: the client has gone without an answer
)

// Event is something that the core did. Job is set with Attempt too.
type Event struct {
	Kind    EventKind
	At      time.Duration // on the core's clock
	Job     *Job
	Attempt *Attempt
	Outcome decision.Outcome
	Load    decision.Load
	Answer  Answer
}

// Observer is shown what the core does, in order and on the core's goroutine, but for JobOverflowed, which comes on the
// front's.
type Observer interface {
	// Observe must not block, change anything that it is shown, or keep it beyond the call.
	Observe(*Event)
}

// observe shows the observer an event, which has happened now where it names no other time.
func (c *Core) observe(e Event) {
	if c.Observer == nil {
		return
	}
	shown := e // only what is shown goes to the heap
	if shown.At == 0 {
		shown.At = c.now()
	}
	c.Observer.Observe(&shown)
}
