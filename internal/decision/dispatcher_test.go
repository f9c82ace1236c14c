package decision

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Contradictory or absurd events must neither break a rule, which the checker would tell, nor panic.
func TestContradictoryEvents(t *testing.T) {
	nan := math.NaN()
	for name, evs := range map[string][]Event{
		"outcome twice": {
			{Kind: EventOutcome, Job: 1, Outcome: Rejected},
			{Kind: EventOutcome, Job: 1, Outcome: OK},
		},
		"unknown job": {{Kind: EventOutcome, Job: 99, Outcome: OK}, {Kind: EventClientLeft, Job: 98}},
		"attempt never made": {
			{Kind: EventOutcome, Job: 1, Attempt: 7, Outcome: OK},
			{Kind: EventJobProgress, Job: 1, Attempt: -1},
		},
		"same job twice": {{Kind: EventJob, Job: 1, Deadline: time.Hour}},
		"absurd job": {
			{Kind: EventJob, Job: 2, Slots: nan, Memory: math.Inf(-1), Deadline: time.Minute + time.Second},
		},
		"absurd report": {
			{Kind: EventHealthChecked, Worker: 13, Load: Load{Count: 4, Values: [4]float64{nan, math.Inf(1), -1e300, 0}}},
		},
		"unknown worker probed": {{Kind: EventHealthChecked, Worker: 4, Outcome: OK}},
		"stray timer":           {{Kind: EventTimer, Token: 4e9}},
		"garbled peer":          {{Kind: EventPeerMessage, From: -3, Data: []byte{0xff}}},
		"absurd kind": {
			{Kind: EventList, List: ListDelta, Entries: []Entry{{Worker: 5, Kind: 300, State: Ready}}},
		},
		"started in the future": {
			{Kind: EventList, List: ListDelta, Entries: []Entry{{Worker: 5, Started: time.Hour, State: Ready}}},
		},
		"gone and answering": {{Kind: EventList, List: ListFull},
			{Kind: EventJobProgress, Job: 1, Progress: JobStarted}, {Kind: EventOutcome, Job: 1, Outcome: OK, JobEnded: true}},
	} {
		t.Run(name, func(t *testing.T) {
			s := site()
			s.HealthChecks, s.PeerMessages, s.Report.FreeSlots = true, true, 0
			c := newChecker(t, s, 1)
			c.event(Event{Kind: EventList, List: ListFull, Entries: fleet(24)})
			c.event(Event{Kind: EventJob, Job: 1, Class: 1, Slots: 1, Deadline: c.now + 2*time.Second})
			for _, ev := range evs {
				if ev.Kind == EventJob && ev.Job == 1 {
					before := len(c.jobs[1].sends)
					c.d.Handle(c.now, &ev, nil)
					if len(c.jobs[1].sends) != before {
						t.Error("a repeated job was sent anew")
					}
					continue
				}
				c.event(ev)
			}
			for range 100 {
				c.advance(10 * time.Millisecond)
			}
			c.event(Event{Kind: EventJob, Job: 3, Slots: 1, Deadline: c.now + time.Second})
			for range 90 { // no health check is ever answered here: that must not keep it waiting to its end
				c.advance(10 * time.Millisecond)
			}
			if j := c.jobs[3]; !j.answered && len(j.sends) == 0 && name != "gone and answering" {
				t.Error("a plain job afterwards is neither sent nor answered")
			}
		})
	}
}

// State is released: long traffic and replaced workers leave nothing behind.
func TestStateIsBounded(t *testing.T) {
	c := ready(t, 12, nil)
	list := fleet(12)
	for id := JobID(1); id < 20000; id++ {
		c.event(Event{Kind: EventJob, Job: id, Class: int(id) % 5, Tenant: int(id) % 5, Key: uint64(id), Slots: 1,
			Deadline: c.now + time.Second})
		for _, job := range ids(c.jobs) {
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
		for _, job := range ids(c.jobs) {
			for n := range c.jobs[job].sends {
				if !c.jobs[job].sends[n].done {
					c.outcome(job, n, OK)
				}
			}
		}
	}
	c.event(Event{Kind: EventList, List: ListDelta})
	d := c.d
	jobsLeft := len(d.jobs.byID) > 0 || len(d.jobs.open) > 0
	workersLeft := len(d.workers.byID) != 12 || len(d.workers.ordered) != 12
	if jobsLeft || workersLeft || len(c.timer) > 1 {
		t.Errorf("left behind: %d jobs, %d open, %d workers, %d in order, %d timers",
			len(d.jobs.byID), len(d.jobs.open), len(d.workers.byID), len(d.workers.ordered), len(c.timer))
	}
	for _, w := range c.d.workers.ordered {
		if w.ownSlots > 1e-9 {
			t.Errorf("worker %d still counts %v slots", w.Worker, w.ownSlots)
		}
	}
}

// Outcomes, progress and reports of workers that have left, absurd reports and a clock that jumps ahead by
// seconds: no rule is broken, nothing panics, and jobs afterwards are served as usual.
func TestLeftWorkersAbsurdReportsAndClockJumps(t *testing.T) {
	for _, asks := range []bool{false, true} {
		c := ready(t, 24, func(s *Settings) {
			s.DrainCloseWithin, s.RejectionUnproven, s.HealthChecks, s.ReportsLoad = 300*time.Millisecond, true, asks, true
			s.Dispatchers, s.ConnIdle, s.Classes[0].AllowedKinds = 40, time.Minute, []int{0}
			s.Report = LoadReportLayout{FreeSlots: 0, InFlight: 1, Queue: 2, FreeMemory: -1, Util: -1, Errors: -1}
			for i := range s.Classes {
				s.Classes[i].Deadline, s.Classes[i].DedupWindow = time.Hour, time.Hour
			}
		})
		list := fleet(24)
		absurd := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1e300, 1e300, 0}
		for id := JobID(1); id <= 600; id++ {
			c.event(Event{Kind: EventJob, Job: id, Class: int(id) % 5, Tenant: int(id) % 5, Key: uint64(id % 7), Slots: 1,
				Deadline: c.now + time.Hour})
			if id%20 == 0 { // a worker leaves, or drains and leaves, or is back, while its jobs are out
				e := &list[int(id/20)%len(list)]
				e.State = State(id / 20 % 3)
				c.event(Event{Kind: EventList, List: ListDelta, Entries: []Entry{*e}})
			}
			load := Load{Count: 4, Values: [4]float64{absurd[id%6], absurd[id/6%6], absurd[id/36%6], 1}}
			for _, e := range list[:3] {
				c.event(Event{Kind: EventHealthChecked, Worker: e.Worker, Outcome: OK, Load: load})
			}
			for n := range c.jobs[id].sends {
				to := c.jobs[id].sends[n].to.Worker
				c.event(Event{Kind: EventJobProgress, Job: id, Attempt: n, Worker: to, Progress: JobAdvanced,
					Value: absurd[id%6]})
				c.event(Event{Kind: EventJobProgress, Job: id, Attempt: n, Worker: to, Progress: JobStarted})
				if o := Outcome(1 + id%8); !c.jobs[id].sends[n].done {
					c.event(Event{Kind: EventOutcome, Job: id, Attempt: n, Worker: to, Outcome: o, Load: load,
						JobEnded: o == OK || c.jobs[id].answered})
				}
				c.event(Event{Kind: EventJobProgress, Job: id, Attempt: n, Worker: to, Progress: JobAdvanced, Value: 2})
			}
			if id%50 == 0 && len(c.idle) == 0 {
				c.advance(7 * time.Second)
			}
			c.advance(50 * time.Millisecond)
		}
		for i := range list {
			list[i].State, list[i].Started = Ready, 0
		}
		c.event(Event{Kind: EventList, List: ListFull, Entries: list})
		for _, id := range ids(c.jobs) { // what came to be sent in between ends, too
			for n := 0; n < len(c.jobs[id].sends); n++ {
				if !c.jobs[id].sends[n].done {
					c.outcome(id, n, OK)
				}
			}
		}
		c.advance(11 * time.Second)
		served := 0
		for id := JobID(1000); id < 1100; id++ {
			c.event(Event{Kind: EventJob, Job: id, Class: 1, Tenant: int(id) % 5, Slots: 1, Deadline: c.now + time.Hour})
			for range 60 {
				for _, a := range slices.Clone(c.d.actions) {
					if a.Kind == HealthCheck {
						c.event(Event{Kind: EventHealthChecked, Worker: a.Worker, Outcome: OK,
							Load: Load{Count: 3, Values: [4]float64{2, 0, 0}}})
					}
				}
				if c.d.actions = nil; len(c.jobs[id].sends) > 0 || c.jobs[id].answered {
					break
				}
				c.advance(10 * time.Millisecond)
			}
			if len(c.jobs[id].sends) > 0 {
				served++
				c.event(Event{Kind: EventJobProgress, Job: id, Worker: c.jobs[id].sends[0].to.Worker, Progress: JobStarted})
				c.outcome(id, 0, OK)
			}
		}
		if served < 60 {
			t.Errorf("asking %v: only %d of 100 plain jobs afterwards were sent", asks, served)
		}
	}
}
