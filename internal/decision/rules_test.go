package decision

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// site is a deployment made up for the tests.
func site() Settings {
	class := func(e Idempotency, g DedupScope) ClassSettings {
		return ClassSettings{LatencyTarget: 300 * time.Millisecond, Stretch: 2, Deadline: 5 * time.Second, Idempotency: e, DedupScope: g,
			DedupWindow: 2 * time.Second, Value: 1, WorkerKind: -1}
	}
	return Settings{
		Dispatchers: 4, Kinds: 2, Discovery: DiscoveryPoll, MaxDiscoverySilence: 10 * time.Second, DrainGrace: 500 * time.Millisecond,
		SlowStartShare: 0.2, SlowStartDuration: 20 * time.Second, OverloadMultiple: 4, OverloadSpan: 1500 * time.Millisecond,
		MaxAttempts: 3, ParallelAttempts: true, Cancel: true, ReportsStart: true, ProgressInterval: time.Second,
		Classes: []ClassSettings{class(Idempotent, 0), class(NotIdempotent, 0), class(Deduplicated, DedupByZone), class(Deduplicated, DedupByCell),
			class(Deduplicated, DedupByAll)},
		Tenants: []TenantSettings{{Share: 0.4, RatePerSecond: 40}, {Share: 0.2, RatePerSecond: 20}, {Share: 0.2, RatePerSecond: 20},
			{Share: 0.1, RatePerSecond: 10}, {Share: 0.1, RatePerSecond: 10}},
	}
}

func fleet(n int) []Entry {
	list := make([]Entry, n)
	for i := range list {
		list[i] = Entry{Worker: WorkerID(i*7919 + 13), Cell: i / 4, Zone: i % 3, Kind: i % 2, State: Ready}
	}
	return list
}

func must(t testing.TB, s Settings, seed uint64) *Dispatcher {
	t.Helper()
	d, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// open is a job as the checker knows it.
type open struct {
	class    int
	deadline time.Duration
	sends    []sent
	answered bool
}

type sent struct {
	to    Entry
	at    time.Duration
	done  bool
	never bool // proved never to have run
}

// checker follows events and actions from outside and holds them against the rules.
type checker struct {
	t     *testing.T
	s     Settings
	d     *Dispatcher
	now   time.Duration
	list  map[WorkerID]Entry
	left  map[WorkerID]time.Duration // when it was told to be draining or gone
	jobs  map[JobID]*open
	cold  map[WorkerID][]time.Duration // sends to workers while cold
	timer []Action                     // Delay holds the absolute time
	calls int
	log   []string
	idle  map[WorkerID]time.Duration // draining: since when idle connections may stand open
	load  Load                       // what workers report
}

func newChecker(t *testing.T, s Settings, seed uint64) *checker {
	return &checker{t: t, s: s, d: must(t, s, seed), now: time.Minute, list: map[WorkerID]Entry{},
		left: map[WorkerID]time.Duration{}, jobs: map[JobID]*open{}, cold: map[WorkerID][]time.Duration{},
		idle: map[WorkerID]time.Duration{}}
}

func (c *checker) event(ev Event) {
	switch ev.Kind {
	case EventJob:
		c.jobs[ev.Job] = &open{class: ev.Class, deadline: ev.Deadline}
	case EventList:
		c.learn(ev)
	case EventOutcome:
		if j := c.jobs[ev.Job]; j != nil && ev.Attempt < len(j.sends) && !j.sends[ev.Attempt].done {
			s := &j.sends[ev.Attempt]
			s.done, s.never = true, ev.Outcome == ConnectFailed || ev.Outcome == NeverSent ||
				ev.Outcome == Rejected && !c.s.RejectionUnproven
			c.mayIdle(s.to.Worker)
			j.answered = j.answered || ev.Outcome == OK
		}
	}
	for _, a := range c.d.Handle(c.now, &ev, nil) {
		c.log = append(c.log, fmt.Sprintf("%v %+v", c.now, a))
		c.action(a)
	}
}

// mayIdle notes that an idle connection may stand open to a worker from now on.
func (c *checker) mayIdle(id WorkerID) {
	if c.list[id].State == Draining {
		c.idle[id] = c.now
	}
}

func (c *checker) learn(ev Event) {
	if ev.List == ListFailed {
		return
	}
	seen := map[WorkerID]bool{}
	for _, e := range ev.Entries {
		seen[e.Worker] = true
		was := c.list[e.Worker].State
		c.list[e.Worker] = e
		if delete(c.idle, e.Worker); e.State == Draining && was != Draining {
			c.mayIdle(e.Worker)
		}
		if e.State == Ready {
			delete(c.left, e.Worker)
		} else if _, ok := c.left[e.Worker]; !ok {
			c.left[e.Worker] = c.now
		}
	}
	for id := range c.list {
		if _, ok := c.left[id]; ev.List != ListDelta && !seen[id] && !ok {
			c.left[id] = c.now
		}
	}
}

func (c *checker) action(a Action) {
	j := c.jobs[a.Job]
	switch a.Kind {
	case SetTimer:
		a.Delay += c.now
		c.timer = append(c.timer, a)
	case Watch, Fetch:
		c.calls++
	case Cancel:
		if j == nil || a.Attempt >= len(j.sends) {
			c.t.Fatalf("%v: cancel of attempt %d of job %d, never made", c.now, a.Attempt, a.Job)
		}
	case CloseIdle:
		if _, ok := c.idle[a.Worker]; !ok && c.s.DrainCloseWithin == 0 {
			c.t.Fatalf("%v: closing at worker %d without cause", c.now, a.Worker)
		}
		delete(c.idle, a.Worker)
	case Send:
		c.send(a, j)
	case Reject, Fail:
		if j == nil || j.answered {
			c.t.Fatalf("%v: answer for job %d, which is not owed one", c.now, a.Job)
		}
		j.answered = true
		if c.now > j.deadline+20*time.Millisecond {
			c.t.Fatalf("%v: answer for job %d after its deadline %v", c.now, a.Job, j.deadline)
		}
		class := c.s.Classes[j.class]
		if a.Kind == Reject && slices.ContainsFunc(j.sends, func(s sent) bool { return !s.never }) &&
			(class.Idempotency == NotIdempotent || class.Idempotency == Deduplicated && class.DedupScope != DedupByAll) {
			c.t.Fatalf("%v: job %d refused though it may have run", c.now, a.Job)
		}
	}
}

func (c *checker) send(a Action, j *open) {
	to, ok := c.list[a.Worker]
	if !ok || j == nil || j.answered {
		c.t.Fatalf("%v: send of job %d to worker %d, unlisted or ended", c.now, a.Job, a.Worker)
	}
	if at, ok := c.left[a.Worker]; ok && c.now > at+c.s.DrainGrace {
		c.t.Fatalf("%v: send to worker %d, told to leave at %v", c.now, a.Worker, at)
	}
	if c.s.MaxAttempts > 0 && len(j.sends) >= c.s.MaxAttempts {
		c.t.Fatalf("%v: job %d has had its %d attempts", c.now, a.Job, c.s.MaxAttempts)
	}
	class := c.s.Classes[j.class]
	if len(class.AllowedKinds) > 0 && !slices.Contains(class.AllowedKinds, to.Kind) ||
		len(class.AllowedZones) > 0 && !slices.Contains(class.AllowedZones, to.Zone) {
		c.t.Fatalf("%v: job %d of class %d sent to kind %d in zone %d", c.now, a.Job, j.class, to.Kind, to.Zone)
	}
	for _, s := range j.sends {
		zone, cell := s.to.Zone == to.Zone, s.to.Cell == to.Cell
		switch {
		case s.never:
		case !s.done && !c.s.ParallelAttempts:
			c.t.Fatalf("%v: job %d has two attempts out", c.now, a.Job)
		case class.Idempotency == NotIdempotent, class.Idempotency == Deduplicated && (c.now-s.at > class.DedupWindow ||
			class.DedupScope == DedupByZone && !zone || class.DedupScope == DedupByCell && !cell):
			c.t.Fatalf("%v: job %d of class %d sent again outside what its class allows", c.now, a.Job, j.class)
		}
	}
	if to.Started > 0 && c.now < to.Started+c.s.SlowStartDuration {
		c.cold[a.Worker] = append(c.cold[a.Worker], c.now)
	}
	j.sends = append(j.sends, sent{to: to, at: c.now})
}

// advance moves the clock and rings the timers that are due.
func (c *checker) advance(by time.Duration) {
	c.now += by
	for id, at := range c.idle {
		if c.s.DrainCloseWithin > 0 && c.now > at+c.s.DrainCloseWithin {
			c.t.Fatalf("%v: idle connections to worker %d, draining, stand open since %v", c.now, id, at)
		}
	}
	due := c.timer
	c.timer = nil
	for _, a := range due {
		if a.Delay <= c.now {
			c.event(Event{Kind: EventTimer, Token: a.Token})
		} else {
			c.timer = append(c.timer, a)
		}
	}
}

// outcome ends an attempt.
func (c *checker) outcome(id JobID, attempt int, o Outcome) {
	j := c.jobs[id]
	c.event(Event{Kind: EventOutcome, Job: id, Attempt: attempt, Worker: j.sends[attempt].to.Worker, Outcome: o,
		JobEnded: j.answered || o == OK, Load: c.load})
}

// play runs a seeded sequence of legal events with scripted outcomes and returns what was done.
func play(t *testing.T, seed uint64, s Settings, keys uint64, jobs JobID) []string {
	c := newChecker(t, s, seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	list := fleet(24)
	c.event(Event{Kind: EventList, List: ListCached, Entries: list})
	for id := JobID(0); id < jobs; {
		for range rng.IntN(3) {
			id++
			c.event(Event{Kind: EventJob, Job: id, Class: rng.IntN(len(s.Classes)), Tenant: rng.IntN(7) - 1,
				Key: rng.Uint64N(40) * keys, Slots: float64(1 + rng.IntN(3)),
				Deadline: c.now + time.Duration(20+rng.IntN(3000))*time.Millisecond})
		}
		for _, job := range ids(c.jobs) {
			j := c.jobs[job]
			for i := range j.sends {
				switch o := rng.IntN(100); {
				case j.sends[i].done:
				case c.now >= j.deadline:
					c.outcome(job, i, TimedOut)
				case o < 25:
					if s.ReportsLoad {
						c.load = Load{Count: 2, Values: [4]float64{float64(rng.IntN(4)), float64(rng.IntN(5))}}
					}
					c.outcome(job, i, OK)
				case o < 40:
					c.outcome(job, i, Outcome(int(Error)+rng.IntN(7)))
				case o < 50:
					c.event(Event{Kind: EventJobProgress, Job: job, Attempt: i, Worker: j.sends[i].to.Worker, Progress: JobStarted})
				}
			}
			if !j.answered && rng.IntN(300) == 0 {
				j.answered = true
				c.event(Event{Kind: EventClientLeft, Job: job})
			}
			if !j.answered && c.now > j.deadline+20*time.Millisecond {
				t.Fatalf("seed %d, %v: job %d got no answer by %v", seed, c.now, job, j.deadline)
			}
			if j.answered && !slices.ContainsFunc(j.sends, func(s sent) bool { return !s.done }) {
				delete(c.jobs, job)
			}
		}
		if rng.IntN(40) == 0 {
			e := &list[rng.IntN(len(list))]
			e.State = State(rng.IntN(3))
			if e.State == Ready {
				e.Started = c.now
			}
			switch rng.IntN(4) {
			case 0:
				c.event(Event{Kind: EventList, List: ListFailed})
			case 1:
				full := slices.DeleteFunc(slices.Clone(list), func(e Entry) bool { return e.State == Gone })
				c.event(Event{Kind: EventList, List: ListFull, Entries: full})
			default:
				c.event(Event{Kind: EventList, List: ListDelta, Entries: []Entry{*e}})
			}
		}
		c.advance(10 * time.Millisecond)
	}
	return c.log
}

func ids(m map[JobID]*open) []JobID {
	var out []JobID
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func TestRulesHoldOnRandomEvents(t *testing.T) {
	variants := map[string]func(*Settings){
		"plain":            func(*Settings) {},
		"keys":             func(*Settings) {},
		"no parallel":      func(s *Settings) { s.ParallelAttempts = false },
		"no cancel":        func(s *Settings) { s.Cancel = false },
		"push, many tries": func(s *Settings) { s.Discovery, s.MaxAttempts = DiscoveryPush, 0 },
		"no tenants":       func(s *Settings) { s.Tenants = nil },
		"bound":            func(s *Settings) { s.Classes[0].AllowedKinds, s.Classes[1].AllowedZones = []int{1}, []int{0, 2} },
		"full unproven":    func(s *Settings) { s.RejectionUnproven = true },
		"closing":          func(s *Settings) { s.DrainCloseWithin = 300 * time.Millisecond },
		"all at once": func(s *Settings) {
			s.Classes[0].AllowedKinds, s.RejectionUnproven, s.DrainCloseWithin = []int{0}, true, 200*time.Millisecond
			s.HealthChecks, s.Report.FreeSlots, s.Cancel, s.ReportsLoad = true, 0, false, true
		},
		"many share": shared,
		"few, dear":  few,
		"probes":     func(s *Settings) { s.HealthChecks, s.Report.FreeSlots = true, 0 },
		"reports": func(s *Settings) {
			s.ReportsLoad, s.ParallelAttempts, s.Report = true, false, LoadReportLayout{0, -1, 1, -1, -1, -1}
		},
	}
	for name, change := range variants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := site()
				change(&s)
				keys := map[string]uint64{"keys": 1, "all at once": 1}[name]
				first := play(t, seed, s, keys, 3000)
				if !slices.Equal(first, play(t, seed, s, keys, 3000)) {
					t.Fatalf("seed %d: the same events gave other actions", seed)
				}
				if len(first) < 1000 {
					t.Fatalf("seed %d: only %d actions", seed, len(first))
				}
			}
		})
	}
}

// random draws settings within what the wire can say.
func random(rng *rand.Rand) Settings {
	flip := func() bool { return rng.IntN(2) == 0 }
	ms := func(least, most int) time.Duration {
		return time.Duration(least+rng.IntN(most-least+1)) * time.Millisecond
	}
	s := Settings{
		Dispatchers: 1 + rng.IntN(300)>>rng.IntN(9), Kinds: 1 + rng.IntN(4), Zones: rng.IntN(6), Zone: rng.IntN(3),
		Discovery: Discovery(rng.IntN(2)), MaxDiscoverySilence: ms(1000, 20000), DrainGrace: ms(100, 3000), AnswerGrace: 8 * time.Millisecond,
		SlowStartShare: 0.1 + 0.8*rng.Float64(), SlowStartDuration: ms(1000, 20000), OverloadMultiple: 2 + 3*rng.Float64(), OverloadSpan: ms(300, 3000),
		RejectionUnproven: flip(), ConnIdle: ms(0, 30000), MaxAttempts: rng.IntN(5), ParallelAttempts: flip(), Cancel: flip(), HealthChecks: flip(),
		PeerMessages: flip(), RetryAfter: flip(), MaxRetryAfter: ms(0, 2000), CrossZoneCost: 0.1 * rng.Float64() * float64(rng.IntN(2)),
		ValueByWork: flip(), OverQuotaValue: rng.Float64(), ReportsStart: flip(), ProgressInterval: ms(0, 2000), ReportsLoad: flip(),
		Report: LoadReportLayout{-1, -1, -1, -1, -1, -1}, Tick: ms(1, 10),
	}
	if flip() {
		s.DrainCloseWithin = ms(100, 1000)
	}
	at := rng.Perm(4)
	for i, field := range []*int{&s.Report.FreeSlots, &s.Report.Queue, &s.Report.InFlight, &s.Report.Util} {
		if rng.IntN(4) > 0 {
			*field = at[i]
		}
	}
	for range 1 + rng.IntN(4) {
		c := ClassSettings{LatencyTarget: ms(0, 1000), Stretch: 3 * rng.Float64(), Deadline: ms(500, 12000), Idempotency: Idempotency(rng.IntN(3)),
			DedupScope: DedupScope(rng.IntN(3)), DedupWindow: ms(0, 20000), Value: 10 * rng.Float64(), LateValue: rng.Float64() * float64(rng.IntN(2)), WorkerKind: -1}
		if rng.IntN(6) == 0 {
			c.AllowedKinds = []int{rng.IntN(s.Kinds)}
		}
		if rng.IntN(6) == 0 {
			c.AllowedZones = []int{rng.IntN(3), rng.IntN(3)}
		}
		s.Classes = append(s.Classes, c)
	}
	for range rng.IntN(9) {
		s.Tenants = append(s.Tenants, TenantSettings{Share: rng.Float64(), RatePerSecond: 30 * rng.Float64()})
	}
	return s
}

// The rules hold at deployments that nobody has described yet: 80 settings, some 600 jobs and as many steps each, always
// the same ones. The cold budget is not among what the checker sees; its tests are TestColdWorkerIsNotPushedOver and
// TestManyDispatchersShareAColdWorker.
func TestRulesHoldOnRandomSettings(t *testing.T) {
	sends, answers := 0, 0
	for seed := range uint64(80) {
		s := random(rand.New(rand.NewPCG(seed, 2)))
		for _, line := range play(t, seed, s, seed%2, 600) {
			sends += count(strings.Contains(line, fmt.Sprintf("{Kind:%d ", Send)))
			answers += count(strings.Contains(line, fmt.Sprintf("{Kind:%d ", Reject)) || strings.Contains(line, fmt.Sprintf("{Kind:%d ", Fail)))
		}
		if t.Failed() {
			t.Fatalf("seed %d: %+v", seed, s)
		}
	}
	if sends < 30000 || answers < 10000 {
		t.Errorf("%d sends and %d refusals and failures: the settings leave too little to see", sends, answers)
	}
}

func TestEveryOutcomeByEffectClass(t *testing.T) {
	const again, refuse, fail, done = "again", "refuse", "fail", "done"
	for _, tc := range []struct {
		outcome Outcome
		want    [5]string // by class of site()
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
			c := newChecker(t, site(), 1)
			c.event(Event{Kind: EventList, List: ListFull, Entries: fleet(24)})
			c.event(Event{Kind: EventJob, Job: 1, Class: class, Slots: 1, Deadline: c.now + 4*time.Second})
			if len(c.jobs[1].sends) != 1 {
				t.Fatalf("class %d: %d sends at arrival", class, len(c.jobs[1].sends))
			}
			c.outcome(1, 0, tc.outcome)
			got := done
			switch j := c.jobs[1]; {
			case len(j.sends) == 2:
				got = again
			case tc.outcome != OK && j.answered && c.d.actions[len(c.d.actions)-1].Kind == Fail:
				got = fail
			case tc.outcome != OK && j.answered:
				got = refuse
			}
			if got != want {
				t.Errorf("outcome %d, class %d: %s, want %s", tc.outcome, class, got, want)
			}
		}
	}
}

// At the deadline a job that may have run is failed, or refused where repeating is harmless, at once.
func TestTimeoutAtDeadlineIsAnsweredAtOnce(t *testing.T) {
	for class, want := range []ActionKind{Reject, Fail, Fail, Fail, Reject} {
		c := newChecker(t, site(), 1)
		c.event(Event{Kind: EventList, List: ListFull, Entries: fleet(24)})
		c.event(Event{Kind: EventJob, Job: 1, Class: class, Slots: 1, Deadline: c.now + time.Second})
		c.now += time.Second
		c.outcome(1, 0, TimedOut)
		if last := c.d.actions[len(c.d.actions)-1]; last.Kind != want {
			t.Errorf("class %d: action %d, want %d", class, last.Kind, want)
		}
	}
}

func TestNoReadyWorkerRefusesAtOnce(t *testing.T) {
	for name, list := range map[string][]Entry{"no list": nil, "all draining": {{Worker: 1, State: Draining}}} {
		c := newChecker(t, site(), 1)
		c.event(Event{Kind: EventList, List: ListFull, Entries: list})
		c.event(Event{Kind: EventJob, Job: 1, Slots: 1, Deadline: c.now + time.Second})
		if !c.jobs[1].answered {
			t.Errorf("%s: the job is held though nobody can take it", name)
		}
	}
	s := site()
	s.Classes[0].WorkerKind = 1
	c := newChecker(t, s, 1)
	c.event(Event{Kind: EventList, List: ListFull, Entries: []Entry{{Worker: 1, Kind: 0, State: Ready}}})
	c.event(Event{Kind: EventJob, Job: 1, Slots: 1, Deadline: c.now + time.Second})
	if !c.jobs[1].answered {
		t.Error("held though no worker of its kind is ready")
	}
}

func TestMissingSettingsWork(t *testing.T) {
	c := newChecker(t, Settings{}, 1)
	c.s.Classes = []ClassSettings{{Idempotency: NotIdempotent}}
	c.event(Event{Kind: EventJob, Job: 1, Tenant: 9, Deadline: c.now + time.Second})
	c.event(Event{Kind: EventList, List: ListDelta, Entries: fleet(3)})
	c.event(Event{Kind: EventJob, Job: 2, Deadline: c.now + time.Second})
	if !c.jobs[1].answered || len(c.jobs[2].sends) != 1 {
		t.Errorf("without a list answered %v, with one %d sends", c.jobs[1].answered, len(c.jobs[2].sends))
	}
}

func TestSettingsThatCannotWorkAreNamed(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"SlowStartShare":    func(s *Settings) { s.SlowStartShare = math.NaN() },
		"SlowStartDuration": func(s *Settings) { s.SlowStartDuration = -1 },
		"Kinds":             func(s *Settings) { s.Kinds = MaxKinds + 1 },
		"MaxAttempts":       func(s *Settings) { s.MaxAttempts = -1 },
		"Classes[1]":        func(s *Settings) { s.Classes[1].LatencyTarget = -1 },
		"DrainCloseWithin":  func(s *Settings) { s.DrainCloseWithin = -1 },
		"ToleratedMisses":   func(s *Settings) { s.ToleratedMisses = -0.1 },
		"Tenants[2]":        func(s *Settings) { s.Tenants[2].Share = math.Inf(1) },
	} {
		s := site()
		change(&s)
		if _, err := New(s, 1); err == nil || err.Error() != "decision: setting "+name+" is out of range" {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// Contradictory or absurd news must neither break a rule nor the dispatcher; checker would tell.
func TestContradictoryNews(t *testing.T) {
	nan := math.NaN()
	for name, evs := range map[string][]Event{
		"outcome twice":         {{Kind: EventOutcome, Job: 1, Outcome: Rejected}, {Kind: EventOutcome, Job: 1, Outcome: OK}},
		"unknown job":           {{Kind: EventOutcome, Job: 99, Outcome: OK}, {Kind: EventClientLeft, Job: 98}},
		"attempt never made":    {{Kind: EventOutcome, Job: 1, Attempt: 7, Outcome: OK}, {Kind: EventJobProgress, Job: 1, Attempt: -1}},
		"same job twice":        {{Kind: EventJob, Job: 1, Deadline: time.Hour}},
		"absurd job":            {{Kind: EventJob, Job: 2, Slots: nan, Memory: math.Inf(-1), Deadline: time.Minute + time.Second}},
		"absurd report":         {{Kind: EventHealthChecked, Worker: 13, Load: Load{Count: 4, Values: [4]float64{nan, math.Inf(1), -1e300, 0}}}},
		"unknown worker probed": {{Kind: EventHealthChecked, Worker: 4, Outcome: OK}},
		"stray timer":           {{Kind: EventTimer, Token: 4e9}},
		"garbled peer":          {{Kind: EventPeerMessage, From: -3, Data: []byte{0xff}}},
		"absurd kind":           {{Kind: EventList, List: ListDelta, Entries: []Entry{{Worker: 5, Kind: 300, State: Ready}}}},
		"started in the future": {{Kind: EventList, List: ListDelta, Entries: []Entry{{Worker: 5, Started: time.Hour, State: Ready}}}},
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
			for range 90 { // no probe is ever answered here: that must not hold it to its end
				c.advance(10 * time.Millisecond)
			}
			if j := c.jobs[3]; !j.answered && len(j.sends) == 0 && name != "gone and answering" {
				t.Error("a plain job afterwards is neither sent nor answered")
			}
		})
	}
}
