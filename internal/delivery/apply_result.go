package delivery

import (
	"time"

	"gladepick/internal/message"
)

const (
	failureBackoff        = 20 * time.Millisecond  // after a response with status 500
	failureJitter         = 30 * time.Millisecond  // the largest random addition to failureBackoff
	runningBackoff        = 50 * time.Millisecond  // while another attempt of the message is running
	minRetryBackoff       = 20 * time.Millisecond  // doubles with each consecutive backoff of a message
	maxRetryBackoff       = time.Second            // if a worker may have run the message
	maxNotRunBackoff      = 250 * time.Millisecond // if no worker ran the message
	maxBackoffDoublings   = 6
	unreadableBodyBackoff = time.Second
)

// deadLetter is the outcome of a message that will never be completed.
var deadLetter = message.Outcome{State: message.DeadLetter}

// applyAttemptReport applies the result of an attempt to the state of the engine. The owner has already been notified
// of it.
func (e *Engine) applyAttemptReport(a *attempt, report attemptReport) {
	j, adapter := a.job, a.adapter
	a.endpoint.inFlight--
	j.inFlight = false
	j.lastResult = report.result
	a.endpoint.shortenIdleTimeout(report.keepAlive, e.endpoints.dial)
	adapter.service.recordResult(a.endpoint, report.result)
	e.schedule.markDirty(adapter.service)
	if report.result == resultFailed {
		j.queued.failures = a.failures + 1
	}
	if report.result.processed() {
		j.queued.backoffs = 0
	}
	jobEnded := report.ended || e.shouldRequeue(a, report.result)
	adapter.reportOutcome(j, report.result.moduleOutcome(report.ended), jobEnded)
	switch {
	case report.ended:
		adapter.removeJob(j)
		e.removeEnded(j.queued)
	case jobEnded:
		adapter.returnToQueue(j, 0)
	}
}

// shouldRequeue reports whether a message that has not ended is queued again. If it is not, the message is left to the
// decision module, which may send it again at once.
func (e *Engine) shouldRequeue(a *attempt, result attemptResult) bool {
	queued := a.job.queued
	s := a.adapter.service
	return result == resultRunning || result == resultThrottled || result == resultBodyUnreadable ||
		queued.orphan || queued.expired(e.now()) || s.adapter != a.adapter || s.concurrency.down
}

// removeEnded removes a message that ended with an attempt.
func (e *Engine) removeEnded(queued *queuedMessage) {
	if queued.orphan {
		delete(e.backlog.orphans, keyOf(queued.message))
		return
	}
	e.remove(queued)
}

// requeue returns a message that has not ended to its route queue, after a backoff of at least retryAfter.
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

// requeueBackoff returns how long the message of a job that has ended is not dispatched again.
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
		return 0 // its partition is parked, or its service as a whole is in backoff
	}
	return e.exponentialBackoff(j.queued, maxNotRunBackoff)
}

func (e *Engine) serviceDown(j *job) bool {
	s := e.services[j.route.Service]
	return s != nil && s.concurrency.down
}

// exponentialBackoff returns a backoff that doubles with each consecutive one of the message, up to longest.
func (e *Engine) exponentialBackoff(queued *queuedMessage, longest time.Duration) time.Duration {
	backoff := min(minRetryBackoff<<queued.backoffs, longest)
	queued.backoffs = min(queued.backoffs+1, maxBackoffDoublings)
	return jitter(backoff, e.random)
}
