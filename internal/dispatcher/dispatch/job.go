package dispatch

import (
	"errors"
	"log"
	"sync/atomic"
	"time"

	"gladepick/internal/decision"
)

// ErrBusy is returned by Submit while Limits.OpenJobs jobs are open. The job has not been sent to any worker.
var ErrBusy = errors.New("too many open jobs")

// ErrDuplicateID is returned by Submit if an open job has the same identifier. Workers' answers name a job by its
// identifier, so a second job could get the answer to the first.
var ErrDuplicateID = errors.New("a job with this id is open")

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// The values of Answer.Kind.
const (
	Served   AnswerKind = iota + 1 // a worker returned the result
	Rejected                       // the job has not run: the client may safely retry
	Failed                         // the job may have run
)

// Answer is the one final answer to a job.
type Answer struct {
	Kind       AnswerKind
	Result     []byte        // if Served: as the worker returned it
	RetryAfter time.Duration // if Rejected: how long the client should wait before a retry
}

// HeaderField is a request header field that is forwarded to the worker unchanged.
type HeaderField struct{ Name, Value string }

// Job is one request of a client. A front sets the exported fields and passes the job to a Submitter; after that the
// front must not change it.
type Job struct {
	ID             string        // the client's unique identifier for the request
	IdempotencyKey string        // identifies the effect; required if the class is deduplicated
	Target         string        // the request target, forwarded unchanged
	Header         []HeaderField // forwarded unchanged
	Body           []byte        // forwarded unchanged
	Class          int           // index into the configured classes
	Tenant         int           // index into the configured tenants
	AffinityKey    uint64        // derived from the subject of the job; 0 means none
	Retry          bool          // the client has sent the job before
	Slots          float64       // slots that the job takes at a worker
	Memory         float64       // memory that the job takes at a worker, in the unit of the settings
	Timeout        time.Duration // from Submit until the client stops waiting

	// Reply receives the final answer: exactly once, unless Abandon comes first. It runs on the core's goroutine and
	// must not block.
	Reply func(Answer)
	// MayStart reports whether an attempt may write its first byte. It is called just before that write, on any
	// goroutine; nil allows every attempt. Package durablejobs sets it, and OnAttemptEnd, for jobs that have replicas
	// at other dispatchers.
	MayStart func() bool
	// OnAttemptEnd receives the outcome of each attempt, on the core's goroutine; it may be nil.
	OnAttemptEnd func(a *Attempt, o decision.Outcome)

	number   decision.JobID
	deadline time.Duration // on the core's clock: latest time to wait for workers
	attempts []*Attempt
	inFlight int         // attempts without an outcome yet
	answered bool        // answered or abandoned: no further answer is sent
	finished atomic.Bool // answered, or the client has disconnected: no further attempt starts
}

// Submit accepts a job. If it returns nil, the job's Reply is called exactly once, unless Abandon comes first; if it
// returns ErrBusy or ErrDuplicateID, Reply is never called. Any goroutine may call it; it blocks while the mailbox is
// full.
func (c *Core) Submit(j *Job) error {
	if c.openJobs.Add(1) > int64(c.limits.OpenJobs) {
		c.openJobs.Add(-1)
		c.Counters.Overflow.Add(1)
		c.observe(Event{Kind: JobOverflowed, Job: j})
		return ErrBusy
	}
	if !c.reserveID(j.ID) {
		c.openJobs.Add(-1)
		return ErrDuplicateID
	}
	c.Counters.Accepted.Add(1)
	submitted := c.now()
	c.post(func() { c.open(j, submitted) })
	return nil
}

// open assigns a number to a job and passes the job to the module. submitted is on the core's clock.
func (c *Core) open(j *Job, submitted time.Duration) {
	for c.lastJob++; c.lastJob == 0 || c.jobs[c.lastJob] != nil; c.lastJob++ {
	}
	j.number = c.lastJob
	c.jobs[j.number] = j
	reserve := min(c.limits.AnswerReserve, j.Timeout/4)
	j.deadline = submitted + j.Timeout - reserve
	c.observe(Event{Kind: JobAccepted, At: submitted, Job: j})
	if j.finished.Load() { // the client disconnected while the job waited: its Abandon is in the mailbox
		return
	}
	c.setTimer(j.deadline, func() { c.expire(j) })
	c.handle(&decision.Event{
		Kind:     decision.EventJob,
		Job:      j.number,
		Class:    j.Class,
		Tenant:   j.Tenant,
		Key:      j.AffinityKey,
		Deadline: j.deadline,
		Slots:    j.Slots,
		Memory:   j.Memory,
		Retry:    j.Retry,
	})
}

// reserveID reserves a job's identifier. It returns false if another job holds it.
func (c *Core) reserveID(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ids[id] {
		return false
	}
	c.ids[id] = true
	return true
}

// Abandon reports that the client has disconnected and no longer waits for the answer. Any goroutine may call it.
func (c *Core) Abandon(j *Job) {
	j.finished.Store(true) // takes effect at once, before the queued functions in the mailbox run
	c.post(func() {
		if j.answered {
			return
		}
		c.Counters.Abandoned.Add(1)
		c.markAnswered(j)
		for _, a := range j.attempts { // a partly written request must not be completed
			if !a.ended && a.writing.Load() && !a.sent.Load() {
				a.cancelled = true
				a.cancel()
			}
		}
		c.observe(Event{Kind: JobAbandoned, Job: j})
		c.handle(&decision.Event{Kind: decision.EventClientLeft, Job: j.number})
		c.removeFinished(j)
	})
}

// expire runs at a job's deadline. It times out the attempts in flight, so that the client gets an answer before its
// own time-out.
func (c *Core) expire(j *Job) {
	if j.answered {
		return
	}
	for _, a := range j.attempts {
		if !a.ended {
			c.endAttempt(a, decision.TimedOut, decision.Load{}, nil)
		}
	}
	if !j.answered { // the module let the deadline pass without an attempt in flight
		log.Printf("job %s: no answer by its deadline, failing the job", j.ID)
		c.reply(j, Answer{Kind: Failed})
		c.handle(&decision.Event{Kind: decision.EventClientLeft, Job: j.number})
		c.removeFinished(j)
	}
}

// markAnswered marks a job as answered. It returns false if the job was already marked.
func (c *Core) markAnswered(j *Job) bool {
	if j.answered {
		return false
	}
	j.answered = true
	j.finished.Store(true)
	c.openJobs.Add(-1)
	return true
}

// reply sends the final answer to a job. It ignores all but the first answer.
func (c *Core) reply(j *Job, a Answer) {
	if !c.markAnswered(j) {
		return
	}
	switch a.Kind {
	case Served:
		c.Counters.Served.Add(1)
	case Rejected:
		c.Counters.Rejected.Add(1)
		if a.RetryAfter <= 0 {
			a.RetryAfter = c.limits.RetryAfter
		}
	default:
		c.Counters.Failed.Add(1)
	}
	c.observe(Event{Kind: JobAnswered, Job: j, Answer: a})
	j.Reply(a)
}

// removeFinished removes a job that is answered and has no attempt in flight, and releases its identifier.
func (c *Core) removeFinished(j *Job) {
	if j.answered && j.inFlight == 0 && c.jobs[j.number] == j {
		delete(c.jobs, j.number)
		c.mu.Lock()
		delete(c.ids, j.ID)
		c.mu.Unlock()
	}
}
