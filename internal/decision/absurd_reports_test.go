package decision

import (
	"math"
	"slices"
	"testing"
	"time"
)

// invalidValues are values that no worker should report.
var invalidValues = []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1e300, 1e300, 0}

// Outcomes, progress and reports of workers that have left, invalid reports and a clock that jumps ahead by
// seconds must not break a rule or cause a panic. Later jobs are served as usual.
func TestInvalidReportsAndClockJumpsDoNotBreakRules(t *testing.T) {
	for _, healthChecks := range []bool{false, true} {
		c := newCheckerWithWorkers(t, 24, func(s *Settings) {
			invalidReportSettings(s)
			s.HealthChecks = healthChecks
		})
		list := testWorkers(24)
		for id := JobID(1); id <= 600; id++ {
			c.event(Event{Kind: EventJob, Job: id, Class: int(id) % 5, Tenant: int(id) % 5, Key: uint64(id % 7),
				Slots: 1, Deadline: c.now + time.Hour})
			if id%20 == 0 { // a worker leaves, drains or returns while its jobs are in flight
				entry := &list[int(id/20)%len(list)]
				entry.State = State(id / 20 % 3)
				c.event(Event{Kind: EventList, List: ListDelta, Entries: []Entry{*entry}})
			}
			c.sendInvalidReports(id, list)
			if id%50 == 0 && len(c.idleSince) == 0 {
				c.advance(7 * time.Second)
			}
			c.advance(50 * time.Millisecond)
		}
		for i := range list {
			list[i].State = Ready
			list[i].Started = 0
		}
		c.event(Event{Kind: EventList, List: ListFull, Entries: list})
		for _, id := range sortedIDs(c.jobs) { // attempts that were sent in the meantime end, too
			for n := 0; n < len(c.jobs[id].sends); n++ {
				if !c.jobs[id].sends[n].done {
					c.outcome(id, n, OK)
				}
			}
		}
		c.advance(11 * time.Second)
		served := 0
		for id := JobID(1000); id < 1100; id++ {
			served += boolToInt(c.servePlainJob(id))
		}
		if served < 60 {
			t.Errorf("health checks %v: only %d of 100 later jobs were sent", healthChecks, served)
		}
	}
}

// invalidReportSettings configures workers that report every value the dispatcher reads, and jobs that
// outlast the test.
func invalidReportSettings(s *Settings) {
	s.DrainCloseWithin = 300 * time.Millisecond
	s.RejectionUnproven = true
	s.ReportsLoad = true
	s.Dispatchers = 40
	s.ConnIdle = time.Minute
	s.Classes[0].AllowedKinds = []int{0}
	s.Report = LoadReportLayout{FreeSlots: 0, InFlight: 1, Queue: 2, FreeMemory: -1, Util: -1, Errors: -1}
	for i := range s.Classes {
		s.Classes[i].Deadline = time.Hour
		s.Classes[i].DedupWindow = time.Hour
	}
}

// sendInvalidReports sends invalid reports for some workers and for each attempt of a job, and ends the
// attempts in flight.
func (c *checker) sendInvalidReports(id JobID, list []Entry) {
	load := Load{Count: 4, Values: [4]float64{invalidValues[id%6], invalidValues[id/6%6], invalidValues[id/36%6], 1}}
	for _, entry := range list[:3] {
		c.event(Event{Kind: EventHealthChecked, Worker: entry.Worker, Outcome: OK, Load: load})
	}
	for n := range c.jobs[id].sends {
		to := c.jobs[id].sends[n].to.Worker
		c.event(Event{Kind: EventJobProgress, Job: id, Attempt: n, Worker: to, Progress: JobAdvanced,
			Value: invalidValues[id%6]})
		c.event(Event{Kind: EventJobProgress, Job: id, Attempt: n, Worker: to, Progress: JobStarted})
		if o := Outcome(1 + id%8); !c.jobs[id].sends[n].done {
			c.event(Event{Kind: EventOutcome, Job: id, Attempt: n, Worker: to, Outcome: o, Load: load,
				JobEnded: o == OK || c.jobs[id].answered})
		}
		c.event(Event{Kind: EventJobProgress, Job: id, Attempt: n, Worker: to, Progress: JobAdvanced, Value: 2})
	}
}

// servePlainJob sends one job, answers health checks while the job waits, and reports whether the job was
// sent.
func (c *checker) servePlainJob(id JobID) (served bool) {
	c.event(Event{Kind: EventJob, Job: id, Class: 1, Tenant: int(id) % 5, Slots: 1, Deadline: c.now + time.Hour})
	for range 60 {
		for _, a := range slices.Clone(c.dispatcher.actions) {
			if a.Kind == HealthCheck {
				c.event(Event{Kind: EventHealthChecked, Worker: a.Worker, Outcome: OK,
					Load: Load{Count: 3, Values: [4]float64{2, 0, 0}}})
			}
		}
		c.dispatcher.actions = nil
		if len(c.jobs[id].sends) > 0 || c.jobs[id].answered {
			break
		}
		c.advance(10 * time.Millisecond)
	}
	if len(c.jobs[id].sends) == 0 {
		return false
	}
	to := c.jobs[id].sends[0].to.Worker
	c.event(Event{Kind: EventJobProgress, Job: id, Worker: to, Progress: JobStarted})
	c.outcome(id, 0, OK)
	return true
}
