package decision

import (
	"testing"
	"time"
)

// A silent worker must get no jobs but idempotent trial jobs.
func TestSilentWorkerGetsTrialJobsOnly(t *testing.T) {
	for class := range 2 {
		c := newCheckerWithWorkers(t, 24, nil)
		c.event(Event{Kind: EventJob, Job: 1, Class: class, Slots: 1, Deadline: c.now + 5*time.Second})
		for range 300 {
			c.advance(10 * time.Millisecond)
		}
		silent := c.jobs[1].sends[0].to.Worker
		for id := JobID(2); id < 200; id++ {
			c.event(Event{Kind: EventJob, Job: id, Class: 1, Slots: 1, Deadline: c.now + time.Second})
			if len(c.jobs[id].sends) > 0 && c.jobs[id].sends[0].to.Worker == silent {
				t.Fatalf("class %d: a NotIdempotent job was sent to the silent worker", class)
			}
			c.outcome(id, 0, OK)
		}
	}
}

// A worker that fails its jobs at once never has own slots in use and attracted all jobs. Jobs whose failure
// is final must avoid such a worker: they lost 6 % of the attempts on a day of quick errors. Jobs that can be
// retried elsewhere still use it.
func TestJobsWithFinalFailuresAvoidFailingWorkers(t *testing.T) {
	for class, most := range []int{100, 12, 12, 12, 100} {
		c, failed := newCheckerWithWorkers(t, 8, costlyZoneSettings), 0
		c.serveSequentially(60, func(JobID, Entry) workerReply { return workerReply{run: 100 * time.Millisecond, free: 4} })
		bad := c.jobs[60].sends[0].to.Worker
		for id := JobID(101); id <= 300; id++ {
			c.event(Event{Kind: EventJob, Job: id, Class: class, Tenant: int(id) % 5, Slots: 1, Deadline: c.now + 4*time.Second})
			for k := 0; k < len(c.jobs[id].sends); k++ {
				c.advance(20 * time.Millisecond)
				c.event(Event{Kind: EventJobProgress, Job: id, Attempt: k, Worker: c.jobs[id].sends[k].to.Worker, Progress: JobStarted})
				c.load = Load{Count: 2, Values: [4]float64{4, 0.01 * float64(id%7)}}
				if c.jobs[id].sends[k].to.Worker == bad {
					failed++
					c.outcome(id, k, Error)
				} else {
					c.advance(100 * time.Millisecond)
					c.outcome(id, k, OK)
				}
			}
		}
		if failed > most || failed == 0 {
			t.Errorf("class %d: %d of 200 jobs were sent to the failing worker, want 1 to %d", class, failed, most)
		}
	}
}
