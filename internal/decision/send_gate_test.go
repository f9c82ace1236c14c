package decision

import (
	"testing"
	"time"
)

// Each outcome must lead to a retry, a rejection or a failure as the idempotency class requires.
func TestOutcomesByIdempotencyClass(t *testing.T) {
	const again, reject, fail, done = "again", "reject", "fail", "done"
	for _, tc := range []struct {
		outcome Outcome
		want    [5]string // by class of testSettings()
	}{
		{OK, [5]string{done, done, done, done, done}},
		{Rejected, [5]string{again, again, again, again, again}},
		{ConnectFailed, [5]string{again, again, again, again, again}},
		{NeverSent, [5]string{again, again, again, again, again}},
		{Error, [5]string{again, fail, again, again, again}},
		{Reset, [5]string{again, fail, again, again, again}},
		{TimedOut, [5]string{again, fail, again, again, again}},
		{Cancelled, [5]string{again, fail, again, again, again}},
	} {
		for class, want := range tc.want {
			c := newChecker(t, testSettings(), 1)
			c.event(Event{Kind: EventList, List: ListFull, Entries: testWorkers(24)})
			c.event(Event{Kind: EventJob, Job: 1, Class: class, Slots: 1, Deadline: c.now + 4*time.Second})
			if len(c.jobs[1].sends) != 1 {
				t.Fatalf("class %d: %d sends at arrival, want 1", class, len(c.jobs[1].sends))
			}
			c.outcome(1, 0, tc.outcome)
			got := done
			switch j := c.jobs[1]; {
			case len(j.sends) == 2:
				got = again
			case tc.outcome != OK && j.answered && c.dispatcher.actions[len(c.dispatcher.actions)-1].Kind == Fail:
				got = fail
			case tc.outcome != OK && j.answered:
				got = reject
			}
			if got != want {
				t.Errorf("outcome %d, class %d: %s, want %s", tc.outcome, class, got, want)
			}
		}
	}
}

// At the deadline a job that may have run must be answered at once: it fails, or is rejected if repeating
// is harmless.
func TestTimeoutAtDeadlineIsAnsweredAtOnce(t *testing.T) {
	for class, want := range []ActionKind{Reject, Fail, Fail, Fail, Reject} {
		c := newChecker(t, testSettings(), 1)
		c.event(Event{Kind: EventList, List: ListFull, Entries: testWorkers(24)})
		c.event(Event{Kind: EventJob, Job: 1, Class: class, Slots: 1, Deadline: c.now + time.Second})
		c.now += time.Second
		c.outcome(1, 0, TimedOut)
		if last := c.dispatcher.actions[len(c.dispatcher.actions)-1]; last.Kind != want {
			t.Errorf("class %d: action %d, want %d", class, last.Kind, want)
		}
	}
}

// If a rejection is no proof that a job never ran, a rejected NotIdempotent job must get no other attempt
// and must not be rejected, and a Deduplicated one must stay in its scope. Failed connections and unsent
// attempts still prove that the job never ran.
func TestUnprovenRejectionMayHaveRun(t *testing.T) {
	for _, tc := range []struct {
		outcome    Outcome
		class      int
		again      bool
		rejections bool
	}{
		{Rejected, 1, false, false}, {ConnectFailed, 1, true, true}, {NeverSent, 1, true, true},
		{Rejected, 0, true, true}, {Rejected, 2, true, false}, {Rejected, 4, true, true},
	} {
		c := newCheckerWithWorkers(t, 24, func(s *Settings) { s.RejectionUnproven, s.MaxAttempts = true, 2 })
		c.event(Event{Kind: EventJob, Job: 1, Class: tc.class, Slots: 1, Deadline: c.now + 4*time.Second})
		c.outcome(1, 0, tc.outcome)
		j := c.jobs[1]
		if again := len(j.sends) > 1; again != tc.again {
			t.Fatalf("outcome %d, class %d: sent again %v", tc.outcome, tc.class, again)
		}
		if tc.again {
			if tc.class == 2 && j.sends[1].to.Zone != j.sends[0].to.Zone {
				t.Errorf("a job deduplicated by zone left its zone")
			}
			c.outcome(1, 1, tc.outcome)
		}
		last := c.dispatcher.actions[len(c.dispatcher.actions)-1].Kind
		if !j.answered || (last == Reject) != tc.rejections {
			t.Errorf("outcome %d, class %d: answered %v with action %d", tc.outcome, tc.class, j.answered, last)
		}
	}
}

// The deduplication window must count from the earliest attempt that may have run, however often the job has
// been rejected since.
func TestDedupWindowCountsFromFirstUnprovenAttempt(t *testing.T) {
	c := newCheckerWithWorkers(t, 24,
		func(s *Settings) { s.RejectionUnproven, s.MaxAttempts, s.Classes[4].LateValue = true, 0, 0.5 })
	c.event(Event{Kind: EventJob, Job: 1, Class: 4, Slots: 1, Deadline: c.now + 5*time.Second})
	start := c.now
	for n := 0; n < len(c.jobs[1].sends); n++ {
		c.advance(350 * time.Millisecond)
		c.outcome(1, n, Rejected)
	}
	if last := c.jobs[1].sends[len(c.jobs[1].sends)-1].at - start; last > 2*time.Second || last < time.Second {
		t.Errorf("last attempt %v after the first, want 1 s to the window of 2 s", last)
	}
}

// A class that is restricted to kinds or zones must not go to other workers, not even if the allowed workers
// are full or have left, and never to a worker of unknown kind or zone. Such a job was sent to any worker.
func TestJobsStayWithinAllowedKindsAndZones(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*Settings)
		ok     func(Entry) bool
	}{
		"kind":         {func(s *Settings) { s.Classes[0].AllowedKinds = []int{1} }, func(e Entry) bool { return e.Kind == 1 }},
		"zone":         {func(s *Settings) { s.Classes[0].AllowedZones = []int{2} }, func(e Entry) bool { return e.Zone == 2 }},
		"unknown kind": {func(s *Settings) { s.Classes[0].AllowedKinds = []int{7} }, func(Entry) bool { return false }},
		"empty": {func(s *Settings) {
			s.Classes[0].AllowedKinds = []int{}
			s.Classes[0].AllowedZones = []int{}
		}, func(Entry) bool { return true }},
		"class's kind": {func(s *Settings) { s.Classes[0].WorkerKind = 1 }, func(e Entry) bool { return e.Kind == 1 }},
		"kind and need": {func(s *Settings) {
			s.Classes[0].AllowedKinds = []int{0}
			s.Classes[0].WorkerKind = 1
		}, func(Entry) bool { return false }},
	} {
		t.Run(name, func(t *testing.T) {
			for _, keys := range []uint64{0, 1} {
				c := newCheckerWithWorkers(t, 24, func(s *Settings) {
					s.Zones, s.MaxAttempts = 3, 0
					tc.change(s)
				})
				stray := []Entry{{Worker: 1, Kind: 9, Zone: 2, State: Ready}, {Worker: 2, Kind: 1, Zone: 9, State: Ready}}
				c.event(Event{Kind: EventList, List: ListDelta, Entries: stray})
				permitted := 0
				for _, e := range testWorkers(24) {
					if tc.ok(e) {
						permitted++
					}
				}
				attempts := 0
				for id := JobID(1); id <= 200; id++ {
					c.event(Event{Kind: EventJob, Job: id, Tenant: int(id) % 5, Key: uint64(id) * keys, Slots: 1,
						Deadline: c.now + time.Second})
					for _, open := range sortedIDs(c.jobs) { // every worker rejects it at once
						for n := 0; n < len(c.jobs[open].sends); n++ {
							if e := c.jobs[open].sends[n].to; !tc.ok(e) || name != "empty" && e.Worker <= 2 {
								t.Fatalf("keys %v: sent to %+v", keys, e)
							}
							if !c.jobs[open].sends[n].done {
								attempts++
								c.outcome(open, n, Rejected)
							}
						}
					}
					if permitted == 0 && !c.jobs[id].answered {
						t.Fatalf("keys %v: the job is pending although no worker may take it", keys)
					}
					c.advance(100 * time.Millisecond)
				}
				if permitted > 0 && attempts < 200 {
					t.Errorf("keys %v: only %d sends, want 200", keys, attempts)
				}
			}
		})
	}
}
