package decision

import (
	"testing"
	"time"
)

// Jobs of one key keep to few workers, the same for all dispatchers, also where a fetch has no price but
// takes time: keys did not count there, and nearly half of a quiet day's answers were late.
func TestKeyIsServedByFewWorkers(t *testing.T) {
	met := map[WorkerID]bool{}
	for seed := range uint64(5) {
		c := newChecker(t, testSettings(), seed)
		c.event(Event{Kind: EventList, List: ListFull, Entries: testWorkers(40)})
		for id := JobID(1); id <= 50; id++ {
			c.event(Event{Kind: EventJob, Job: id, Key: 42, Slots: 1, Deadline: c.now + time.Second})
			met[c.jobs[id].sends[0].to.Worker] = true
			c.outcome(id, 0, OK)
		}
	}
	if len(met) > workersPerKey {
		t.Errorf("one key met %d workers", len(met))
	}
}

// A key's workers may be full while those of another kind have free slots: once rejected, its job
// may go there.
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
			t.Errorf("key %d met kinds %v", id, kinds)
		}
		c.advance(time.Second)
	}
}
