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
	"fmt"
	"hash/fnv"
	"log"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ivyfold"
	"ivyfold/internal/config"
)

// Verdict is the kind of a final answer.
type Verdict uint8

// The verdicts.
const (
	Served  Verdict = iota + 1 // a worker gave the result
	Refused                    // trying again is harmless
	Failed                     // no promise about what the job did
)

// Answer is the final answer to a job.
type Answer struct {
	Verdict    Verdict
	Result     []byte        // Served: as the worker gave it
	RetryAfter time.Duration // Refused: when the client may come back
}

// Field is a header line that passes through as it came.
type Field struct{ Name, Value string }

// Job is one try of a client. A front fills in the exported fields, hands it
// to Core.Take and from then on leaves it alone.
type Job struct {
	ID       string  // the client's name for it, unique to the try
	Key      string  // names the effect, where the class has keys
	Target   string  // method's target as it came
	Head     []Field // other lines, as they came
	Body     []byte  // as it came
	Class    int
	Tenant   int
	Subject  uint64 // what the job is about; 0 = none
	Repeat   bool
	Slots    float64
	Memory   float64
	Patience time.Duration // until the client gives up, from now

	// Reply gets the final answer, once, on the core's goroutine: it must not block.
	Reply func(Answer)
	// MayStart is asked just before an attempt's first byte, on any goroutine, and Ended told of each outcome that the
	// module gets, on the core's: both for jobs that are kept elsewhere too (internal/keep). nil: nobody asks.
	MayStart func() bool
	Ended    func(a *Attempt, o ivyfold.Outcome)

	number   ivyfold.JobID
	until    time.Duration // when waiting for workers ends
	tries    []*Attempt
	out      int // attempts that have no outcome yet
	answered bool
	over     atomic.Bool // the same, or the client has just left: nothing more is sent
}

// Attempt is one send of a job to a worker. Exactly one End must follow.
type Attempt struct {
	Job    *Job
	Worker config.Worker
	Ctx    context.Context // over once the attempt is given up
	Until  time.Time       // when waiting ends at the latest

	core     *Core
	seat     *seat
	cancel   context.CancelFunc
	begun    atomic.Bool // its first byte may be out
	whole    atomic.Bool // its last byte is out
	number   int
	ended    bool // it has its outcome
	recalled bool // given up by the module
	expired  bool // its own time-out has passed
}

// Floor carries attempts to workers. Neither method may block.
type Floor interface {
	Send(*Attempt)
	CloseIdle(config.Worker)
}

// Taker is what a front gives its jobs to: the Core, or what keeps them and hands them on.
type Taker interface {
	Take(*Job) error // after nil the job's Reply is called once; after an error never
	Leave(*Job)      // the client has gone
}

// Asker keeps the watch on the roster. It must not block.
type Asker interface{ Watch(on bool) }

// seat is what the core knows of one listed worker. leaving is read by the floor just before a send.
type seat struct {
	config.Worker
	number  ivyfold.WorkerID
	started time.Duration
	state   ivyfold.State
	leaving atomic.Bool
}

// Sight is what an Observer sees.
type Sight uint8

// The sights.
const (
	SawTaken    Sight = iota + 1 // Job: it is open now
	SawTurned                    // Job: not taken, too many are open; it has no number
	SawSent                      // Attempt
	SawStarted                   // Attempt: the job has started at the worker
	SawEnded                     // Attempt, Outcome, Load; of an attempt that never went out too, as Moot
	SawAnswered                  // Job, Answer
	SawLeft                      // Job: the client has gone without an answer
)

// Moment is one sight.
type Moment struct {
	Sight   Sight
	At      time.Duration // on the core's clock
	Job     *Job          // of an attempt too
	Attempt *Attempt
	Outcome ivyfold.Outcome
	Load    ivyfold.Load
	Answer  Answer
}

// Observer sees what the core does, in order and on the core's goroutine, but for SawTurned, which comes on the
// front's. It must not block, change anything it is shown, or keep it beyond the call.
type Observer interface{ See(*Moment) }

// Core runs the module. Make it with New and start it with Run.
type Core struct {
	Counters *Counters
	Observer Observer // nil: nobody looks; set before Run and before the first Take

	lim     config.Limits
	node    *config.Node
	module  *ivyfold.Dispatcher
	floor   Floor
	queues  Floor
	roster  Asker
	mail    chan func()
	over    chan struct{}
	birth   time.Time
	timers  timers
	jobs    map[ivyfold.JobID]*Job
	last    ivyfold.JobID
	set     uint64 // timers set so far
	seats   map[ivyfold.WorkerID]*seat
	byName  map[string]ivyfold.WorkerID
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
var ErrOpen = errors.New("a job with this id is open")

// New makes a core for a node. queues serves the fixed workers and may be nil where there are none.
func New(n *config.Node, counters *Counters, floor, queues Floor, roster Asker, fixed []config.Worker) (*Core, error) {
	m, err := ivyfold.New(n.Module, n.Seed)
	if err != nil {
		return nil, err
	}
	c := &Core{Counters: counters, lim: n.Limits, node: n, module: m, floor: floor, queues: queues, roster: roster, fixed: fixed,
		mail: make(chan func(), n.Limits.Mailbox), over: make(chan struct{}), birth: time.Now(),
		jobs: map[ivyfold.JobID]*Job{}, seats: map[ivyfold.WorkerID]*seat{}, byName: map[string]ivyfold.WorkerID{},
		ids: map[string]bool{}}
	c.workers.Store(&[3]int{})
	return c, nil
}

// Run owns the module until ctx ends. The list known from before comes first.
func (c *Core) Run(ctx context.Context) {
	defer close(c.over)
	c.list(ivyfold.ListCached, c.node.Known.Workers)
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
func (c *Core) see(m Moment) {
	if c.Observer == nil {
		return
	}
	shown := m // only what is shown goes to the heap
	if shown.At == 0 {
		shown.At = c.now()
	}
	c.Observer.See(&shown)
}

// Ended waits until Run has ended.
func (c *Core) Ended() { <-c.over }

// now is the module's clock: monotonic, whatever is done to the machine's calendar.
func (c *Core) now() time.Duration { return past + time.Since(c.birth) }

// Clock tells where the core's clock stands and what the calendar says at that moment.
func (c *Core) Clock() (time.Duration, time.Time) { return c.now(), time.Now() }

// Number counts a job's attempts from 0.
func (a *Attempt) Number() int { return a.number }

// post hands something to the core's goroutine. It waits while the mailbox is full, which holds the sender back.
func (c *Core) post(f func()) {
	select {
	case c.mail <- f:
	case <-c.over:
	}
}

// Take accepts a job. After nil its Reply is called once; after an error never.
func (c *Core) Take(j *Job) error {
	if c.open.Add(1) > int64(c.lim.OpenJobs) {
		c.open.Add(-1)
		c.Counters.Overflow.Add(1)
		c.see(Moment{Sight: SawTurned, Job: j})
		return ErrBusy
	}
	if !c.enter(j.ID) {
		c.open.Add(-1)
		return ErrOpen
	}
	c.Counters.Taken.Add(1)
	came := c.now()
	c.post(func() {
		for c.last++; c.last == 0 || c.jobs[c.last] != nil; c.last++ {
		}
		j.number = c.last
		c.jobs[j.number] = j
		room := min(c.lim.AnswerRoom, j.Patience/4)
		j.until = came + j.Patience - room
		c.see(Moment{Sight: SawTaken, At: came, Job: j})
		if j.over.Load() { // the client left while this waited: its Leave is on its way here
			return
		}
		c.at(j.until, func() { c.overdue(j) })
		c.handle(&ivyfold.Event{Kind: ivyfold.EventJob, Job: j.number, Class: j.Class, Tenant: j.Tenant, Key: j.Subject,
			Deadline: j.until, Slots: j.Slots, Memory: j.Memory, Repeat: j.Repeat})
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
func (c *Core) Leave(j *Job) {
	j.over.Store(true) // at once, whatever waits in the mailbox
	c.post(func() {
		if !j.answered {
			c.Counters.Left.Add(1)
			c.close(j)
			for _, a := range j.tries { // what has begun to go out and is not whole must not become so later
				if !a.ended && a.begun.Load() && !a.whole.Load() {
					a.recalled = true
					a.cancel()
				}
			}
			c.see(Moment{Sight: SawLeft, Job: j})
			c.handle(&ivyfold.Event{Kind: ivyfold.EventGone, Job: j.number})
			c.forget(j)
		}
	})
}

// Open is how many jobs have no answer yet.
func (c *Core) Open() int { return int(c.open.Load()) }

// Workers counts the listed workers: gone ones that still hold jobs, ready and draining ones.
func (c *Core) Workers() [3]int { return *c.workers.Load() }

// Listed passes on what the roster says.
func (c *Core) Listed(kind ivyfold.ListKind, workers []config.Worker) {
	c.post(func() { c.list(kind, workers) })
}

// MayStart looks at the worker and the client just before the first byte of a send goes out: a connection takes time
// to come up, and meanwhile the worker may have been told off, or the client may have left.
func (a *Attempt) MayStart() bool {
	a.begun.Store(true) // before the look: Leave looks the other way round, and one of the two sees the other
	return !a.Job.over.Load() && !a.seat.leaving.Load() && a.Ctx.Err() == nil && (a.Job.MayStart == nil || a.Job.MayStart())
}

// Whole tells that the last byte of the send has gone out.
func (a *Attempt) Whole() { a.whole.Store(true) }

// Note passes on that the job has started at the worker, or how far it is.
func (a *Attempt) Note(kind ivyfold.NoteKind, share float64) {
	a.core.post(func() {
		if !a.ended {
			if kind == ivyfold.NoteStarted {
				a.core.see(Moment{Sight: SawStarted, Job: a.Job, Attempt: a})
			}
			a.core.handle(&ivyfold.Event{Kind: ivyfold.EventNote, Job: a.Job.number, Attempt: a.number,
				Worker: a.seat.number, Note: kind, Value: share})
		}
	})
}

// End passes on how the attempt ended. Its connection must be closed or clean by then: another send may follow.
func (a *Attempt) End(o ivyfold.Outcome, load ivyfold.Load, result []byte) {
	a.core.post(func() { a.core.end(a, o, load, result) })
}

func (c *Core) end(a *Attempt, o ivyfold.Outcome, load ivyfold.Load, result []byte) {
	if a.ended { // it was overdue and has been told as such; a late answer changes nothing
		return
	}
	switch {
	case a.recalled && o != ivyfold.OK:
		o = ivyfold.Cancelled
	case a.expired && o == ivyfold.Cancelled:
		o = ivyfold.TimedOut
	}
	a.ended = true
	a.cancel()
	j := a.Job
	j.out--
	c.Counters.Outcomes[o].Add(1)
	c.see(Moment{Sight: SawEnded, Job: j, Attempt: a, Outcome: o, Load: load})
	if j.Ended != nil {
		j.Ended(a, o)
	}
	if o == ivyfold.OK && !j.answered {
		c.reply(j, Answer{Verdict: Served, Result: result})
	}
	c.handle(&ivyfold.Event{Kind: ivyfold.EventOutcome, Job: j.number, Attempt: a.number, Worker: a.seat.number,
		Outcome: o, Closed: j.answered, Load: load})
	c.forget(j)
}

// overdue comes when waiting for workers ends. What is out has timed out, and the client gets its answer in time.
func (c *Core) overdue(j *Job) {
	if j.answered {
		return
	}
	for _, a := range j.tries {
		if !a.ended {
			c.end(a, ivyfold.TimedOut, ivyfold.Load{}, nil)
		}
	}
	if !j.answered { // guards against a module that lets a deadline pass with nothing out
		log.Printf("job %s: no answer at its deadline; failed", j.ID)
		c.reply(j, Answer{Verdict: Failed})
		c.handle(&ivyfold.Event{Kind: ivyfold.EventGone, Job: j.number})
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
	switch a.Verdict {
	case Served:
		c.Counters.Served.Add(1)
	case Refused:
		c.Counters.Refused.Add(1)
		if a.RetryAfter <= 0 {
			a.RetryAfter = c.lim.RetryAfter
		}
	default:
		c.Counters.Failed.Add(1)
	}
	c.see(Moment{Sight: SawAnswered, Job: j, Answer: a})
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
func (c *Core) handle(ev *ivyfold.Event) {
	for _, a := range c.module.Handle(c.now(), ev, nil) {
		switch a.Kind {
		case ivyfold.Send:
			c.send(c.jobs[a.Job], a)
		case ivyfold.Refuse, ivyfold.Fail:
			if j := c.jobs[a.Job]; j != nil {
				answer := Answer{Verdict: Refused, RetryAfter: a.RetryAfter}
				if a.Kind == ivyfold.Fail {
					answer = Answer{Verdict: Failed}
				}
				c.reply(j, answer)
				c.forget(j)
			}
		case ivyfold.Cancel:
			if j := c.jobs[a.Job]; j != nil && a.Attempt < len(j.tries) {
				j.tries[a.Attempt].recalled = true
				j.tries[a.Attempt].cancel()
			}
		case ivyfold.SetTimer:
			token := a.Token
			c.at(c.now()+a.Delay, func() { c.handle(&ivyfold.Event{Kind: ivyfold.EventTimer, Token: token}) })
		case ivyfold.Watch:
			c.roster.Watch(a.On)
		case ivyfold.Fetch: // a new watch brings the whole list where it is needed
			c.roster.Watch(true)
		case ivyfold.Close:
			if s := c.seats[a.Worker]; s != nil {
				c.floorOf(s).CloseIdle(s.Worker)
			}
		case ivyfold.Log:
			log.Printf("module: %s", a.Data)
		default: // probes and notes to peers are ruled out here, and the settings say so
			log.Printf("module asked for action %d, which this deployment does not allow", a.Kind)
		}
	}
}

func (c *Core) floorOf(s *seat) Floor {
	if s.Queue != "" && c.queues != nil {
		return c.queues
	}
	return c.floor
}

func (c *Core) send(j *Job, act ivyfold.Action) {
	if j == nil {
		return
	}
	a := &Attempt{Job: j, core: c, number: len(j.tries), seat: c.seats[act.Worker]}
	left := j.until - c.now()
	if act.Timeout > 0 {
		left = min(left, act.Timeout)
	}
	a.Until = time.Now().Add(left)
	a.Ctx, a.cancel = context.WithCancel(context.Background())
	second := j.out > 0 && !c.node.Module.ParallelTries
	j.tries = append(j.tries, a)
	j.out++
	if a.seat == nil || a.seat.state != ivyfold.Ready || second || j.over.Load() || left <= 0 {
		// Guards the rules on drains, on one attempt at a time and on clients that left against a module that forgets
		// them or does not know yet. The module is told afterwards, not from within its own actions.
		if a.seat == nil {
			a.seat = &seat{number: act.Worker}
		}
		c.at(c.now(), func() { c.end(a, ivyfold.Moot, ivyfold.Load{}, nil) })
		return
	}
	a.Worker = a.seat.Worker
	c.Counters.Sent.Add(1)
	c.see(Moment{Sight: SawSent, Job: j, Attempt: a})
	if act.Timeout > 0 { // the floor closes the connection first and then tells: another send may follow
		c.at(c.now()+left, func() { a.expired = true; a.cancel() })
	}
	c.floorOf(a.seat).Send(a)
}

// list turns lines of the roster into the module's entries.
func (c *Core) list(kind ivyfold.ListKind, workers []config.Worker) {
	ev := ivyfold.Event{Kind: ivyfold.EventList, List: kind}
	switch kind {
	case ivyfold.ListFailed:
		c.Counters.RosterFailed.Add(1)
	case ivyfold.ListDelta:
		c.Counters.RosterChanges.Add(1)
	default:
		c.Counters.RosterChanges.Add(1)
		workers = append(workers[:len(workers):len(workers)], c.fixed...)
		there := map[string]bool{}
		for _, w := range workers {
			there[w.ID] = true
		}
		for _, s := range c.seats { // who is missing has left
			if !there[s.ID] {
				s.state = ivyfold.Gone
				s.leaving.Store(true)
			}
		}
	}
	for _, w := range workers {
		if s := c.sit(w); s != nil {
			ev.Entries = append(ev.Entries, ivyfold.Entry{Worker: s.number, Started: s.started, Cell: w.Cell,
				Zone: s.zone(c.node), Kind: s.kind(c.node), Weight: w.Weight, State: s.state})
		}
	}
	held := map[ivyfold.WorkerID]bool{}
	for _, j := range c.jobs {
		for _, a := range j.tries {
			held[a.seat.number] = held[a.seat.number] || !a.ended
		}
	}
	var count [3]int
	for id, s := range c.seats {
		if s.state == ivyfold.Gone && !held[id] {
			delete(c.seats, id)
			delete(c.byName, s.ID)
			continue
		}
		count[s.state]++
	}
	c.workers.Store(&count)
	c.handle(&ev)
}

// sit brings one line of the roster into the table; nil where it cannot be used.
func (c *Core) sit(w config.Worker) *seat {
	state, ok := map[string]ivyfold.State{"ready": ivyfold.Ready, "draining": ivyfold.Draining, "gone": ivyfold.Gone}[w.State]
	if !ok {
		state = ivyfold.Draining // an unknown state is none to send to
	}
	id, known := c.byName[w.ID]
	if !known {
		if state == ivyfold.Gone || len(c.seats) >= c.lim.Workers {
			return nil
		}
		for id = number(w.ID); c.seats[id] != nil; id++ {
		}
		c.byName[w.ID] = id
	}
	s := c.seats[id]
	if s == nil || state == ivyfold.Ready && s.leaving.Load() {
		// An attempt under way to the process that left must go on seeing that it left.
		fresh := &seat{number: id}
		if s != nil {
			fresh.Worker, fresh.started = s.Worker, s.started
		}
		s = fresh
		c.seats[id] = s
	}
	if w.StartedAtMs <= 0 {
		s.started = 0
	} else if w.StartedAtMs != s.StartedAtMs {
		// Converted once for each start, lest steps of the calendar look like restarts. A start in the future
		// counts as one now.
		ago := max(time.Since(time.UnixMilli(w.StartedAtMs)), 0)
		s.started = max(c.now()-ago, 0)
	}
	if s.Address != "" && w.State == "gone" { // its last line may leave out where it stood
		w.Address, w.Zone, w.Kind, w.Queue = s.Address, s.Zone, s.Kind, s.Queue
	}
	s.Worker, s.state = w, state
	s.leaving.Store(state != ivyfold.Ready)
	return s
}

func (s *seat) zone(n *config.Node) int { return config.Index(n.Zones, s.Zone) }
func (s *seat) kind(n *config.Node) int { return config.Index(n.Kinds, s.Kind) }

// number makes the module's id from a worker's name, alike at all dispatchers and after restarts: the pools hang
// on it. Names end in eight hexadecimal digits; others are hashed.
func number(name string) ivyfold.WorkerID {
	if at := strings.LastIndexByte(name, '-'); at >= 0 && len(name)-at == 9 {
		if v, err := strconv.ParseUint(name[at+1:], 16, 32); err == nil {
			return ivyfold.WorkerID(v)
		}
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return ivyfold.WorkerID(h.Sum32())
}

// Subject makes the module's key from the words that say what a job is about.
func Subject(words string) uint64 {
	if v, err := strconv.ParseUint(words, 16, 64); err == nil && len(words) == 16 && v != 0 {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(words))
	return max(h.Sum64(), 1)
}

type timer struct {
	at    time.Duration
	order uint64
	do    func()
}

// timers is a heap; what is due at one time comes in the order in which it was set.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, k int) bool {
	return t[i].at < t[k].at || t[i].at == t[k].at && t[i].order < t[k].order
}
func (t timers) Swap(i, k int) { t[i], t[k] = t[k], t[i] }
func (t *timers) Push(v any)   { *t = append(*t, v.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

func (c *Core) at(when time.Duration, do func()) {
	c.set++
	heap.Push(&c.timers, timer{when, c.set, do})
}

// Counters is what the program counts. All may be read at any time.
type Counters struct {
	Taken, Served, Refused, Failed, Left, Overflow atomic.Int64 // jobs
	Malformed                                      atomic.Int64 // messages of clients
	Sent                                           atomic.Int64 // attempts
	Outcomes                                       [ivyfold.Moot + 1]atomic.Int64
	Dialled, Reused                                atomic.Int64 // worker connections
	RosterChanges, RosterFailed                    atomic.Int64
	Redelivered                                    atomic.Int64 // AMQP deliveries that joined or got a remembered outcome
	Captured, CaptureLost                          atomic.Int64 // rows written to captures; rows that found no room or no disk
}

// Count is one counter by its name.
type Count struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// CountNames are the counters in their fixed order, which the MIB shares.
var CountNames = []string{"taken", "served", "refused", "failed", "left", "overflow", "malformed", "sent", "ok", "error",
	"full", "timed_out", "connect_failed", "reset", "cancelled", "moot", "dialled", "reused", "roster_changes",
	"roster_failed", "redelivered", "open", "workers_ready", "workers_draining", "workers_gone", "captured", "capture_lost"}

// OutcomeName is the word that the counters have for an outcome.
func OutcomeName(o ivyfold.Outcome) string { return CountNames[firstOutcome+int(o-ivyfold.OK)] }

// firstOutcome is where the outcomes begin in CountNames.
const firstOutcome = 8

// Counts reads all counters and gauges in the order of CountNames.
func (c *Core) Counts() []Count {
	k, w := c.Counters, c.Workers()
	values := []int64{k.Taken.Load(), k.Served.Load(), k.Refused.Load(), k.Failed.Load(), k.Left.Load(), k.Overflow.Load(),
		k.Malformed.Load(), k.Sent.Load()}
	for o := ivyfold.OK; o <= ivyfold.Moot; o++ {
		values = append(values, k.Outcomes[o].Load())
	}
	values = append(values, k.Dialled.Load(), k.Reused.Load(), k.RosterChanges.Load(), k.RosterFailed.Load(),
		k.Redelivered.Load(), c.open.Load(), int64(w[ivyfold.Ready]), int64(w[ivyfold.Draining]), int64(w[ivyfold.Gone]),
		k.Captured.Load(), k.CaptureLost.Load())
	out := make([]Count, len(values))
	for i, v := range values {
		out[i] = Count{CountNames[i], v}
	}
	return out
}

// Line is all counters on one line, for a log.
func (c *Core) Line() string {
	var b strings.Builder
	for _, n := range c.Counts() {
		fmt.Fprintf(&b, " %s=%d", n.Name, n.Value)
	}
	return b.String()[1:]
}
