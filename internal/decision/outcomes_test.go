package decision

import (
	"testing"
	"time"
)

// A slot that is freed goes to the waiting job that is worth most for its time, and that one may wait longer
// at a worker.
func TestFreedSlotGoesToDensestPendingJob(t *testing.T) {
	c := newCheckerWithWorkers(t, 8, func(s *Settings) {
		loadReportSettings(s)
		s.Classes[4].Value = 8
	})
	id := JobID(0)
	held := func(class int) JobID {
		for range 200 {
			id++
			c.event(Event{Kind: EventJob, Job: id, Class: class, Tenant: int(id) % 5, Slots: 1, Deadline: c.now + 4*time.Second})
			if j := c.jobs[id]; !j.answered && len(j.sends) == 0 {
				return id
			}
		}
		t.Fatal("no job is held")
		return 0
	}
	plain, denser := held(0), held(4)
	if c.dispatcher.forecasts.density(c.dispatcher.jobs.byID[denser]) <= c.dispatcher.forecasts.density(c.dispatcher.jobs.byID[plain]) {
		t.Error("the denser job does not count as denser")
	}
	c.outcome(1, 0, OK)
	if len(c.jobs[plain].sends) != 0 || len(c.jobs[denser].sends) != 1 {
		t.Errorf("the freed slot: plain %v, denser %v", c.jobs[plain].sends, c.jobs[denser].sends)
	}
}
