package decision

import (
	"math"
	"testing"
	"time"
)

// Contradictory or invalid events must not break a rule of the checker or cause a panic.
func TestContradictoryEventsDoNotBreakRules(t *testing.T) {
	nan := math.NaN()
	for name, evs := range map[string][]Event{
		"outcome twice": {
			{Kind: EventOutcome, Job: 1, Outcome: Rejected},
			{Kind: EventOutcome, Job: 1, Outcome: OK},
		},
		"unknown job": {{Kind: EventOutcome, Job: 99, Outcome: OK}, {Kind: EventClientLeft, Job: 98}},
		"attempt never sent": {
			{Kind: EventOutcome, Job: 1, Attempt: 7, Outcome: OK},
			{Kind: EventJobProgress, Job: 1, Attempt: -1},
		},
		"same job twice": {{Kind: EventJob, Job: 1, Deadline: time.Hour}},
		"invalid job": {
			{Kind: EventJob, Job: 2, Slots: nan, Memory: math.Inf(-1), Deadline: time.Minute + time.Second},
		},
		"invalid report": {
			{Kind: EventHealthChecked, Worker: 13, Load: Load{Count: 4, Values: [4]float64{nan, math.Inf(1), -1e300, 0}}},
		},
		"health check of unknown worker": {{Kind: EventHealthChecked, Worker: 4, Outcome: OK}},
		"unknown timer":                  {{Kind: EventTimer, Token: 4e9}},
		"garbled peer message":           {{Kind: EventPeerMessage, From: -3, Data: []byte{0xff}}},
		"invalid kind": {
			{Kind: EventList, List: ListDelta, Entries: []Entry{{Worker: 5, Kind: 300, State: Ready}}},
		},
		"started in the future": {
			{Kind: EventList, List: ListDelta, Entries: []Entry{{Worker: 5, Started: time.Hour, State: Ready}}},
		},
		"answer of a gone worker": {{Kind: EventList, List: ListFull},
			{Kind: EventJobProgress, Job: 1, Progress: JobStarted}, {Kind: EventOutcome, Job: 1, Outcome: OK, JobEnded: true}},
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.HealthChecks, s.PeerMessages, s.Report.FreeSlots = true, true, 0
			c := newChecker(t, s, 1)
			c.event(Event{Kind: EventList, List: ListFull, Entries: testWorkers(24)})
			c.event(Event{Kind: EventJob, Job: 1, Class: 1, Slots: 1, Deadline: c.now + 2*time.Second})
			for _, ev := range evs {
				if ev.Kind == EventJob && ev.Job == 1 {
					before := len(c.jobs[1].sends)
					c.dispatcher.Handle(c.now, &ev, nil)
					if len(c.jobs[1].sends) != before {
						t.Error("a repeated job was sent again")
					}
					continue
				}
				c.event(ev)
			}
			for range 100 {
				c.advance(10 * time.Millisecond)
			}
			c.event(Event{Kind: EventJob, Job: 3, Slots: 1, Deadline: c.now + time.Second})
			for range 90 { // no health check is answered: the job must not wait for one until its deadline
				c.advance(10 * time.Millisecond)
			}
			if j := c.jobs[3]; !j.answered && len(j.sends) == 0 && name != "answer of a gone worker" {
				t.Error("a later job is neither sent nor answered")
			}
		})
	}
}

// The state of ended jobs and replaced workers must be released, so that memory stays bounded under long
// traffic.
func TestEndedJobsAndGoneWorkersAreReleased(t *testing.T) {
	c := newCheckerWithWorkers(t, 12, nil)
	list := testWorkers(12)
	for id := JobID(1); id < 20000; id++ {
		c.event(Event{Kind: EventJob, Job: id, Class: int(id) % 5, Tenant: int(id) % 5, Key: uint64(id), Slots: 1,
			Deadline: c.now + time.Second})
		for _, job := range sortedIDs(c.jobs) {
			for n := 0; n < len(c.jobs[job].sends); n++ {
				if !c.jobs[job].sends[n].done {
					c.outcome(job, n, []Outcome{OK, Rejected, OK, Reset}[int(id)%4])
				}
			}
			if c.jobs[job].answered {
				delete(c.jobs, job)
			}
		}
		if id%50 == 0 {
			e := &list[int(id/50)%len(list)]
			gone := Entry{Worker: e.Worker, State: Gone}
			e.Worker += 100000
			c.event(Event{Kind: EventList, List: ListDelta, Entries: []Entry{gone, *e}})
			delete(c.list, gone.Worker)
		}
		c.advance(20 * time.Millisecond)
	}
	for range 100 {
		c.advance(20 * time.Millisecond)
		for _, job := range sortedIDs(c.jobs) {
			for n := range c.jobs[job].sends {
				if !c.jobs[job].sends[n].done {
					c.outcome(job, n, OK)
				}
			}
		}
	}
	c.event(Event{Kind: EventList, List: ListDelta})
	dispatcher := c.dispatcher
	jobsLeft := len(dispatcher.jobs.byID) > 0 || len(dispatcher.jobs.open) > 0
	workersLeft := len(dispatcher.workers.byID) != 12 || len(dispatcher.workers.ordered) != 12
	if jobsLeft || workersLeft || len(c.timers) > 1 {
		t.Errorf("still held: %d jobs, %d open jobs, %d workers, %d ordered workers, %d timers",
			len(dispatcher.jobs.byID), len(dispatcher.jobs.open), len(dispatcher.workers.byID),
			len(dispatcher.workers.ordered), len(c.timers))
	}
	for _, w := range c.dispatcher.workers.ordered {
		if w.ownSlots > 1e-9 {
			t.Errorf("worker %d still has %v own slots in use", w.Worker, w.ownSlots)
		}
	}
}
