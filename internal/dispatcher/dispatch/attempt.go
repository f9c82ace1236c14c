package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// Attempt is one send of a job to a worker. The transport calls End exactly once for each attempt.
type Attempt struct {
	Job      *Job
	Worker   config.Worker
	Context  context.Context // done once the attempt is cancelled, timed out or ended
	Deadline time.Time       // latest time to wait for the worker's answer

	core    *Core
	worker  *workerState
	cancel  context.CancelFunc
	number  int
	writing atomic.Bool // the first byte may have been written
	sent    atomic.Bool // the last byte has been written

	// Accessed only by the core's goroutine.
	ended     bool // the outcome is known
	cancelled bool // cancelled by the module, or by Abandon
	timedOut  bool // the module's time-out for the attempt has passed
}

// Number returns the attempt's index among its job's attempts, starting at 0.
func (a *Attempt) Number() int { return a.number }

// MayStart reports whether the transport may write the first byte. The transport must call it just before that write:
// while the connection is being established, the worker may start to leave or the client may disconnect.
func (a *Attempt) MayStart() bool {
	// Stored before finished is loaded. Abandon stores finished before it loads writing, so at least one of the two
	// sees the other's store.
	a.writing.Store(true)
	return !a.Job.finished.Load() && !a.worker.leaving.Load() && a.Context.Err() == nil && (a.Job.MayStart == nil || a.Job.MayStart())
}

// MarkSent records that the last byte of the request has been written.
func (a *Attempt) MarkSent() { a.sent.Store(true) }

// ReportProgress reports to the core that the job has started at the worker, or how far it has advanced, as a share
// from 0 to 1.
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

// End reports the outcome of the attempt to the core. The connection must be closed or reusable before the call,
// because the core may send the job again.
func (a *Attempt) End(o decision.Outcome, load decision.Load, result []byte) {
	a.core.post(func() { a.core.endAttempt(a, o, load, result) })
}

// startAttempt executes the module's action to send a job to a worker.
func (c *Core) startAttempt(j *Job, action decision.Action) {
	if j == nil {
		return
	}
	a := &Attempt{Job: j, core: c, number: len(j.attempts), worker: c.workers[action.Worker]}
	timeout := j.deadline - c.now()
	if action.Timeout > 0 {
		timeout = min(timeout, action.Timeout)
	}
	a.Deadline = time.Now().Add(timeout)
	a.Context, a.cancel = context.WithCancel(context.Background())
	forbiddenParallel := j.inFlight > 0 && !c.node.Module.ParallelAttempts
	j.attempts = append(j.attempts, a)
	j.inFlight++
	if a.worker == nil || a.worker.state != decision.Ready || forbiddenParallel || j.finished.Load() || timeout <= 0 {
		// Enforces the invariants on leaving workers, on one attempt at a time and on disconnected clients, even if the
		// module violates them or does not know of the change yet. A timer reports the outcome, so that the module does
		// not get an event while its actions are being executed.
		if a.worker == nil {
			a.worker = &workerState{number: action.Worker}
		}
		c.setTimer(c.now(), func() { c.endAttempt(a, decision.NeverSent, decision.Load{}, nil) })
		return
	}
	a.Worker = a.worker.Worker
	c.Counters.Sent.Add(1)
	c.observe(Event{Kind: AttemptSent, Job: j, Attempt: a})
	if action.Timeout > 0 {
		// The timer only cancels the attempt: the transport closes the connection before it reports the outcome,
		// because the module may then send the job again.
		c.setTimer(c.now()+timeout, func() {
			a.timedOut = true
			a.cancel()
		})
	}
	c.transportTo(a.worker).Send(a)
}

// endAttempt records the outcome of an attempt, sends the client the result if there is one, and passes the outcome to
// the module.
func (c *Core) endAttempt(a *Attempt, o decision.Outcome, load decision.Load, result []byte) {
	if a.ended { // the attempt expired earlier and the module was notified: a late outcome is ignored
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
	c.removeFinished(j)
}

// cancelAttempt executes the module's action to cancel an attempt.
func (c *Core) cancelAttempt(j *Job, number int) {
	if j == nil || number >= len(j.attempts) {
		return
	}
	j.attempts[number].cancelled = true
	j.attempts[number].cancel()
}
