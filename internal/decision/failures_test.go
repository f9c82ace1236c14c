package decision

import (
	"flag"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same steps in every run

// ready is a checker with a list of n workers.
func ready(t *testing.T, n int, change func(*Settings)) *checker {
	s := site()
	if change != nil {
		change(&s)
	}
	c := newChecker(t, s, 1)
	c.event(Event{Kind: EventList, List: ListFull, Entries: fleet(n)})
	return c
}

// arrive lets one job of a tenant come in and tells whether it was sent.
func (c *checker) arrive(id JobID, tenant int) bool {
	c.event(Event{Kind: EventJob, Job: id, Tenant: tenant, Slots: 1, Deadline: c.now + 4*time.Second})
	return len(c.jobs[id].sends) > 0
}

// In the first seconds few arrivals are no sign of excess: a third of all jobs were refused by it once.
func TestFewArrivalsAreNoExcess(t *testing.T) {
	c := ready(t, 40, nil)
	for id := JobID(1); id < 40; id++ {
		if !c.arrive(id, []int{0, 1, 0, 2, 0, 3, 1, 0, 4, 2}[id%10]) {
			t.Fatalf("job %d of a quiet start was not sent", id)
		}
		c.outcome(id, 0, OK)
		c.advance(10 * time.Millisecond)
	}
}

// A tenant far beyond its share is shut out while there is strain, and others are not. Retries of the others'
// clients, which multiply what they ask, must not raise its due: a jam fed itself that way.
func TestExcessYieldsAndRetriesDoNotRaiseIt(t *testing.T) {
	admitted := func(retries int) (big, small int) {
		c := ready(t, 40, nil)
		id := JobID(0)
		for step := range 3000 {
			for _, tenant := range []int{0, 0, 0, 0, 1 + step%4} {
				tries := 1
				if tenant > 0 {
					tries += retries
				}
				for try := range tries {
					id++
					sent := c.arrive(id, tenant)
					if sent && try == 0 && (tenant == 0 || step%8 < 4) {
						if step > 1500 && tenant == 0 {
							big++
						} else if step > 1500 {
							small++
						}
						c.outcome(id, 0, OK)
					}
					// The rest finds every worker full: strain.
					for n := 0; !c.jobs[id].answered && n < len(c.jobs[id].sends); n++ {
						c.outcome(id, n, Rejected)
					}
				}
			}
			c.advance(10 * time.Millisecond)
		}
		return big, small
	}
	big, small := admitted(0)
	if small == 0 || big > 4*small {
		t.Errorf("the tenant beyond its share got %d jobs in, the others together %d", big, small)
	}
	if more, _ := admitted(3); more > big*3/2 {
		t.Errorf("retries of others raised what it got in from %d to %d", big, more)
	}
}

// Where a late answer is worth nothing, a job that has not started by its aim leaves the worker's queue; a
// queue full of such jobs kept everything late once.
func TestHopelessJobsAreCancelled(t *testing.T) {
	for _, tc := range []struct {
		late    float64
		started bool
		want    bool
	}{{0, false, true}, {0, true, false}, {0.5, false, false}} {
		c := ready(t, 24, func(s *Settings) { s.Classes[1].LateValue = tc.late })
		c.event(Event{Kind: EventJob, Job: 1, Class: 1, Slots: 1, Deadline: c.now + 4*time.Second})
		if tc.started {
			c.event(Event{Kind: EventJobProgress, Job: 1, Progress: JobStarted})
		}
		got := false
		for range 60 {
			c.advance(10 * time.Millisecond)
			for _, a := range c.d.actions {
				got = got || a.Kind == Cancel
			}
		}
		if got != tc.want {
			t.Errorf("late answers worth %v, started %v: cancelled %v, want %v", tc.late, tc.started, got, tc.want)
		}
	}
}

// Each failed call to discovery set two timers once, so that calls doubled with every failure.
func TestCallsToDiscoveryDoNotMultiply(t *testing.T) {
	c := newChecker(t, site(), 1)
	c.event(Event{Kind: EventList, List: ListCached, Entries: fleet(4)})
	calls := 0
	for range 6000 {
		c.advance(10 * time.Millisecond)
		if c.calls > calls {
			calls = c.calls
			c.event(Event{Kind: EventList, List: ListFailed})
		}
	}
	// A failed call allows four times the ask-within time; calls come well inside, and not in a storm.
	if longest := 40.0; float64(calls) < 60/longest || calls > 60 {
		t.Errorf("%d calls in a minute", calls)
	}
	c.event(Event{Kind: EventList, List: ListFull, Entries: fleet(4)})
	for range 6000 {
		c.advance(10 * time.Millisecond)
	}
	if c.calls != calls {
		t.Errorf("%d calls while the watch holds", c.calls-calls)
	}
}

// Dispatchers that start in step must not call discovery in step.
func TestFirstCallsAreSpread(t *testing.T) {
	at := map[time.Duration]int{}
	for seed := range uint64(200) {
		d := must(t, site(), seed)
		for _, a := range d.Handle(time.Second, &Event{Kind: EventList, List: ListCached, Entries: fleet(4)}, nil) {
			if a.Kind == SetTimer {
				at[a.Delay.Truncate(100*time.Millisecond)]++
				if a.Delay > site().MaxDiscoverySilence {
					t.Errorf("first call after %v, later than the limit", a.Delay)
				}
			}
		}
	}
	for when, n := range at {
		if n > 30 {
			t.Errorf("%d of 200 dispatchers call within 100 ms of %v", n, when)
		}
	}
}

// A worker just started gets no more from one dispatcher than its part, whatever the rest of the fleet turns away.
func TestColdWorkerIsNotPushedOver(t *testing.T) {
	for _, dispatchers := range []int{2, 4, 20} {
		c := ready(t, 12, func(s *Settings) { s.Dispatchers = dispatchers })
		id := JobID(0)
		serve := func(seconds int, o func(to WorkerID) Outcome) {
			for range seconds * 20 {
				id++
				c.arrive(id, int(id)%5)
				for n := 0; n < len(c.jobs[id].sends) && !c.jobs[id].answered; n++ {
					c.now += 40 * time.Millisecond
					c.outcome(id, n, o(c.jobs[id].sends[n].to.Worker))
				}
				c.advance(10 * time.Millisecond)
			}
		}
		serve(20, func(WorkerID) Outcome { return OK })
		cold := Entry{Worker: 777, Kind: 0, Zone: 0, Started: c.now, State: Ready}
		c.event(Event{Kind: EventList, List: ListDelta, Entries: []Entry{cold}})
		start := c.now
		serve(2, func(to WorkerID) Outcome {
			if to == cold.Worker {
				return OK
			}
			return Rejected
		})
		// A warm worker takes a twelfth of 20 jobs a second from here; cold it surely does a fifth of that.
		limit := c.s.OverloadMultiple * c.s.SlowStartShare * 20 / 12 * c.s.OverloadSpan.Seconds()
		n := 0
		for _, at := range c.cold[cold.Worker] {
			if at < start+c.s.OverloadSpan {
				n++
			}
		}
		if float64(n) > limit {
			t.Errorf("%d dispatchers: %d jobs to a cold worker within %v, over its part of the budget, %.1f",
				dispatchers, n, c.s.OverloadSpan, limit)
		}
	}
}

// Jobs of one key keep to few workers, the same for all dispatchers, also where a fetch has no price but takes time:
// keys went unheeded there, and nearly half of a quiet day's answers came late.
func TestKeysKeepToFewWorkers(t *testing.T) {
	met := map[WorkerID]bool{}
	for seed := range uint64(5) {
		c := newChecker(t, site(), seed)
		c.event(Event{Kind: EventList, List: ListFull, Entries: fleet(40)})
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

// Listed sizes of kinds are heeded from the first job on: one dispatcher in hundreds has no time to learn them. A size that
// none can have counts as the usual one.
func TestListedSizesAreHeeded(t *testing.T) {
	list := fleet(40)
	for i := range list {
		list[i].Weight = []float64{4, 1, 4, math.NaN()}[i%4]
	}
	c := newChecker(t, site(), 1)
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
	// Half of the workers has four fifths of the size.
	if part := float64(large) / 4000; part < 0.7 || part > 0.95 {
		t.Errorf("large workers got %v of the jobs", part)
	}
}

// A silent worker gets no more jobs but trials with repeat-safe ones.
func TestSilentWorker(t *testing.T) {
	for class := range 2 {
		c := ready(t, 24, nil)
		c.event(Event{Kind: EventJob, Job: 1, Class: class, Slots: 1, Deadline: c.now + 5*time.Second})
		for range 300 {
			c.advance(10 * time.Millisecond)
		}
		silent := c.jobs[1].sends[0].to.Worker
		for id := JobID(2); id < 200; id++ {
			c.event(Event{Kind: EventJob, Job: id, Class: 1, Slots: 1, Deadline: c.now + time.Second})
			if len(c.jobs[id].sends) > 0 && c.jobs[id].sends[0].to.Worker == silent {
				t.Fatalf("class %d: an Unsafe job went to the silent worker", class)
			}
			c.outcome(id, 0, OK)
		}
	}
}

// State is released: days of traffic and replaced workers leave nothing behind.
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
	if d := c.d; len(d.jobs.byID) > 0 || len(d.jobs.open) > 0 || len(d.workers.byID) != 12 || len(d.workers.ordered) != 12 || len(c.timer) > 1 {
		t.Errorf("left behind: %d jobs, %d open, %d workers, %d in order, %d timers",
			len(d.jobs.byID), len(d.jobs.open), len(d.workers.byID), len(d.workers.ordered), len(c.timer))
	}
	for _, w := range c.d.workers.ordered {
		if w.ownSlots > 1e-9 {
			t.Errorf("worker %d still counts %v slots", w.Worker, w.ownSlots)
		}
	}
}

// A dispatcher that stood still has heard nobody for a while: the fault is its own, and nobody is suspected for it.
func TestOwnStandstillSuspectsNobody(t *testing.T) {
	c := ready(t, 24, nil)
	for id := JobID(1); id <= 20; id++ {
		c.event(Event{Kind: EventJob, Job: id, Slots: 1, Deadline: c.now + 9*time.Second})
	}
	c.advance(40 * time.Millisecond)
	c.advance(3 * time.Second)
	for id, j := range c.jobs {
		if len(j.sends) > 1 || j.answered {
			t.Errorf("job %d: %d attempts, answered %v", id, len(j.sends), j.answered)
		}
	}
	for _, w := range c.d.workers.ordered {
		if w.unhealthy {
			t.Errorf("worker %d is suspect", w.Worker)
		}
	}
}

// One dispatcher in hundreds holds no slots nearly anywhere, and each new worker cost it a handshake: a worker with an
// idle connection that began the last job at once comes first in the pair; one that let it wait does not, nor one whose
// connection has been closed by now, nor any where that time is not stated.
func TestIdleConnectionsAreUsedAgain(t *testing.T) {
	for _, tc := range []struct {
		idle, wait time.Duration
		most       int // workers met
		least      int
	}{{time.Minute, 0, 8, 1}, {time.Minute, 100 * time.Millisecond, 40, 10}, {time.Second, 0, 40, 10}, {0, 0, 40, 10}} {
		c := ready(t, 40, func(s *Settings) { s.ConnIdle = tc.idle })
		met := map[WorkerID]bool{}
		for id := JobID(1); id <= 30; id++ {
			c.event(Event{Kind: EventJob, Job: id, Class: 1, Slots: 1, Deadline: c.now + 4*time.Second})
			to := c.jobs[id].sends[0].to.Worker
			met[to] = true
			c.advance(tc.wait)
			c.event(Event{Kind: EventJobProgress, Job: id, Worker: to, Progress: JobStarted})
			c.outcome(id, 0, OK)
			c.advance(1500 * time.Millisecond)
		}
		if len(met) > tc.most || len(met) < tc.least {
			t.Errorf("idle for %v, wait %v: %d workers met", tc.idle, tc.wait, len(met))
		}
	}
}

// Kinds are weighed by what they hold, not by speed alone: with keys, small workers got four fifths of the attempts and
// turned most away while large ones had room.
func TestKindsAreWeighedByTheirSlots(t *testing.T) {
	c := ready(t, 60, func(s *Settings) {
		s.Report = LoadReportLayout{FreeSlots: 0, InFlight: 1, Queue: -1, FreeMemory: -1, Util: -1, Errors: -1}
	})
	large := 0
	for id := JobID(1); id <= 2000; id++ {
		c.event(Event{Kind: EventJob, Job: id, Key: uint64(id), Slots: 1, Deadline: c.now + time.Second})
		to := c.jobs[id].sends[0].to
		if id > 1000 && to.Kind == 1 {
			large++
		}
		load := Load{Count: 2, Values: [4]float64{1, float64(1 + 6*to.Kind)}} // two slots, or eight
		if id%7 == 0 {
			load.Values[0] = []float64{math.NaN(), math.Inf(1), -4}[id%3]
		}
		c.advance(50 * time.Millisecond)
		c.event(Event{Kind: EventOutcome, Job: id, Worker: to.Worker, Outcome: OK, JobEnded: true, Load: load})
	}
	if large < 700 || large > 900 {
		t.Errorf("workers with four fifths of the slots got %d of 1000 jobs", large)
	}
}

// A key's workers may be full while those of another kind have room: once turned away, its job may go there.
func TestKeyLeavesItsKindOnceTurnedAway(t *testing.T) {
	c := ready(t, 40, func(s *Settings) { s.MaxAttempts = 0 })
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

// A job that starts too late to be in time says what Full says: its worker is left alone for a moment and excess yields;
// long queues hid an overload, and every third job of a quiet day started after its aim.
func TestLateStartCountsAsFull(t *testing.T) {
	for _, late := range []bool{true, false} {
		c := ready(t, 24, nil)
		c.d.shedder.excessShare = 1
		c.event(Event{Kind: EventJob, Job: 1, Class: 1, Slots: 1, Deadline: c.now + 4*time.Second})
		to := c.jobs[1].sends[0].to.Worker
		if late {
			c.advance(200 * time.Millisecond)
		}
		c.event(Event{Kind: EventJobProgress, Job: 1, Worker: to, Progress: JobStarted})
		if left := c.d.workers.byID[to].backoffUntil > c.now; left != late || (c.d.shedder.excessShare < 1) != late {
			t.Errorf("late %v: left alone %v, excess let in %v", late, left, c.d.shedder.excessShare)
		}
	}
}

// Queues long enough to take everything hid an overload: nothing was refused and nearly all came late. Where more than a
// fifth of the starts comes after the whole aim, part of all jobs is refused at once, and no more of them once starts are prompt.
func TestLateStartsShedJobs(t *testing.T) {
	c := ready(t, 24, func(s *Settings) { s.Classes[1].LateValue = 0.5 })
	id := JobID(0)
	part := func(late int) float64 { // every so manieth start is late
		refused := 0
		for n := range 400 {
			id++
			c.event(Event{Kind: EventJob, Job: id, Class: 1, Tenant: n % 5, Slots: 1, Deadline: c.now + 4*time.Second})
			if len(c.jobs[id].sends) == 0 {
				if n >= 200 {
					refused++
				}
				c.advance(20 * time.Millisecond)
				continue
			}
			if n%late == 0 {
				c.advance(310 * time.Millisecond)
			}
			c.event(Event{Kind: EventJobProgress, Job: id, Worker: c.jobs[id].sends[0].to.Worker, Progress: JobStarted})
			c.outcome(id, 0, OK)
			c.advance(20 * time.Millisecond)
		}
		return float64(refused) / 200
	}
	if p := part(10); p > 0.1 {
		t.Errorf("a tenth late: %v refused", p)
	}
	if p := part(2); p < 0.4 {
		t.Errorf("half late: only %v refused", p)
	}
	if p := part(1000); p > 0.05 {
		t.Errorf("prompt again: %v refused", p)
	}
}

// Own slots alone hid what others hold: jobs queued at full workers while there was room elsewhere, and a quiet day had
// half of them late. Reports and starts tell who is full: such a worker gets nothing while another has room; with all
// full a job is held, goes to the first slot that is freed, and is refused at once when it can only wait for long.
func TestReportsAndStartsShowWhoIsFull(t *testing.T) {
	c := ready(t, 8, func(s *Settings) {
		s.ReportsLoad, s.ParallelAttempts, s.Dispatchers, s.Report = true, false, 1, LoadReportLayout{0, -1, 1, -1, -1, -1}
	})
	id := JobID(0)
	job := func() (sends []sent) {
		id++
		c.event(Event{Kind: EventJob, Job: id, Tenant: int(id) % 5, Slots: 1, Deadline: c.now + 4*time.Second})
		return c.jobs[id].sends
	}
	full := c.d.workers.ordered[0].Worker
	for range 400 { // one by one: all show three free slots, but for the one that others fill
		s := job()
		if len(s) == 0 {
			continue
		}
		c.event(Event{Kind: EventJobProgress, Job: id, Worker: s[0].to.Worker, Progress: JobStarted})
		if c.load = (Load{Count: 2, Values: [4]float64{3, 0.01 * float64(id%7)}}); s[0].to.Worker == full {
			c.load.Values[0], c.load.Values[1] = 0, 2+c.load.Values[1]
		}
		c.advance(100 * time.Millisecond)
		c.outcome(id, 0, OK)
	}
	at, held := map[WorkerID][]JobID{}, JobID(0)
	for held == 0 && id < 1000 {
		s := job()
		if len(s) == 0 {
			held = id
			continue
		}
		to := s[0].to.Worker
		most := 3
		if to == full {
			most = 1 // what was known of it fades: now and then one job finds out anew
		}
		if at[to] = append(at[to], id); len(at[to]) > most {
			t.Errorf("worker %d has %d jobs, full is %d", to, len(at[to]), full)
		}
	}
	freed := c.d.workers.ordered[1].Worker
	if held == 0 || c.jobs[held].answered || int(held) < 400+14 || len(at[freed]) == 0 {
		t.Fatalf("with all full: job %d is not held, %v are out", held, at)
	}
	c.load = Load{}
	c.event(Event{Kind: EventJobProgress, Job: at[freed][0], Worker: freed, Progress: JobStarted})
	c.outcome(at[freed][0], 0, OK)
	if s := c.jobs[held].sends; len(s) != 1 || s[0].to.Worker != freed {
		t.Errorf("a slot is free at %d, the held job went to %v", freed, s)
	}
	first, refused := id+1, 0
	for range 60 {
		job()
	}
	for range 40 {
		c.advance(10 * time.Millisecond)
	}
	for ; first <= id; first++ {
		if c.jobs[first].answered && len(c.jobs[first].sends) == 0 {
			refused++
		}
	}
	if refused < 20 {
		t.Errorf("with all full for long only %d of 60 jobs are refused", refused)
	}
}

// What a worker last reported comes again with every answer until it reports anew: counted each time, a moment that was
// long over outweighed all else.
func TestARepeatedReportCountsOnce(t *testing.T) {
	c := ready(t, 4, func(s *Settings) { s.ReportsLoad, s.Report = true, LoadReportLayout{0, -1, 1, -1, -1, -1} })
	w, l := c.d.workers.ordered[0], Load{Count: 2, Values: [4]float64{0, 5}}
	c.d.load.observeReport(w, &l, c.d.now)
	if once := w.peerSlots; once <= 0 {
		t.Errorf("a full worker's report says that others hold %v", once)
	} else if c.d.load.observeReport(w, &l, c.d.now); w.peerSlots != once {
		t.Errorf("the same report once more: %v after %v", w.peerSlots, once)
	} else if l.Values[1] = 6; true {
		if c.d.load.observeReport(w, &l, c.d.now); w.peerSlots <= once {
			t.Errorf("a new one: %v after %v", w.peerSlots, once)
		}
	}
}

// A slot that is freed goes to the held job that is worth most for its time, and that one may wait longer at a worker.
func TestWorthierHeldJobGoesFirst(t *testing.T) {
	c := ready(t, 8, func(s *Settings) {
		s.ReportsLoad, s.ParallelAttempts, s.Report = true, false, LoadReportLayout{0, -1, 1, -1, -1, -1}
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
	plain, worthy := held(0), held(4)
	if c.d.forecasts.density(c.d.jobs.byID[worthy]) <= c.d.forecasts.density(c.d.jobs.byID[plain]) {
		t.Error("the worthier job does not count as denser")
	}
	c.outcome(1, 0, OK)
	if len(c.jobs[plain].sends) != 0 || len(c.jobs[worthy].sends) != 1 {
		t.Errorf("the freed slot: plain %v, worthy %v", c.jobs[plain].sends, c.jobs[worthy].sends)
	}
}

// A refusal tells when to come back, where clients are told: within the stated limit, not all together, later the less
// is let in. A failure tells nothing, and where clients are not told neither does a refusal.
func TestRefusalsTellWhenToComeBack(t *testing.T) {
	times := func(told bool, let float64, class int) map[time.Duration]bool {
		c := ready(t, 0, func(s *Settings) { s.RetryAfter, s.MaxRetryAfter = told, time.Second })
		if class == 1 {
			c = ready(t, 24, func(s *Settings) { s.RetryAfter, s.MaxRetryAfter = told, time.Second })
		}
		out := map[time.Duration]bool{}
		for id := JobID(1); id <= 20; id++ {
			c.d.shedder.admittedShare = 1
			c.event(Event{Kind: EventJob, Job: id, Class: class, Slots: 1, Deadline: c.now + 4*time.Second})
			c.d.shedder.admittedShare = let
			if class == 1 {
				c.outcome(id, 0, Error)
			} else {
				c.d.reject(&jobState{Event: Event{Job: id}})
			}
			out[c.d.actions[len(c.d.actions)-1].RetryAfter] = true
		}
		return out
	}
	for at := range times(true, 0.01, 0) {
		if at <= 0 || at > time.Second {
			t.Errorf("to come back after %v", at)
		}
	}
	if n := len(times(true, 1, 0)); n < 15 {
		t.Errorf("%d different times for 20 refusals", n)
	}
	for name, got := range map[string]map[time.Duration]bool{"not told": times(false, 1, 0), "failed": times(true, 1, 1)} {
		if len(got) != 1 || !got[0] {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Found by a hunt: 156 dispatchers that had looked at a cold worker with a long job let short ones through at once, and what
// each had saved while nobody wanted to go there came in the same second. All together stay within the budget.
func TestColdBudgetIsNotSavedUp(t *testing.T) {
	const n = 150
	for _, idle := range []time.Duration{0, 4 * time.Second} {
		work, limit := 0.0, 0.0
		for seed := range uint64(n) {
			s := site()
			s.Dispatchers, s.OverloadMultiple, s.OverloadSpan, s.SlowStartShare = n, 1.5, time.Second, 0.16
			d := must(t, s, seed)
			d.now, d.times.runSeconds[0], d.times.runSeconds[1], d.budget.servedWork[0], d.pools.ready[0] = time.Minute, 0.9, 0.15, 2.5, 10
			w := &workerState{Entry: Entry{Worker: 1, Started: d.now - 2*time.Second, State: Ready}, workerHealth: workerHealth{slowness: 1}}
			long, short := &jobState{Event: Event{Class: 0, Slots: 1}}, &jobState{Event: Event{Class: 1, Slots: 1}}
			d.budget.allows(w, long, d.now)
			for range int(idle / (100 * time.Millisecond)) {
				d.now += 100 * time.Millisecond
				d.budget.allows(w, long, d.now)
			}
			limit += s.OverloadMultiple * d.slowStart.share(w, d.now) * d.budget.servedWork[0] / rateMemory.Seconds() / d.pools.ready[0]
			for range 10 { // within one span everybody wants to send there
				for d.budget.allows(w, short, d.now) {
					w.hasTurn = false
					work += 0.15
				}
				d.now += 100 * time.Millisecond
			}
		}
		if work > limit {
			t.Errorf("idle %v: %.2f slot seconds sent within a span, the budget is %.2f", idle, work, limit)
		}
	}
}

// Both lines of a job may come in one write, so that it seems to run for no time at all, and the first kind may have
// no workers here. What a worker takes fell by a factor a job then and a class's running time grew by one, until
// neither was a number and every job was refused for good.
func TestJobsThatSeemToTakeNoTime(t *testing.T) {
	for _, measure := range []int{0, 1} {
		s := site()
		s.Report, s.ReportsLoad = LoadReportLayout{FreeSlots: 0, Queue: 3, FreeMemory: -1, InFlight: -1, Util: -1, Errors: -1}, true
		d, now := must(t, s, 1), time.Minute
		list := fleet(12)
		for i := range list {
			list[i].Kind = measure
		}
		d.Handle(now, &Event{Kind: EventList, List: ListFull, Entries: list}, nil)
		for id := JobID(1); id <= 100_000; id++ {
			if now += 250 * time.Microsecond; id%64 == 0 {
				d.Handle(now, &Event{Kind: EventTimer, Token: checkToken}, nil)
			}
			var sent *Action
			for _, a := range d.Handle(now, &Event{Kind: EventJob, Job: id, Slots: 1, Deadline: now + 4*time.Second}, nil) {
				if a.Kind == Send {
					sent = &a
				}
			}
			if sent == nil {
				t.Fatalf("kind %d: job %d was not sent with all workers idle", measure, id)
			}
			d.Handle(now, &Event{Kind: EventJobProgress, Progress: JobStarted, Job: id, Worker: sent.Worker}, nil)
			d.Handle(now, &Event{Kind: EventOutcome, Job: id, Worker: sent.Worker, Outcome: OK,
				Load: Load{Count: 4, Values: [4]float64{2, 0, 0, 0}}}, nil)
		}
		learned(t, d)
	}
}

// learned holds what a dispatcher has learned to the bounds that decisions need.
func learned(t interface{ Errorf(string, ...any) }, d *Dispatcher) {
	within := func(what string, v, least, most float64) {
		if !(v >= least && v <= most) {
			t.Errorf("%s is %v, not in %v to %v", what, v, least, most)
		}
	}
	const most = 1e6
	for k := range d.times.slowness {
		within("slow", d.times.slowness[k], 1./maxSlowness, maxSlowness)
		within("served", d.budget.servedWork[k], 0, math.MaxFloat32)
		within("room", d.load.slotsSeen[k], 0, math.MaxInt32)
	}
	for i := range d.times.runSeconds {
		within("run", d.times.runSeconds[i], minRunSeconds/maxSlowness, most)
		within("took", d.times.answerSeconds[i], 0, most)
	}
	within("mean", d.times.meanRunSeconds, minRunSeconds/maxSlowness, most)
	within("spare", d.shedder.excessShare, minAdmittedShare, 1)
	for _, w := range d.workers.ordered {
		within("pace", w.slowness, 1e-9, most)
		within("others", w.peerSlots, 0, math.MaxFloat32)
		within("wait", d.forecasts.waitSeconds(w, 1, d.now), 0, math.MaxFloat32)
	}
}

// Whatever is measured and reported, from no time to days, what is learned stays a number within its bounds.
func TestLearnedFiguresStayInBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := site()
		s.Report, s.ReportsLoad = LoadReportLayout{FreeSlots: 0, Queue: 3, FreeMemory: -1, InFlight: -1, Util: -1, Errors: -1}, true
		s.Classes[0].LatencyTarget, s.Classes[1].Value = time.Duration(rapid.IntRange(0, 1).Draw(rt, "aim"))*time.Second, 0
		d, now := must(t, s, 1), time.Minute
		kind := rapid.IntRange(0, 2).Draw(rt, "kinds at work")
		list := fleet(6)
		for i := range list {
			if list[i].Kind = i % 2; kind < 2 {
				list[i].Kind = kind
			}
		}
		d.Handle(now, &Event{Kind: EventList, List: ListFull, Entries: list}, nil)
		spans := rapid.SliceOfN(rapid.SampledFrom([]time.Duration{0, 1, time.Microsecond, time.Millisecond, time.Second,
			time.Hour, 200 * time.Hour}), 1, 8).Draw(rt, "spans")
		figures := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 1, -5, 1e300, math.Inf(1), math.Inf(-1), math.NaN()}), 1, 8).Draw(rt, "figures")
		for id := JobID(1); id < 2000; id++ {
			if now += time.Millisecond; id%64 == 0 {
				d.Handle(now, &Event{Kind: EventTimer, Token: checkToken}, nil)
			}
			span, figure := spans[int(id)%len(spans)], figures[int(id)%len(figures)]
			acts := d.Handle(now, &Event{Kind: EventJob, Job: id, Class: int(id) % len(s.Classes), Slots: figure}, nil)
			for n := 0; n < len(acts); n++ {
				if a := acts[n]; a.Kind == Send {
					d.Handle(now, &Event{Kind: EventJobProgress, Progress: JobStarted, Job: a.Job, Attempt: a.Attempt, Worker: a.Worker}, nil)
					now += span
					d.Handle(now, &Event{Kind: EventOutcome, Job: a.Job, Attempt: a.Attempt, Worker: a.Worker, Outcome: OK, JobEnded: true,
						Load: Load{Count: 4, Values: [4]float64{figure, 0, 0, figure}}}, nil)
				}
			}
		}
		learned(rt, d)
	})
}

// shared sets a deployment up in which 80 dispatchers share the workers, which report free slots and queues.
func shared(s *Settings) {
	s.Dispatchers, s.ReportsLoad, s.ParallelAttempts, s.Report = 80, true, false, LoadReportLayout{0, -1, 1, -1, -1, -1}
	s.SlowStartShare, s.SlowStartDuration, s.OverloadMultiple, s.OverloadSpan = 0.3, 9*time.Second, 3, time.Second
}

// work is how a worker takes a job: how long until it starts and until it is done, and what it then reports.
type work struct {
	way, run    time.Duration
	free, queue float64
}

// serve lets n jobs come, each when the one before is done: its own slots are none at all.
func (c *checker) serve(n JobID, at func(id JobID, w Entry) work) {
	for id := JobID(1); id <= n; id++ {
		if c.arrive(id, int(id)%5) {
			w := at(id, c.jobs[id].sends[0].to)
			c.advance(w.way)
			c.event(Event{Kind: EventJobProgress, Job: id, Worker: c.jobs[id].sends[0].to.Worker, Progress: JobStarted})
			c.load = Load{Count: 2, Values: [4]float64{w.free, w.queue + 0.01*float64(id%7)}}
			c.advance(w.run)
			c.outcome(id, 0, OK)
		}
	}
}

// Many dispatchers round one fleet, each with a few jobs a second, hardly meet a worker twice. What they did not know of a
// worker counted as nothing, so all of them sent to the fast kind, which was full, while the slow one stood idle.
func TestManyDispatchersFillAllKinds(t *testing.T) {
	to := [2]int{}
	ready(t, 60, shared).serve(240, func(id JobID, w Entry) work {
		if id > 100 {
			to[w.Kind]++
		}
		if w.Kind == 0 && id > 30 {
			return work{run: 100 * time.Millisecond, queue: float64(3 + id%3)}
		}
		return work{run: time.Duration(100+100*w.Kind) * time.Millisecond, free: 4}
	})
	if to[1] < to[0] {
		t.Errorf("the full fast kind gets %d jobs, the idle slow one %d", to[0], to[1])
	}
}

// Where all are full, jobs are refused; with nothing sent nothing is learned of when that is over. Refusals kept
// themselves up for good: up to half of all jobs, with workers three quarters idle.
func TestRefusalsDoNotKeepThemselvesUp(t *testing.T) {
	refused := 300 // long after the jam, but for those that are sent
	ready(t, 60, shared).serve(900, func(id JobID, _ Entry) work {
		refused -= int(id / 601)
		if id > 100 && id < 500 {
			return work{run: 100 * time.Millisecond, queue: float64(30 + id%7)}
		}
		return work{run: 100 * time.Millisecond, free: 4}
	})
	if refused > 60 {
		t.Errorf("%d of 300 jobs are refused long after the jam", refused)
	}
}

// Each of 80 dispatchers saved up for a whole job before it sent one to a cold worker: 80 s with its part of what such
// a worker bears, so that 36 new workers stood idle for seconds while a third of all jobs was refused. All together
// they use it well now, and stay within the rule's budget.
func TestManyDispatchersShareAColdWorker(t *testing.T) {
	shareAColdWorker(t, 4, 2, 0, 8)  // its warm mates have 13 jobs a second each; it surely bears 4 of that
	shareAColdWorker(t, 1, 8, 0, 5)  // what mostly idle ones do says little of what it bears: their slots do
	shareAColdWorker(t, 1, 8, 8, 14) // and where these are all held, it need not wait for its mates to do more
}

func shareAColdWorker(t *testing.T, perSecond int, slots, queue float64, least int) {
	const n, run = 80, 200 * time.Millisecond
	list := fleet(24)
	for i := range list {
		list[i].Kind = 0
	}
	var sends []time.Duration
	for seed := range uint64(n) {
		s := site()
		shared(&s)
		d, now, id := must(t, s, seed), time.Minute+time.Duration(seed)*time.Millisecond, JobID(0)
		d.Handle(now, &Event{Kind: EventList, List: ListFull, Entries: list}, nil)
		cold := Entry{Worker: 777, Started: time.Minute + 10*time.Second, State: Ready}
		for ; now < time.Minute+13*time.Second; now += time.Second / time.Duration(perSecond) {
			if now >= cold.Started && d.workers.byID[cold.Worker] == nil {
				d.Handle(now, &Event{Kind: EventList, List: ListDelta, Entries: []Entry{cold}}, nil)
			}
			id++
			for _, a := range d.Handle(now, &Event{Kind: EventJob, Job: id, Tenant: int(id) % 5, Slots: 1, Deadline: now + time.Second}, nil) {
				if a.Kind != Send {
					continue
				} else if a.Worker == cold.Worker {
					sends = append(sends, now-cold.Started)
				}
				d.Handle(now, &Event{Kind: EventJobProgress, Job: id, Worker: a.Worker, Progress: JobStarted}, nil)
				d.Handle(now+run, &Event{Kind: EventOutcome, Job: id, Worker: a.Worker, Outcome: OK, JobEnded: true,
					Load: Load{Count: 2, Values: [4]float64{slots * float64(count(queue == 0 || id < 3)), queue*float64(count(id >= 3)) + 0.01*float64(id)}}}, nil)
			}
		}
	}
	slices.Sort(sends)
	each := max(float64(n*perSecond)/24, slots/run.Seconds()) // jobs a second that a warm worker bears
	for i := range sends {
		last, _ := slices.BinarySearch(sends, sends[i]+time.Second)
		share := 0.3 + 0.7*sends[i].Seconds()/9
		if got, most := float64(last-i), 3*share*each; got > most {
			t.Errorf("%.0f jobs within a second from %v on, the budget is %.1f", got, sends[i], most)
		}
	}
	if len(sends) < least {
		t.Errorf("%d dispatchers' jobs a second, %v slots: %d jobs in 3 s for a cold worker, not %d", n*perSecond, slots, len(sends), least)
	}
}

// A job that lies at its worker tells that its kind is full before it starts, and its answer, seconds later, with a report:
// until then all went on sending there.
func TestJobsThatLieTellOfAJam(t *testing.T) {
	c := ready(t, 60, shared)
	c.serve(80, func(JobID, Entry) work { return work{run: 200 * time.Millisecond, free: 4} })
	if c.d.load.slotsSeen[0] != 4 || c.d.load.groupLoad[0] > 2 || c.d.load.groupLoad[1] > 2 {
		t.Fatalf("idle workers: %v slots, others hold %v", c.d.load.slotsSeen, c.d.load.groupLoad)
	}
	lying := [2]int{}
	for id := JobID(101); id <= 108; id++ {
		if c.arrive(id, int(id)%5) {
			lying[c.jobs[id].sends[0].to.Kind]++
		}
		for range 10 {
			c.advance(20 * time.Millisecond)
		}
	}
	for k, n := range lying {
		if full := c.d.load.groupLoad[k] >= c.d.load.slotsSeen[k]; full != (n > 0) {
			t.Errorf("%d jobs lie at kind %d, and others hold %v of %v slots", n, k, c.d.load.groupLoad[k], c.d.load.slotsSeen[k])
		}
	}
}

// A connection that has to be made takes several times the way to another zone. How long each way takes is learned from
// the quicker starts, and of workers alike the one that answers sooner is taken.
func TestTheWayToAWorkerCounts(t *testing.T) {
	c := ready(t, 60, func(s *Settings) { shared(s); s.Classes[0].LatencyTarget = 200 * time.Millisecond })
	near := 0
	c.serve(400, func(id JobID, w Entry) work {
		some := time.Duration(id%3) * 20 * time.Millisecond // some wait a little
		if w.Zone != c.s.Zone {
			return work{way: 120*time.Millisecond + some, run: 50 * time.Millisecond, free: 1}
		}
		near += count(id > 100)
		return work{way: time.Millisecond + some, run: 50 * time.Millisecond, free: 1}
	})
	if own, far := c.d.delays.seconds[1][0], c.d.delays.seconds[0][0]; own > 0.05 || far < 0.08 || far > 0.2 {
		t.Errorf("ways learned: %.3f s in its zone, %.3f s beyond", own, far)
	}
	if near < 285 { // a third of all are near; picked from all of a kind, half the jobs paid for a far handshake
		t.Errorf("%d of 300 jobs stay near, with room there", near)
	}
	for k := range c.d.load.slotsSeen { // what is learned of the own zone's says nothing of those beyond, and the other way round
		c.d.load.groupLoad[2*k], c.d.load.groupLoad[2*k+1] = 0, 16
	}
	clear(c.d.workers.byID) // what was learned of each goes, and the list that follows brings all anew
	entries := make([]Entry, len(c.d.workers.ordered))
	for i, w := range c.d.workers.ordered {
		entries[i] = w.Entry
	}
	c.event(Event{Kind: EventList, List: ListFull, Entries: entries})
	for id := JobID(1000); id < 1020; id++ {
		if !c.arrive(id, int(id)%5) || c.jobs[id].sends[0].to.Zone == c.s.Zone {
			t.Errorf("job %d is refused, or stays in the full own zone", id)
		}
	}
}

// Once a job's first try was longer ago than its aim, or its client leaves sooner than a worker can answer, it earns next
// to nothing: on a join day 1,258 of 2,180 jobs that ran out of time had under half a second and kept later ones waiting.
func TestWhatCanEarnLittleGivesWay(t *testing.T) {
	c := ready(t, 60, func(s *Settings) { shared(s); s.Classes[0].LateValue = 0.2 })
	run := time.Duration(c.d.times.runSeconds[0] * float64(time.Second))
	for id, tc := range []struct {
		held     float64
		patience time.Duration
		repeat   bool
		sent     bool
	}{{4, 4 * time.Second, false, true}, {4, run / 10, false, false}, {4, time.Second, true, false},
		{0, run / 10, false, true}, {0, time.Second, true, true}} { // where nobody waits there is nothing to lose
		for k := range c.d.load.groupLoad {
			c.d.load.groupLoad[k], c.d.load.slotsSeen[k/2] = tc.held, 4
		}
		job := JobID(id + 1)
		c.event(Event{Kind: EventJob, Job: job, Tenant: id, Slots: 1, Retry: tc.repeat, Deadline: c.now + tc.patience})
		if sent := len(c.jobs[job].sends) > 0; sent != tc.sent {
			t.Errorf("others hold %v of 4 slots, %v left, repeat %v: sent %v", tc.held, tc.patience, tc.repeat, sent)
		}
	}
}

// Late answers are worth little and keep later jobs waiting: with all kinds busy, two thirds of the jobs of some seconds
// came late where a fifth had to be refused. What is likely late is refused at once, what is worth most goes through.
func TestLikelyLateJobsAreRefused(t *testing.T) {
	c := ready(t, 60, func(s *Settings) { shared(s); s.Classes[4].Value = 20 })
	for id, tc := range []struct {
		held  float64
		class int
		sent  bool
	}{{2, 0, true}, {6, 0, false}, {6, 4, true}, {16, 4, false}} {
		for k := range c.d.load.groupLoad {
			c.d.load.groupLoad[k], c.d.load.slotsSeen[k/2] = tc.held, 4
		}
		job := JobID(id + 1)
		c.event(Event{Kind: EventJob, Job: job, Class: tc.class, Tenant: id, Slots: 1, Deadline: c.now + 4*time.Second})
		if sent := len(c.jobs[job].sends) > 0; sent != tc.sent || c.jobs[job].answered == sent {
			t.Errorf("others hold %v of 4 slots, class %d: sent %v, answered %v", tc.held, tc.class, sent, c.jobs[job].answered)
		}
	}
}

// The label's pool had nine tenths of its tenants' share of the workers, the leftovers the rest: the larger tenants' jobs
// met workers a third busier than the others', and stayed there, refused as too likely late, while those had room.
func TestPoolsFitTheirShares(t *testing.T) {
	c := ready(t, 200, shared)
	for l, share := range c.d.pools.shares {
		for kind, members := range c.d.pools.members[l] {
			if got := float64(len(members)) / c.d.pools.ready[kind]; math.Abs(got-share) > 0.02 {
				t.Errorf("label %d has %.2f of the jobs and %.2f of kind %d", l, share, got, kind)
			}
		}
	}
	tenant := slices.Index(c.d.pools.labelOfTenant, 1)
	full := c.d.pools.members[1]
	for k := range full {
		c.d.load.slotsSeen[k] = 4
		for _, w := range full[k] {
			w.peerSlots, w.peerSlotsAt = 16, c.now
		}
	}
	if !c.arrive(1, tenant) {
		t.Fatal("a job is refused as its pool is full, with all other workers idle")
	}
	for _, members := range full {
		if slices.Contains(members, c.d.workers.byID[c.jobs[1].sends[0].to.Worker]) {
			t.Error("it was sent to the full pool")
		}
	}
}

// few sets a deployment up in which a handful of dispatchers pay for crossing zones, late answers earn nothing, worth
// grows with the work and one class must never run twice.
func few(s *Settings) {
	shared(s)
	s.Dispatchers, s.CrossZoneCost, s.ValueByWork, s.ProgressInterval = 4, 0.08, true, 2*time.Second
}

// With four dispatchers zones were hardly looked at: own-zone workers only broke ties, and with a slow kind beside a fast
// one nine in ten jobs crossed (price 0.058 to 0.075 of G on each quick day). A slow kind that is still in time will do.
func TestJobsStayInTheirZoneWhereCrossingIsDear(t *testing.T) {
	for _, tc := range []struct {
		price     float64
		from, too int
	}{{0.08, 285, 300}, {0.01, 0, 200}} { // a third of the workers are near
		near := 0
		ready(t, 60, func(s *Settings) { few(s); s.CrossZoneCost = tc.price }).serve(400, func(id JobID, w Entry) work {
			near += count(w.Zone == 0 && id > 100)
			return work{way: time.Millisecond, run: time.Duration(100+60*w.Kind) * time.Millisecond, free: 4}
		})
		if near < tc.from || near > tc.too {
			t.Errorf("crossing costs %v: %d of 300 jobs stay in their zone", tc.price, near)
		}
	}
}

// Where late answers earn nothing, a job that had not begun by the fixed part of its aim was cancelled, and as one that
// may run only once it had failed for good: 10 to 30 % of all jobs on most days. The aim grows with the job's own time.
func TestWaitingJobsKeepTheSlackOfTheirOwnTime(t *testing.T) {
	for _, queue := range []float64{0, 40} { // it goes sooner where many would wait behind it
		c := ready(t, 60, func(s *Settings) { few(s); s.Classes[1].Stretch = 3 })
		c.serve(60, func(JobID, Entry) work { return work{run: 300 * time.Millisecond, free: 4} })
		slack := seconds(2 * c.d.times.runSeconds[1])
		c.event(Event{Kind: EventJob, Job: 900, Class: 1, Slots: 1, Deadline: c.now + 4*time.Second})
		came, w := c.now, c.d.workers.byID[c.jobs[900].sends[0].to.Worker]
		for !c.d.jobs.byID[900].attempts[0].cancelled && c.now < came+3*time.Second {
			c.advance(10 * time.Millisecond)
			w.peerSlots, w.peerSlotsAt = queue, c.now
		}
		waited := c.now - came - c.s.Classes[1].LatencyTarget
		if late := waited - slack; queue == 0 && late.Abs() > 60*time.Millisecond || queue > 0 && waited > 60*time.Millisecond {
			t.Errorf("queue %v: dropped %v after its aim, its own time leaves it %v", queue, waited, slack)
		}
	}
}

// Worth that grows with the work is as dense in long classes as in short ones. Taken as fixed, the shorter class
// counted as two and a half times as dense and was let into queues that made it late.
func TestWorthByWorkIsDenseAlike(t *testing.T) {
	for byWork, want := range map[bool]float64{true: 1.25, false: 2.5} {
		s := site()
		s.ValueByWork, s.Classes[0].Value, s.Classes[1].Value = byWork, 10, 8
		s.Classes[2], s.Classes[3], s.Classes[4] = s.Classes[1], s.Classes[1], s.Classes[1]
		d := must(t, s, 1)
		d.times.runSeconds = []float64{0.4, 0.8, 0.8, 0.8, 0.8}
		if got := d.forecasts.density(&jobState{}); math.Abs(got-want) > 1e-9 {
			t.Errorf("by work %v: the short class is %v times as dense, not %v", byWork, got, want)
		}
	}
}

// A worker that fails its jobs at once has no own slots and drew them all. Where a failure is final that is a loss each
// time (6 % of the attempts of a day of quick errors); who can go elsewhere still uses what such a worker serves.
func TestJobsThatRunOnceKeepOffFailingWorkers(t *testing.T) {
	for class, most := range []int{100, 12, 12, 12, 100} {
		c, failed := ready(t, 8, few), 0
		c.serve(60, func(JobID, Entry) work { return work{run: 100 * time.Millisecond, free: 4} })
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
			t.Errorf("class %d: %d of 200 jobs meet the failing worker, the bound is %d", class, failed, most)
		}
	}
}
