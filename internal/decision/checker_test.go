package decision

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// trackedJob is the state of a job as observed by the checker.
type trackedJob struct {
	class    int
	deadline time.Duration
	sends    []trackedAttempt
	answered bool
}

// trackedAttempt is the state of one send of a job.
type trackedAttempt struct {
	to       Entry
	at       time.Duration
	done     bool
	neverRan bool // proved by its outcome
}

// checker observes the events and actions of a dispatcher and checks them against the rules of the
// deployment.
type checker struct {
	t            *testing.T
	settings     Settings
	dispatcher   *Dispatcher
	now          time.Duration
	list         map[WorkerID]Entry
	leftAt       map[WorkerID]time.Duration // when a list first reported the worker draining or gone
	jobs         map[JobID]*trackedJob
	warmingSends map[WorkerID][]time.Duration // times of the sends to warming-up workers
	timers       []Action                     // Delay holds the absolute time
	calls        int                          // to discovery
	log          []string
	idleSince    map[WorkerID]time.Duration // draining workers: since when a connection may be idle
	load         Load                       // reported with each outcome
}

func newChecker(t *testing.T, settings Settings, seed uint64) *checker {
	return &checker{t: t, settings: settings, dispatcher: newTestDispatcher(t, settings, seed), now: time.Minute,
		list: map[WorkerID]Entry{}, leftAt: map[WorkerID]time.Duration{}, jobs: map[JobID]*trackedJob{},
		warmingSends: map[WorkerID][]time.Duration{}, idleSince: map[WorkerID]time.Duration{}}
}

// event passes an event to the dispatcher and checks the actions that it returns.
func (c *checker) event(ev Event) {
	switch ev.Kind {
	case EventJob:
		c.jobs[ev.Job] = &trackedJob{class: ev.Class, deadline: ev.Deadline}
	case EventList:
		c.applyList(ev)
	case EventOutcome:
		if j := c.jobs[ev.Job]; j != nil && ev.Attempt < len(j.sends) && !j.sends[ev.Attempt].done {
			s := &j.sends[ev.Attempt]
			s.done, s.neverRan = true, ev.Outcome == ConnectFailed || ev.Outcome == NeverSent ||
				ev.Outcome == Rejected && !c.settings.RejectionUnproven
			c.trackIdleConnection(s.to.Worker)
			j.answered = j.answered || ev.Outcome == OK
		}
	}
	for _, a := range c.dispatcher.Handle(c.now, &ev, nil) {
		c.log = append(c.log, fmt.Sprintf("%v %+v", c.now, a))
		c.action(a)
	}
}

// trackIdleConnection records that a connection to a draining worker may be idle from now on.
func (c *checker) trackIdleConnection(id WorkerID) {
	if c.list[id].State == Draining {
		c.idleSince[id] = c.now
	}
}

// applyList updates the known workers from a list.
func (c *checker) applyList(ev Event) {
	if ev.List == ListFailed {
		return
	}
	seen := map[WorkerID]bool{}
	for _, e := range ev.Entries {
		seen[e.Worker] = true
		was := c.list[e.Worker].State
		c.list[e.Worker] = e
		if delete(c.idleSince, e.Worker); e.State == Draining && was != Draining {
			c.trackIdleConnection(e.Worker)
		}
		if e.State == Ready {
			delete(c.leftAt, e.Worker)
		} else if _, ok := c.leftAt[e.Worker]; !ok {
			c.leftAt[e.Worker] = c.now
		}
	}
	for id := range c.list {
		if _, ok := c.leftAt[id]; ev.List != ListDelta && !seen[id] && !ok {
			c.leftAt[id] = c.now
		}
	}
}

// action checks one action.
func (c *checker) action(a Action) {
	j := c.jobs[a.Job]
	switch a.Kind {
	case SetTimer:
		a.Delay += c.now
		c.timers = append(c.timers, a)
	case Watch, Fetch:
		c.calls++
	case Cancel:
		if j == nil || a.Attempt >= len(j.sends) {
			c.t.Fatalf("%v: cancel of attempt %d of job %d, which was never sent", c.now, a.Attempt, a.Job)
		}
	case CloseIdle:
		if _, ok := c.idleSince[a.Worker]; !ok && c.settings.DrainCloseWithin == 0 {
			c.t.Fatalf("%v: idle connections to worker %d closed without cause", c.now, a.Worker)
		}
		delete(c.idleSince, a.Worker)
	case Send:
		c.send(a, j)
	case Reject, Fail:
		if j == nil || j.answered {
			c.t.Fatalf("%v: answer for job %d, which is unknown or already answered", c.now, a.Job)
		}
		j.answered = true
		if c.now > j.deadline+20*time.Millisecond {
			c.t.Fatalf("%v: answer for job %d after its deadline %v", c.now, a.Job, j.deadline)
		}
		class := c.settings.Classes[j.class]
		if a.Kind == Reject && slices.ContainsFunc(j.sends, func(s trackedAttempt) bool { return !s.neverRan }) &&
			(class.Idempotency == NotIdempotent || class.Idempotency == Deduplicated && class.DedupScope != DedupByAll) {
			c.t.Fatalf("%v: job %d rejected although it may have run", c.now, a.Job)
		}
	}
}

// send checks a send action and records the attempt.
func (c *checker) send(a Action, j *trackedJob) {
	to, ok := c.list[a.Worker]
	if !ok || j == nil || j.answered {
		c.t.Fatalf("%v: job %d sent to worker %d: the worker is unlisted or the job has ended", c.now, a.Job, a.Worker)
	}
	if at, ok := c.leftAt[a.Worker]; ok && c.now > at+c.settings.DrainGrace {
		c.t.Fatalf("%v: send to worker %d, which has been leaving since %v", c.now, a.Worker, at)
	}
	if c.settings.MaxAttempts > 0 && len(j.sends) >= c.settings.MaxAttempts {
		c.t.Fatalf("%v: job %d exceeds its limit of %d attempts", c.now, a.Job, c.settings.MaxAttempts)
	}
	class := c.settings.Classes[j.class]
	if len(class.AllowedKinds) > 0 && !slices.Contains(class.AllowedKinds, to.Kind) ||
		len(class.AllowedZones) > 0 && !slices.Contains(class.AllowedZones, to.Zone) {
		c.t.Fatalf("%v: job %d of class %d sent to kind %d in zone %d", c.now, a.Job, j.class, to.Kind, to.Zone)
	}
	for _, s := range j.sends {
		zone, cell := s.to.Zone == to.Zone, s.to.Cell == to.Cell
		switch {
		case s.neverRan:
		case !s.done && !c.settings.ParallelAttempts:
			c.t.Fatalf("%v: job %d has two attempts in flight", c.now, a.Job)
		case class.Idempotency == NotIdempotent, class.Idempotency == Deduplicated && (c.now-s.at > class.DedupWindow ||
			class.DedupScope == DedupByZone && !zone || class.DedupScope == DedupByCell && !cell):
			c.t.Fatalf("%v: job %d of class %d sent again against the rules of its class", c.now, a.Job, j.class)
		}
	}
	if to.Started > 0 && c.now < to.Started+c.settings.SlowStartDuration {
		c.warmingSends[a.Worker] = append(c.warmingSends[a.Worker], c.now)
	}
	j.sends = append(j.sends, trackedAttempt{to: to, at: c.now})
}

// advance moves the clock and fires the timers that are due.
func (c *checker) advance(by time.Duration) {
	c.now += by
	for id, at := range c.idleSince {
		if c.settings.DrainCloseWithin > 0 && c.now > at+c.settings.DrainCloseWithin {
			c.t.Fatalf("%v: idle connections to draining worker %d have been open since %v", c.now, id, at)
		}
	}
	due := c.timers
	c.timers = nil
	for _, a := range due {
		if a.Delay <= c.now {
			c.event(Event{Kind: EventTimer, Token: a.Token})
		} else {
			c.timers = append(c.timers, a)
		}
	}
}

// outcome ends an attempt with an outcome.
func (c *checker) outcome(id JobID, attempt int, o Outcome) {
	j := c.jobs[id]
	c.event(Event{Kind: EventOutcome, Job: id, Attempt: attempt, Worker: j.sends[attempt].to.Worker, Outcome: o,
		JobEnded: j.answered || o == OK, Load: c.load})
}

// newCheckerWithWorkers returns a checker whose dispatcher has a list of n workers. change may modify the
// settings.
func newCheckerWithWorkers(t *testing.T, n int, change func(*Settings)) *checker {
	s := testSettings()
	if change != nil {
		change(&s)
	}
	c := newChecker(t, s, 1)
	c.event(Event{Kind: EventList, List: ListFull, Entries: testWorkers(n)})
	return c
}

// sendJob passes the arrival of one job of a tenant and reports whether the job was sent.
func (c *checker) sendJob(id JobID, tenant int) bool {
	c.event(Event{Kind: EventJob, Job: id, Tenant: tenant, Slots: 1, Deadline: c.now + 4*time.Second})
	return len(c.jobs[id].sends) > 0
}

// countCloseIdle returns the number of CloseIdle actions for a worker among the actions of the last event.
func (c *checker) countCloseIdle(id WorkerID) (n int) {
	for _, a := range c.dispatcher.actions {
		if a.Kind == CloseIdle && a.Worker == id {
			n++
		}
	}
	return n
}

// workerReply is how a worker handles a job: the time to its start, its run time, and the load that the
// worker then reports.
type workerReply struct {
	startDelay, run time.Duration
	free, queue     float64
}

// serveSequentially serves n jobs one after another, so that no own slots are in use when a job arrives.
func (c *checker) serveSequentially(n JobID, at func(id JobID, w Entry) workerReply) {
	for id := JobID(1); id <= n; id++ {
		if c.sendJob(id, int(id)%5) {
			w := at(id, c.jobs[id].sends[0].to)
			c.advance(w.startDelay)
			c.event(Event{Kind: EventJobProgress, Job: id, Worker: c.jobs[id].sends[0].to.Worker, Progress: JobStarted})
			c.load = Load{Count: 2, Values: [4]float64{w.free, w.queue + 0.01*float64(id%7)}}
			c.advance(w.run)
			c.outcome(id, 0, OK)
		}
	}
}
