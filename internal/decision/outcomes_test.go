package decision

import (
	"testing"
	"time"
)

// A freed slot must go to the pending job of the highest value density, and that job may wait longer at a
// worker.
func TestFreedSlotGoesToDensestPendingJob(t *testing.T) {
	c := newCheckerWithWorkers(t, 8, func(s *Settings) {
		loadReportSettings(s)
		s.Classes[4].Value = 8
	})
	id := JobID(0)
	pendingJob := func(class int) JobID {
		for range 200 {
			id++
			c.event(Event{Kind: EventJob, Job: id, Class: class, Tenant: int(id) % 5, Slots: 1, Deadline: c.now + 4*time.Second})
			if j := c.jobs[id]; !j.answered && len(j.sends) == 0 {
				return id
			}
		}
		t.Fatal("no job is pending")
		return 0
	}
	plain, denser := pendingJob(0), pendingJob(4)
	if c.dispatcher.forecasts.density(c.dispatcher.jobs.byID[denser]) <=
		c.dispatcher.forecasts.density(c.dispatcher.jobs.byID[plain]) {
		t.Error("the job of higher value has no higher density")
	}
	c.outcome(1, 0, OK)
	if len(c.jobs[plain].sends) != 0 || len(c.jobs[denser].sends) != 1 {
		t.Errorf("after the slot was freed: sends of the plain job %v, of the denser job %v",
			c.jobs[plain].sends, c.jobs[denser].sends)
	}
}
