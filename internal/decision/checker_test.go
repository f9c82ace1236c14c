package decision

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

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

// checker follows events and actions from outside and holds them against the rules of the deployment.
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
			c.t.Fatalf("%v: job %d rejected though it may have run", c.now, a.Job)
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

// advance moves the clock and fires the timers that are due.
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

func (c *checker) closes(id WorkerID) (n int) {
	for _, a := range c.d.actions {
		if a.Kind == CloseIdle && a.Worker == id {
			n++
		}
	}
	return n
}

// work is how a worker takes a job: how long until it starts and until it is done, and what it then reports.
type work struct {
	way, run    time.Duration
	free, queue float64
}

// serve lets n jobs arrive, each when the one before is done, so that no own slots are in use.
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
