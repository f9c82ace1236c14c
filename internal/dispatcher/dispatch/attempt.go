package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// Attempt is one send of a job to a worker. Its transport calls End exactly once.
type Attempt struct {
	Job      *Job
	Worker   config.Worker
	Context  context.Context // ends once the attempt is given up
	Deadline time.Time       // when waiting for the worker ends at the latest

	core    *Core
	worker  *workerState
	cancel  context.CancelFunc
	number  int
	writing atomic.Bool // its first byte may be out
	sent    atomic.Bool // its last byte is out

	// Of the core's goroutine alone.
	ended     bool // it has its outcome
	cancelled bool // given up by the module
	timedOut  bool // the module's time-out for it has passed
}

// Number counts a job's attempts from 0.
func (a *Attempt) Number() int { return a.number }

// MayStart returns whether the first byte may go out, and must be asked just before: a connection takes time to come
// up, and meanwhile the worker may have begun to leave, or the client may have left.
func (a *Attempt) MayStart() bool {
	a.writing.Store(true) // before the look: Abandon looks the other way round, and one of the two sees the other
	return !a.Job.over.Load() && !a.worker.leaving.Load() && a.Context.Err() == nil && (a.Job.MayStart == nil || a.Job.MayStart())
}

// MarkSent notes that the last byte of the request has gone out.
func (a *Attempt) MarkSent() { a.sent.Store(true) }

// ReportProgress passes on that the job has started at the worker or, as a share from 0 to 1, how far it is.
func (a *Attempt) ReportProgress(kind decision.ProgressKind, share float64) {
	a.core.post(func() {
		if a.ended {
			return
		}
		if kind == decision.JobStarted {
			a.core.observe(Event{Kind: AttemptStarted, Job: a.Job, Attempt: a})
		}
		a.core.handle(&decision.Event{
			Kind:     decision.EventJobProgress,
			Job:      a.Job.number,
			Attempt:  a.number,
			Worker:   a.worker.number,
			Progress: kind,
			Value:    share,
		})
	})
}

// End passes on how the attempt ended. Its connection must be closed or clean by then: another send may follow.
func (a *Attempt) End(o decision.Outcome, load decision.Load, result []byte) {
	a.core.post(func() { a.core.endAttempt(a, o, load, result) })
}

// startAttempt carries out the module's decision to send a job to a worker.
func (c *Core) startAttempt(j *Job, act decision.Action) {
	if j == nil {
		return
	}
	a := &Attempt{Job: j, core: c, number: len(j.attempts), worker: c.workers[act.Worker]}
	left := j.deadline - c.now()
	if act.Timeout > 0 {
		left = min(left, act.Timeout)
	}
	a.Deadline = time.Now().Add(left)
	a.Context, a.cancel = context.WithCancel(context.Background())
	second := j.inFlight > 0 && !c.node.Module.ParallelAttempts
	j.attempts = append(j.attempts, a)
	j.inFlight++
	if a.worker == nil || a.worker.state != decision.Ready || second || j.over.Load() || left <= 0 {
		// Guards the invariants on leaving workers, on one attempt at a time and on clients that left against a module that
		// forgets them or does not know yet. The module is told afterwards, not from within its own actions.
		if a.worker == nil {
			a.worker = &workerState{number: act.Worker}
		}
		c.setTimer(c.now(), func() { c.endAttempt(a, decision.NeverSent, decision.Load{}, nil) })
		return
	}
	a.Worker = a.worker.Worker
	c.Counters.Sent.Add(1)
	c.observe(Event{Kind: AttemptSent, Job: j, Attempt: a})
	if act.Timeout > 0 { // the transport closes the connection first and then reports: another send may follow
		c.setTimer(c.now()+left, func() {
			a.timedOut = true
			a.cancel()
		})
	}
	c.transportTo(a.worker).Send(a)
}

// endAttempt notes the outcome of an attempt, gives the client its result where there is one, and asks the module what
// follows.
func (c *Core) endAttempt(a *Attempt, o decision.Outcome, load decision.Load, result []byte) {
	if a.ended { // it has expired and the module knows; a late answer changes nothing
		return
	}
	switch {
	case a.cancelled && o != decision.OK:
		o = decision.Cancelled
	case a.timedOut && o == decision.Cancelled:
		o = decision.TimedOut
	}
	a.ended = true
	a.cancel()
	j := a.Job
	j.inFlight--
	c.Counters.Outcomes[o].Add(1)
	c.observe(Event{Kind: AttemptEnded, Job: j, Attempt: a, Outcome: o, Load: load})
	if j.OnAttemptEnd != nil {
		j.OnAttemptEnd(a, o)
	}
	if o == decision.OK && !j.answered {
		c.reply(j, Answer{Kind: Served, Result: result})
	}
	c.handle(&decision.Event{
		Kind:     decision.EventOutcome,
		Job:      j.number,
		Attempt:  a.number,
		Worker:   a.worker.number,
		Outcome:  o,
		JobEnded: j.answered,
		Load:     load,
	})
	c.forget(j)
}

// cancelAttempt carries out the module's decision to give an attempt up.
func (c *Core) cancelAttempt(j *Job, number int) {
	if j == nil || number >= len(j.attempts) {
		return
	}
	j.attempts[number].cancelled = true
	j.attempts[number].cancel()
}
