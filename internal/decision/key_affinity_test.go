package decision

import (
	"testing"
	"time"
)

// The jobs of one key must go to few workers, the same for all dispatchers, even if fetching the data of a
// key costs only time. Without key affinity, nearly half of the answers of a quiet day were late.
func TestKeyIsServedByFewWorkers(t *testing.T) {
	used := map[WorkerID]bool{}
	for seed := range uint64(5) {
		c := newChecker(t, testSettings(), seed)
		c.event(Event{Kind: EventList, List: ListFull, Entries: testWorkers(40)})
		for id := JobID(1); id <= 50; id++ {
			c.event(Event{Kind: EventJob, Job: id, Key: 42, Slots: 1, Deadline: c.now + time.Second})
			used[c.jobs[id].sends[0].to.Worker] = true
			c.outcome(id, 0, OK)
		}
	}
	if len(used) > workersPerKey {
		t.Errorf("the jobs of one key went to %d workers", len(used))
	}
}

// The workers of a key may be full while those of another kind have free slots. Once rejected, a job with the
// key must be able to go there.
func TestRejectedKeyedJobTriesOtherKind(t *testing.T) {
	c := newCheckerWithWorkers(t, 40, func(s *Settings) { s.MaxAttempts = 0 })
	for id := JobID(1); id <= 20; id++ {
		c.event(Event{Kind: EventJob, Job: id, Key: uint64(id), Slots: 1, Deadline: c.now + time.Second})
		kinds := map[int]bool{}
		for n := 0; n < len(c.jobs[id].sends); n++ {
			kinds[c.jobs[id].sends[n].to.Kind] = true
			c.outcome(id, n, Rejected)
		}
		if len(kinds) != 2 {
			t.Errorf("jobs of key %d went to kinds %v, want both kinds", id, kinds)
		}
		c.advance(time.Second)
	}
}
