package decision

import (
	"math"
	"slices"
	"testing"
	"time"
)

// A class that is bound to kinds or zones goes nowhere else, also when those workers are full or none is left, and
// never to one of a kind or zone that the site does not know. The bench had it go anywhere.
func TestPlacementIsKept(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*Settings)
		ok     func(Entry) bool
	}{
		"kind":          {func(s *Settings) { s.Classes[0].AllowedKinds = []int{1} }, func(e Entry) bool { return e.Kind == 1 }},
		"zone":          {func(s *Settings) { s.Classes[0].AllowedZones = []int{2} }, func(e Entry) bool { return e.Zone == 2 }},
		"unknown kind":  {func(s *Settings) { s.Classes[0].AllowedKinds = []int{7} }, func(Entry) bool { return false }},
		"empty":         {func(s *Settings) { s.Classes[0].AllowedKinds, s.Classes[0].AllowedZones = []int{}, []int{} }, func(Entry) bool { return true }},
		"class's kind":  {func(s *Settings) { s.Classes[0].WorkerKind = 1 }, func(e Entry) bool { return e.Kind == 1 }},
		"kind and need": {func(s *Settings) { s.Classes[0].AllowedKinds, s.Classes[0].WorkerKind = []int{0}, 1 }, func(Entry) bool { return false }},
	} {
		t.Run(name, func(t *testing.T) {
			for _, keys := range []uint64{0, 1} {
				c := ready(t, 24, func(s *Settings) {
					s.Zones, s.MaxAttempts = 3, 0
					tc.change(s)
				})
				stray := []Entry{{Worker: 1, Kind: 9, Zone: 2, State: Ready}, {Worker: 2, Kind: 1, Zone: 9, State: Ready}}
				c.event(Event{Kind: EventList, List: ListDelta, Entries: stray})
				permitted := 0
				for _, e := range fleet(24) {
					if tc.ok(e) {
						permitted++
					}
				}
				met := 0
				for id := JobID(1); id <= 200; id++ {
					c.event(Event{Kind: EventJob, Job: id, Tenant: int(id) % 5, Key: uint64(id) * keys, Slots: 1, Deadline: c.now + time.Second})
					for _, open := range ids(c.jobs) { // every one turns it away, at once
						for n := 0; n < len(c.jobs[open].sends); n++ {
							if e := c.jobs[open].sends[n].to; !tc.ok(e) || name != "empty" && e.Worker <= 2 {
								t.Fatalf("keys %v: sent to %+v", keys, e)
							}
							if !c.jobs[open].sends[n].done {
								met++
								c.outcome(open, n, Rejected)
							}
						}
					}
					if permitted == 0 && !c.jobs[id].answered {
						t.Fatalf("keys %v: held though no worker is open to it", keys)
					}
					c.advance(100 * time.Millisecond)
				}
				if permitted > 0 && met < 200 {
					t.Errorf("keys %v: only %d sends", keys, met)
				}
			}
		})
	}
}

// Where Full is no proof, an Unsafe job that met it gets no other attempt and no refusal, and a Keyed one stays in
// its group; connections that failed and sends that were never made still prove it.
func TestFullThatProvesNothing(t *testing.T) {
	for _, tc := range []struct {
		outcome  Outcome
		class    int
		again    bool
		refusals bool
	}{
		{Rejected, 1, false, false}, {ConnectFailed, 1, true, true}, {NeverSent, 1, true, true},
		{Rejected, 0, true, true}, {Rejected, 2, true, false}, {Rejected, 4, true, true},
	} {
		c := ready(t, 24, func(s *Settings) { s.RejectionUnproven, s.MaxAttempts = true, 2 })
		c.event(Event{Kind: EventJob, Job: 1, Class: tc.class, Slots: 1, Deadline: c.now + 4*time.Second})
		c.outcome(1, 0, tc.outcome)
		j := c.jobs[1]
		if again := len(j.sends) > 1; again != tc.again {
			t.Fatalf("outcome %d, class %d: sent again %v", tc.outcome, tc.class, again)
		}
		if tc.again {
			if tc.class == 2 && j.sends[1].to.Zone != j.sends[0].to.Zone {
				t.Errorf("a Keyed job left its zone")
			}
			c.outcome(1, 1, tc.outcome)
		}
		last := c.d.actions[len(c.d.actions)-1].Kind
		if !j.answered || (last == Reject) != tc.refusals {
			t.Errorf("outcome %d, class %d: answered %v with action %d", tc.outcome, tc.class, j.answered, last)
		}
	}
}

// The group's window counts from the earliest attempt that may have run, however often it was turned away since.
func TestWindowCountsFromTheFirstUnproven(t *testing.T) {
	c := ready(t, 24, func(s *Settings) { s.RejectionUnproven, s.MaxAttempts, s.Classes[4].LateValue = true, 0, 0.5 })
	c.event(Event{Kind: EventJob, Job: 1, Class: 4, Slots: 1, Deadline: c.now + 5*time.Second})
	start := c.now
	for n := 0; n < len(c.jobs[1].sends); n++ {
		c.advance(350 * time.Millisecond)
		c.outcome(1, n, Rejected)
	}
	if last := c.jobs[1].sends[len(c.jobs[1].sends)-1].at - start; last > 2*time.Second || last < time.Second {
		t.Errorf("last attempt %v after the first, window 2 s", last)
	}
}

func (c *checker) closes(id WorkerID) (n int) {
	for _, a := range c.d.actions {
		if a.Kind == CloseIdle && a.Worker == id {
			n++
		}
	}
	return n
}

// Idle connections to a draining worker are closed at the notice, whatever list brings it, and after each later
// outcome there; a connection that came up after its attempt was given up is closed by a second try. Nothing is
// repeated without cause, and nothing closed where no time is stated.
func TestIdleConnectionsAreClosedOnDrains(t *testing.T) {
	for _, kind := range []ListKind{ListDelta, ListFull, ListCached} {
		for _, limit := range []time.Duration{0, 800 * time.Millisecond} {
			c := ready(t, 24, func(s *Settings) { s.DrainCloseWithin = limit })
			want := map[bool]int{true: 1}[limit > 0]
			c.event(Event{Kind: EventJob, Job: 1, Class: 1, Slots: 1, Deadline: c.now + 4*time.Second})
			to := c.jobs[1].sends[0].to
			list := fleet(24)
			for i := range list {
				if list[i].Worker == to.Worker {
					list[i].State = Draining
				}
			}
			told := func() int {
				c.event(Event{Kind: EventList, List: kind, Entries: list})
				return c.closes(to.Worker)
			}
			if n := told(); n != want {
				t.Errorf("list %d, limit %v: %d closings at the notice", kind, limit, n)
			}
			if n := told(); n != 0 {
				t.Errorf("list %d: closed again at the same news", kind)
			}
			c.outcome(1, 0, Cancelled) // its connection may be on the way still
			if n := c.closes(to.Worker); n != want {
				t.Errorf("list %d, limit %v: %d closings at the outcome", kind, limit, n)
			}
			later := 0
			for range 300 {
				c.d.actions = nil
				c.advance(10 * time.Millisecond)
				later += c.closes(to.Worker)
			}
			if later != want {
				t.Errorf("list %d, limit %v: %d late closings", kind, limit, later)
			}
		}
	}
}

// Outcomes, notes and reports for workers that have left, absurd reports and a clock that jumps ahead by seconds: no
// rule is broken, nothing panics, and jobs afterwards are served as usual.
func TestLeftWorkersAbsurdReportsAndJumps(t *testing.T) {
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
				c.event(Event{Kind: EventJobProgress, Job: id, Attempt: n, Worker: to, Progress: JobAdvanced, Value: absurd[id%6]})
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
						c.event(Event{Kind: EventHealthChecked, Worker: a.Worker, Outcome: OK, Load: Load{Count: 3, Values: [4]float64{2, 0, 0}}})
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
