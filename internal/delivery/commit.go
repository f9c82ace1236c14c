package delivery

import (
	"time"

	"gladepick/internal/message"
)

const (
	failureBackoff        = 20 * time.Millisecond // after an answer 500; half as much again at most
	failureJitter         = 30 * time.Millisecond
	runningBackoff        = 50 * time.Millisecond // while another run of the message is at work
	minRetryBackoff       = 20 * time.Millisecond // grows with each
	maxRetryBackoff       = time.Second
	maxNotRunBackoff      = 250 * time.Millisecond
	maxBackoffDoublings   = 6
	unreadableBodyBackoff = time.Second
)

var deadLetter = message.Outcome{State: message.DeadLetter}

// finishAttempt takes an attempt's result in. The owner has been told of it.
func (e *Engine) commitAttempt(a *attempt, r attemptReport) {
	j, d := a.job, a.adapter
	a.endpoint.inFlight--
	j.inFlight = false
	j.lastResult = r.result
	a.endpoint.shortenIdleTimeout(r.keepAlive, e.endpoints.dial)
	d.service.recordResult(a.endpoint, r.result)
	e.schedule.markDirty(d.service)
	if r.result == resultFailed {
		j.queued.failures = a.failures + 1
	}
	if r.result.answered() {
		j.queued.backoffs = 0
	}
	closed := r.ended || e.shouldRequeue(a, r.result)
	d.reportOutcome(j, r.result.moduleOutcome(r.ended), closed)
	switch {
	case r.ended:
		d.forget(j)
		e.forgetEnded(j.queued)
	case closed:
		d.returnToQueue(j, 0)
	}
}

// takesBack tells whether a message that has not ended is to wait rather than be sent again at once.
func (e *Engine) shouldRequeue(a *attempt, v attemptResult) bool {
	queued := a.job.queued
	s := a.adapter.service
	return v == resultRunning || v == resultThrottled || v == resultBodyUnreadable ||
		queued.orphan || queued.expired(e.now()) || s.adapter != a.adapter || s.concurrency.down
}

// settle forgets a message that has ended at a worker.
func (e *Engine) forgetEnded(queued *queuedMessage) {
	if queued.orphan {
		delete(e.backlog.orphans, keyOf(queued.message))
		return
	}
	e.remove(queued)
}

// requeue returns a message that has not ended to its lane.
func (e *Engine) requeue(j *job, retryAfter time.Duration) {
	queued := j.queued
	if queued.orphan {
		delete(e.backlog.orphans, keyOf(queued.message))
		return
	}
	now := e.now()
	queued.notBefore = now + max(retryAfter, e.requeueBackoff(j))
	if queued.expired(now) {
		e.endWithoutAttempt(queued, deadLetter)
		return
	}
	queued.state = blockedByOrder
	e.place(queued)
}

// pauseAfter is for how long a message rests that the decider has given back.
func (e *Engine) requeueBackoff(j *job) time.Duration {
	switch j.lastResult {
	case resultFailed:
		return failureBackoff + time.Duration(e.random.Int64N(int64(failureJitter)))
	case resultRunning:
		return runningBackoff
	case resultBodyUnreadable:
		return unreadableBodyBackoff
	case resultUncertain, resultTimedOut, resultDeadlineExceeded:
		return e.exponentialBackoff(j.queued, maxRetryBackoff)
	}
	if !e.mayDeliver(j.queued) || j.lastResult != 0 && e.serviceDown(j) {
		return 0 // its partition is parked, or the service pauses as a whole
	}
	return e.exponentialBackoff(j.queued, maxNotRunBackoff)
}

func (e *Engine) serviceDown(j *job) bool {
	s := e.services[j.route.Service]
	return s != nil && s.concurrency.down
}

// growingPause doubles with each of a message's retries.
func (e *Engine) exponentialBackoff(queued *queuedMessage, longest time.Duration) time.Duration {
	pause := min(minRetryBackoff<<queued.backoffs, longest)
	queued.backoffs = min(queued.backoffs+1, maxBackoffDoublings)
	return jitter(pause, e.random)
}
