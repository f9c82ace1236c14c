package ivyfold_test

import (
	"fmt"
	"time"

	"gladepick"
)

// A host owns the clock and the connections: it hands events in and carries out the actions that come back.
func Example() {
	d, err := ivyfold.New(ivyfold.Settings{
		Dispatchers: 2,
		Kinds:       1,
		Classes: []ivyfold.ClassSettings{{
			Aim: 300 * time.Millisecond, Deadline: 5 * time.Second, Effect: ivyfold.Safe, Worth: 1, Kind: -1,
		}},
		MaxAttempts: 3,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second // any clock that only moves forward
	var acts []ivyfold.Action
	for _, ev := range []ivyfold.Event{
		{Kind: ivyfold.EventList, List: ivyfold.ListFull, Entries: []ivyfold.Entry{{Worker: 7, State: ivyfold.Ready}}},
		{Kind: ivyfold.EventJob, Job: 1, Slots: 1, Deadline: now + 5*time.Second},
		{Kind: ivyfold.EventOutcome, Job: 1, Worker: 7, Outcome: ivyfold.OK, Closed: true},
	} {
		acts = d.Handle(now, &ev, acts[:0])
		for _, a := range acts {
			switch a.Kind {
			case ivyfold.Send:
				fmt.Printf("send job %d to worker %d\n", a.Job, a.Worker)
			case ivyfold.SetTimer: // hand an EventTimer with this token in after the delay
				fmt.Printf("timer %d in %v\n", a.Token, a.Delay)
			}
		}
		now += 100 * time.Millisecond
	}
	// Output:
	// send job 1 to worker 7
	// timer 0 in 37.5ms
}
