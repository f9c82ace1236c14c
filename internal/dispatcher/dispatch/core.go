// Package dispatch is the core. One goroutine owns the decision module, its
// clock, its timers and all open jobs; it turns what the fronts, the floor and
// the roster report into the module's events and carries out the actions that
// come back. A Job is the only place where the client's side and the workers'
// side meet. The core sees to it that a job gets one final answer and no
// second one, and that nothing is sent to a worker that is known to leave. It
// must never decide which worker takes a job or whether one is let in (that is
// the module's), nor know what a connection, a message or a wire is.
package dispatch

import (
	"container/heap"
	"context"
	"errors"
	"log"
	"sync"
	"sync/atomic"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// Core runs the module. Make it with New and start it with Run.
type Core struct {
	Counters *Counters
	Observer Observer // nil: nobody looks; set before Run and before the first Take

	lim     config.Limits
	node    *config.Node
	module  *decision.Dispatcher
	floor   Transport
	queues  Transport
	roster  ListWatcher
	mail    chan func()
	over    chan struct{}
	birth   time.Time
	timers  timers
	jobs    map[decision.JobID]*Job
	last    decision.JobID
	set     uint64 // timers set so far
	seats   map[decision.WorkerID]*seat
	byName  map[string]decision.WorkerID
	fixed   []config.Worker
	open    atomic.Int64
	workers atomic.Pointer[[3]int] // by state

	mu  sync.Mutex
	ids map[string]bool // of jobs that are open or still out at a worker
}

// past is where the module's clock starts: workers that started before this process have times above zero too.
const past = time.Hour

// ErrBusy is Take's answer while as many jobs are open as the limits allow: nothing has been sent anywhere.
var ErrBusy = errors.New("too many open jobs")

// ErrOpen is Take's answer to the id of a job that is open: a second one of that id could get the first one's answer.
var ErrDuplicateID = errors.New("a job with this id is open")

// New makes a core for a node. queues serves the fixed workers and may be nil where there are none.
func New(n *config.Node, counters *Counters, floor, queues Transport, roster ListWatcher, fixed []config.Worker) (*Core, error) {
	m, err := decision.New(n.Module, n.Seed)
	if err != nil {
		return nil, err
	}
	c := &Core{Counters: counters, lim: n.Limits, node: n, module: m, floor: floor, queues: queues, roster: roster, fixed: fixed,
		mail: make(chan func(), n.Limits.QueuedEvents), over: make(chan struct{}), birth: time.Now(),
		jobs: map[decision.JobID]*Job{}, seats: map[decision.WorkerID]*seat{}, byName: map[string]decision.WorkerID{},
		ids: map[string]bool{}}
	c.workers.Store(&[3]int{})
	return c, nil
}

// Run owns the module until ctx ends. The list known from before comes first.
func (c *Core) Run(ctx context.Context) {
	defer close(c.over)
	c.list(decision.ListCached, c.node.Known.Workers)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		if len(c.timers) > 0 {
			wake.Reset(c.timers[0].at - c.now())
		} else {
			wake.Reset(time.Hour)
		}
		select {
		case <-ctx.Done():
			return
		case f := <-c.mail:
			f()
		case <-wake.C:
		}
		for len(c.timers) > 0 && c.timers[0].at <= c.now() {
			heap.Pop(&c.timers).(timer).do()
		}
	}
}

// see shows the observer a moment: now, where it names no other time.
func (c *Core) see(m Event) {
	if c.Observer == nil {
		return
	}
	shown := m // only what is shown goes to the heap
	if shown.At == 0 {
		shown.At = c.now()
	}
	c.Observer.Observe(&shown)
}

// Ended waits until Run has ended.
func (c *Core) Wait() { <-c.over }

// now is the module's clock: monotonic, whatever is done to the machine's calendar.
func (c *Core) now() time.Duration { return past + time.Since(c.birth) }

// Clock tells where the core's clock stands and what the calendar says at that moment.
func (c *Core) Clock() (time.Duration, time.Time) { return c.now(), time.Now() }

// post hands something to the core's goroutine. It waits while the mailbox is full, which holds the sender back.
func (c *Core) post(f func()) {
	select {
	case c.mail <- f:
	case <-c.over:
	}
}

// Take accepts a job. After nil its Reply is called once; after an error never.
func (c *Core) Submit(j *Job) error {
	if c.open.Add(1) > int64(c.lim.OpenJobs) {
		c.open.Add(-1)
		c.Counters.Overflow.Add(1)
		c.see(Event{Kind: JobOverflowed, Job: j})
		return ErrBusy
	}
	if !c.enter(j.ID) {
		c.open.Add(-1)
		return ErrDuplicateID
	}
	c.Counters.Accepted.Add(1)
	came := c.now()
	c.post(func() {
		for c.last++; c.last == 0 || c.jobs[c.last] != nil; c.last++ {
		}
		j.number = c.last
		c.jobs[j.number] = j
		room := min(c.lim.AnswerReserve, j.Timeout/4)
		j.until = came + j.Timeout - room
		c.see(Event{Kind: JobAccepted, At: came, Job: j})
		if j.over.Load() { // the client left while this waited: its Leave is on its way here
			return
		}
		c.at(j.until, func() { c.overdue(j) })
		c.handle(&decision.Event{Kind: decision.EventJob, Job: j.number, Class: j.Class, Tenant: j.Tenant, Key: j.AffinityKey,
			Deadline: j.until, Slots: j.Slots, Memory: j.Memory, Retry: j.Retry})
	})
	return nil
}

// enter notes a job's id; it tells whether no other job has it.
func (c *Core) enter(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ids[id] {
		return false
	}
	c.ids[id] = true
	return true
}

// Leave tells that the client has gone: nobody waits for the answer any more.
func (c *Core) Abandon(j *Job) {
	j.over.Store(true) // at once, whatever waits in the mailbox
	c.post(func() {
		if !j.answered {
			c.Counters.Abandoned.Add(1)
			c.close(j)
			for _, a := range j.tries { // what has begun to go out and is not whole must not become so later
				if !a.ended && a.begun.Load() && !a.whole.Load() {
					a.recalled = true
					a.cancel()
				}
			}
			c.see(Event{Kind: JobAbandoned, Job: j})
			c.handle(&decision.Event{Kind: decision.EventClientLeft, Job: j.number})
			c.forget(j)
		}
	})
}

// Open is how many jobs have no answer yet.
func (c *Core) OpenJobs() int { return int(c.open.Load()) }

// Workers counts the listed workers: gone ones that still hold jobs, ready and draining ones.
func (c *Core) WorkerCounts() [3]int { return *c.workers.Load() }

// Listed passes on what the roster says.
func (c *Core) UpdateWorkers(kind decision.ListKind, workers []config.Worker) {
	c.post(func() { c.list(kind, workers) })
}

func (c *Core) end(a *Attempt, o decision.Outcome, load decision.Load, result []byte) {
	if a.ended { // it was overdue and has been told as such; a late answer changes nothing
		return
	}
	switch {
	case a.recalled && o != decision.OK:
		o = decision.Cancelled
	case a.expired && o == decision.Cancelled:
		o = decision.TimedOut
	}
	a.ended = true
	a.cancel()
	j := a.Job
	j.out--
	c.Counters.Outcomes[o].Add(1)
	c.see(Event{Kind: AttemptEnded, Job: j, Attempt: a, Outcome: o, Load: load})
	if j.OnAttemptEnd != nil {
		j.OnAttemptEnd(a, o)
	}
	if o == decision.OK && !j.answered {
		c.reply(j, Answer{Kind: Served, Result: result})
	}
	c.handle(&decision.Event{Kind: decision.EventOutcome, Job: j.number, Attempt: a.number, Worker: a.seat.number,
		Outcome: o, JobEnded: j.answered, Load: load})
	c.forget(j)
}

// overdue comes when waiting for workers ends. What is out has timed out, and the client gets its answer in time.
func (c *Core) overdue(j *Job) {
	if j.answered {
		return
	}
	for _, a := range j.tries {
		if !a.ended {
			c.end(a, decision.TimedOut, decision.Load{}, nil)
		}
	}
	if !j.answered { // guards against a module that lets a deadline pass with nothing out
		log.Printf("job %s: no answer at its deadline; failed", j.ID)
		c.reply(j, Answer{Kind: Failed})
		c.handle(&decision.Event{Kind: decision.EventClientLeft, Job: j.number})
		c.forget(j)
	}
}

// close marks a job as over; it tells whether it was not before.
func (c *Core) close(j *Job) bool {
	if j.answered {
		return false
	}
	j.answered = true
	j.over.Store(true)
	c.open.Add(-1)
	return true
}

// reply gives the final answer, the first one only.
func (c *Core) reply(j *Job, a Answer) {
	if !c.close(j) {
		return
	}
	switch a.Kind {
	case Served:
		c.Counters.Served.Add(1)
	case Rejected:
		c.Counters.Rejected.Add(1)
		if a.RetryAfter <= 0 {
			a.RetryAfter = c.lim.RetryAfter
		}
	default:
		c.Counters.Failed.Add(1)
	}
	c.see(Event{Kind: JobAnswered, Job: j, Answer: a})
	j.Reply(a)
}

func (c *Core) forget(j *Job) {
	if j.answered && j.out == 0 && c.jobs[j.number] == j {
		delete(c.jobs, j.number)
		c.mu.Lock()
		delete(c.ids, j.ID)
		c.mu.Unlock()
	}
}

// handle gives the module one event and carries out what follows, in order.
func (c *Core) handle(ev *decision.Event) {
	for _, a := range c.module.Handle(c.now(), ev, nil) {
		switch a.Kind {
		case decision.Send:
			c.send(c.jobs[a.Job], a)
		case decision.Reject, decision.Fail:
			if j := c.jobs[a.Job]; j != nil {
				answer := Answer{Kind: Rejected, RetryAfter: a.RetryAfter}
				if a.Kind == decision.Fail {
					answer = Answer{Kind: Failed}
				}
				c.reply(j, answer)
				c.forget(j)
			}
		case decision.Cancel:
			if j := c.jobs[a.Job]; j != nil && a.Attempt < len(j.tries) {
				j.tries[a.Attempt].recalled = true
				j.tries[a.Attempt].cancel()
			}
		case decision.SetTimer:
			token := a.Token
			c.at(c.now()+a.Delay, func() { c.handle(&decision.Event{Kind: decision.EventTimer, Token: token}) })
		case decision.Watch:
			c.roster.Watch(a.On)
		case decision.Fetch: // a new watch brings the whole list where it is needed
			c.roster.Watch(true)
		case decision.CloseIdle:
			if s := c.seats[a.Worker]; s != nil {
				c.floorOf(s).CloseIdle(s.Worker)
			}
		case decision.Log:
			log.Printf("module: %s", a.Data)
		default: // probes and notes to peers are ruled out here, and the settings say so
			log.Printf("module asked for action %d, which this deployment does not allow", a.Kind)
		}
	}
}

func (c *Core) floorOf(s *seat) Transport {
	if s.Queue != "" && c.queues != nil {
		return c.queues
	}
	return c.floor
}

func (c *Core) send(j *Job, act decision.Action) {
	if j == nil {
		return
	}
	a := &Attempt{Job: j, core: c, number: len(j.tries), seat: c.seats[act.Worker]}
	left := j.until - c.now()
	if act.Timeout > 0 {
		left = min(left, act.Timeout)
	}
	a.Deadline = time.Now().Add(left)
	a.Context, a.cancel = context.WithCancel(context.Background())
	second := j.out > 0 && !c.node.Module.ParallelAttempts
	j.tries = append(j.tries, a)
	j.out++
	if a.seat == nil || a.seat.state != decision.Ready || second || j.over.Load() || left <= 0 {
		// Guards the rules on drains, on one attempt at a time and on clients that left against a module that forgets
		// them or does not know yet. The module is told afterwards, not from within its own actions.
		if a.seat == nil {
			a.seat = &seat{number: act.Worker}
		}
		c.at(c.now(), func() { c.end(a, decision.NeverSent, decision.Load{}, nil) })
		return
	}
	a.Worker = a.seat.Worker
	c.Counters.Sent.Add(1)
	c.see(Event{Kind: AttemptSent, Job: j, Attempt: a})
	if act.Timeout > 0 { // the floor closes the connection first and then tells: another send may follow
		c.at(c.now()+left, func() { a.expired = true; a.cancel() })
	}
	c.floorOf(a.seat).Send(a)
}
