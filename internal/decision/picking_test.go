package decision

import (
	"math"
	"testing"
	"time"
)

// Listed weights must count from the first job on: one of hundreds of dispatchers has no time to learn the
// sizes. An invalid weight counts as 1.
func TestListedWeightsDistributeJobs(t *testing.T) {
	list := testWorkers(40)
	for i := range list {
		list[i].Weight = []float64{4, 1, 4, math.NaN()}[i%4]
	}
	c := newChecker(t, testSettings(), 1)
	c.event(Event{Kind: EventList, List: ListFull, Entries: list})
	large := 0
	for id := JobID(1); id <= 4000; id++ {
		c.event(Event{Kind: EventJob, Job: id, Tenant: int(id) % 5, Slots: 1, Deadline: c.now + time.Second})
		if c.jobs[id].sends[0].to.Weight == 4 {
			large++
		}
		c.outcome(id, 0, OK)
		c.advance(10 * time.Millisecond)
	}
	// Half of the workers have four fifths of the total weight.
	if part := float64(large) / 4000; part < 0.7 || part > 0.95 {
		t.Errorf("large workers got %v of the jobs, want 0.7 to 0.95", part)
	}
}

// Kinds must be weighted by their slots, not by speed alone. Otherwise small workers got four fifths of the
// attempts with keys and rejected most of them, while large workers had free slots.
func TestKindsAreWeightedBySlots(t *testing.T) {
	c := newCheckerWithWorkers(t, 60, func(s *Settings) {
		s.Report = LoadReportLayout{FreeSlots: 0, InFlight: 1, Queue: -1, FreeMemory: -1, Util: -1, Errors: -1}
	})
	large := 0
	for id := JobID(1); id <= 2000; id++ {
		c.event(Event{Kind: EventJob, Job: id, Key: uint64(id), Slots: 1, Deadline: c.now + time.Second})
		to := c.jobs[id].sends[0].to
		if id > 1000 && to.Kind == 1 {
			large++
		}
		load := Load{Count: 2, Values: [4]float64{1, float64(1 + 6*to.Kind)}} // two or eight slots
		if id%7 == 0 {
			load.Values[0] = []float64{math.NaN(), math.Inf(1), -4}[id%3]
		}
		c.advance(50 * time.Millisecond)
		c.event(Event{Kind: EventOutcome, Job: id, Worker: to.Worker, Outcome: OK, JobEnded: true, Load: load})
	}
	if large < 700 || large > 900 {
		t.Errorf("workers with four fifths of the slots got %d of 1000 jobs, want 700 to 900", large)
	}
}

// Idle connections must be reused. One of hundreds of dispatchers rarely has own slots in use, and each new
// worker cost it a handshake. A worker with an idle connection that started its last job at once is
// preferred. A worker is not preferred if it let the job wait, if its connection has been closed by now, or
// if the idle time is not stated.
func TestIdleConnectionsAreReused(t *testing.T) {
	for _, tc := range []struct {
		idle, wait time.Duration
		most       int // workers that get jobs
		least      int
	}{{time.Minute, 0, 8, 1}, {time.Minute, 100 * time.Millisecond, 40, 10}, {time.Second, 0, 40, 10}, {0, 0, 40, 10}} {
		c := newCheckerWithWorkers(t, 40, func(s *Settings) { s.ConnIdle = tc.idle })
		used := map[WorkerID]bool{}
		for id := JobID(1); id <= 30; id++ {
			c.event(Event{Kind: EventJob, Job: id, Class: 1, Slots: 1, Deadline: c.now + 4*time.Second})
			to := c.jobs[id].sends[0].to.Worker
			used[to] = true
			c.advance(tc.wait)
			c.event(Event{Kind: EventJobProgress, Job: id, Worker: to, Progress: JobStarted})
			c.outcome(id, 0, OK)
			c.advance(1500 * time.Millisecond)
		}
		if len(used) > tc.most || len(used) < tc.least {
			t.Errorf("idle time %v, wait %v: jobs went to %d workers", tc.idle, tc.wait, len(used))
		}
	}
}

// Many dispatchers that share a fleet must fill all kinds. With a few jobs per second each, a dispatcher
// rarely sends to the same worker twice. A worker without observations counted as idle, so all dispatchers
// sent to the fast kind, which was full, while the slow kind was idle.
func TestManyDispatchersFillAllKinds(t *testing.T) {
	to := [2]int{}
	newCheckerWithWorkers(t, 60, sharedFleetSettings).serveSequentially(240, func(id JobID, w Entry) workerReply {
		if id > 100 {
			to[w.Kind]++
		}
		if w.Kind == 0 && id > 30 {
			return workerReply{run: 100 * time.Millisecond, queue: float64(3 + id%3)}
		}
		return workerReply{run: time.Duration(100+100*w.Kind) * time.Millisecond, free: 4}
	})
	if to[1] < to[0] {
		t.Errorf("the full fast kind gets %d jobs, the idle slow kind %d", to[0], to[1])
	}
}
