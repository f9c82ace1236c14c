package decision_test

import (
	"fmt"
	"time"

	"gladepick/internal/decision"
)

// The host owns the clock and the connections. It passes events in and carries out the actions that the
// dispatcher returns.
func Example() {
	d, err := decision.New(decision.Settings{
		Dispatchers: 2,
		Kinds:       1,
		Classes: []decision.ClassSettings{{
			LatencyTarget: 300 * time.Millisecond,
			Deadline:      5 * time.Second,
			Idempotency:   decision.Idempotent,
			Value:         1,
			WorkerKind:    -1,
		}},
		MaxAttempts: 3,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second // any monotonic clock
	var acts []decision.Action
	for _, ev := range []decision.Event{
		{Kind: decision.EventList, List: decision.ListFull, Entries: []decision.Entry{{Worker: 7, State: decision.Ready}}},
		{Kind: decision.EventJob, Job: 1, Slots: 1, Deadline: now + 5*time.Second},
		{Kind: decision.EventOutcome, Job: 1, Worker: 7, Outcome: decision.OK, JobEnded: true},
	} {
		acts = d.Handle(now, &ev, acts[:0])
		for _, a := range acts {
			switch a.Kind {
			case decision.Send:
				fmt.Printf("send job %d to worker %d\n", a.Job, a.Worker)
			case decision.SetTimer: // after the delay, pass an EventTimer with this token
				fmt.Printf("timer %d in %v\n", a.Token, a.Delay)
			}
		}
		now += 100 * time.Millisecond
	}
	// Output:
	// send job 1 to worker 7
	// timer 0 in 37.5ms
}
