package decision

import (
	"testing"
	"time"
)

// A job that no ready worker can take must be rejected at once and not kept pending until its deadline.
func TestJobsAreRejectedAtOnceWithoutReadyWorker(t *testing.T) {
	for name, list := range map[string][]Entry{"no list": nil, "all draining": {{Worker: 1, State: Draining}}} {
		c := newChecker(t, testSettings(), 1)
		c.event(Event{Kind: EventList, List: ListFull, Entries: list})
		c.event(Event{Kind: EventJob, Job: 1, Slots: 1, Deadline: c.now + time.Second})
		if !c.jobs[1].answered {
			t.Errorf("%s: the job is pending although no worker can take it", name)
		}
	}
	s := testSettings()
	s.Classes[0].WorkerKind = 1
	c := newChecker(t, s, 1)
	c.event(Event{Kind: EventList, List: ListFull, Entries: []Entry{{Worker: 1, Kind: 0, State: Ready}}})
	c.event(Event{Kind: EventJob, Job: 1, Slots: 1, Deadline: c.now + time.Second})
	if !c.jobs[1].answered {
		t.Error("the job is pending although no worker of its kind is ready")
	}
}
