package dispatch

import (
	"errors"
	"log"
	"sync/atomic"
	"time"

	"gladepick/internal/decision"
)

// ErrBusy is the error of Submit while as many jobs are open as the limits allow. Nothing has been sent anywhere.
var ErrBusy = errors.New("too many open jobs")

// ErrDuplicateID is the error of Submit where an open job has the same identifier: a second one could get the first
// one's answer.
var ErrDuplicateID = errors.New("a job with this id is open")

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// The kinds of answers.
const (
	Served   AnswerKind = iota + 1 // a worker gave the result
	Rejected                       // the job has not run: trying again is harmless
	Failed                         // the job may have run
)

// Answer is the final answer to a job.
type Answer struct {
	Kind       AnswerKind
	Result     []byte        // Served: as the worker gave it
	RetryAfter time.Duration // Rejected: when the client may come back
}

// HeaderField is a field of a request's header that passes through as it came.
type HeaderField struct{ Name, Value string }

// Job is one request of a client. A front fills in the exported fields, hands the job to a Submitter and from then on
// leaves it alone.
type Job struct {
	ID             string        // the client's name for the request, unique to it
	IdempotencyKey string        // names the effect, where the class has keys
	Target         string        // the request's target as it came
	Header         []HeaderField // as it came
	Body           []byte        // as it came
	Class          int           // index into the settings' classes
	Tenant         int           // index into the settings' tenants
	AffinityKey    uint64        // names what the job is about; 0 is nothing
	Retry          bool          // the client has sent it before
	Slots          float64       // that the job takes at a worker
	Memory         float64       // that the job takes at a worker, in the settings' unit
	Timeout        time.Duration // from Submit until the client gives up

	// Reply gets the final answer, once, on the core's goroutine: it must not block.
	Reply func(Answer)
	// MayStart is asked just before the first byte of an attempt, on any goroutine; nil allows each attempt. Together with
	// OnAttemptEnd it serves the jobs that other dispatchers have replicas of (package durablejobs).
	MayStart func() bool
	// OnAttemptEnd is told the outcome of each attempt, on the core's goroutine; nil is told nothing.
	OnAttemptEnd func(a *Attempt, o decision.Outcome)

	number   decision.JobID
	deadline time.Duration // on the core's clock: when waiting for workers ends
	attempts []*Attempt
	inFlight int         // attempts that have no outcome yet
	answered bool        // no further answer is given
	over     atomic.Bool // answered, or the client has just left: nothing more is sent
}

// Submit takes a job. After nil its Reply is called once; after ErrBusy or ErrDuplicateID never.
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

// open numbers a job that was submitted at a time of the core's clock, and asks the module where it is to go.
func (c *Core) open(j *Job, submitted time.Duration) {
	for c.lastJob++; c.lastJob == 0 || c.jobs[c.lastJob] != nil; c.lastJob++ {
	}
	j.number = c.lastJob
	c.jobs[j.number] = j
	reserve := min(c.limits.AnswerReserve, j.Timeout/4)
	j.deadline = submitted + j.Timeout - reserve
	c.observe(Event{Kind: JobAccepted, At: submitted, Job: j})
	if j.over.Load() { // the client left while this waited: its Abandon is in the mailbox
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

// reserveID notes a job's identifier. It returns false where another job has it.
func (c *Core) reserveID(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ids[id] {
		return false
	}
	c.ids[id] = true
	return true
}

// Abandon tells that the client has gone: nobody waits for the answer any more.
func (c *Core) Abandon(j *Job) {
	j.over.Store(true) // at once, whatever waits in the mailbox
	c.post(func() {
		if j.answered {
			return
		}
		c.Counters.Abandoned.Add(1)
		c.close(j)
		for _, a := range j.attempts { // a request that is partly written must not become complete later
			if !a.ended && a.writing.Load() && !a.sent.Load() {
				a.cancelled = true
				a.cancel()
			}
		}
		c.observe(Event{Kind: JobAbandoned, Job: j})
		c.handle(&decision.Event{Kind: decision.EventClientLeft, Job: j.number})
		c.forget(j)
	})
}

// expire is called at a job's deadline. Attempts that are out have timed out, and the client gets its answer in time.
func (c *Core) expire(j *Job) {
	if j.answered {
		return
	}
	for _, a := range j.attempts {
		if !a.ended {
			c.endAttempt(a, decision.TimedOut, decision.Load{}, nil)
		}
	}
	if !j.answered { // guards against a module that lets a deadline pass with nothing out
		log.Printf("job %s: no answer at its deadline; failed", j.ID)
		c.reply(j, Answer{Kind: Failed})
		c.handle(&decision.Event{Kind: decision.EventClientLeft, Job: j.number})
		c.forget(j)
	}
}

// close marks a job as answered. It returns false where it was marked before.
func (c *Core) close(j *Job) bool {
	if j.answered {
		return false
	}
	j.answered = true
	j.over.Store(true)
	c.openJobs.Add(-1)
	return true
}

// reply gives the final answer. Only the first answer to a job is given.
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
			a.RetryAfter = c.limits.RetryAfter
		}
	default:
		c.Counters.Failed.Add(1)
	}
	c.observe(Event{Kind: JobAnswered, Job: j, Answer: a})
	j.Reply(a)
}

// forget drops a job that is answered and has no attempt out, and frees its identifier.
func (c *Core) forget(j *Job) {
	if j.answered && j.inFlight == 0 && c.jobs[j.number] == j {
		delete(c.jobs, j.number)
		c.mu.Lock()
		delete(c.ids, j.ID)
		c.mu.Unlock()
	}
}
