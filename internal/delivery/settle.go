package delivery

import (
	"time"

	"gladepick/internal/message"
)

const (
	failurePause        = 20 * time.Millisecond // after an answer 500; half as much again at most
	failurePauseSpread  = 30 * time.Millisecond
	runningPause        = 50 * time.Millisecond // while another run of the message is at work
	retryPause          = 20 * time.Millisecond // grows with each
	longestRetryPause   = time.Second
	longestNotRunPause  = 250 * time.Millisecond
	mostRetryDoublings  = 6
	unreadableBodyPause = time.Second
)

var deadLetter = message.Outcome{State: message.DeadLetter}

// finishAttempt takes an attempt's result in. The owner has been told of it.
func (e *Engine) finishAttempt(a *attempt, r result) {
	j, d := a.job, a.decider
	a.destination.flying--
	j.flying = false
	j.last = r.verdict
	a.destination.learnIdleTime(r.keepAlive, e.destinations.dial)
	d.service.note(a.destination, r.verdict)
	e.agenda.touch(d.service)
	if r.verdict == verdictFailed {
		j.entry.failures = a.failures + 1
	}
	if r.verdict.answered() {
		j.entry.retries = 0
	}
	closed := r.ended || e.takesBack(a, r.verdict)
	d.report(j, r.verdict.moduleOutcome(r.ended), closed)
	switch {
	case r.ended:
		d.drop(j)
		e.settle(j.entry)
	case closed:
		d.giveBack(j, 0)
	}
}

// takesBack tells whether a message that has not ended is to wait rather than be sent again at once.
func (e *Engine) takesBack(a *attempt, v verdict) bool {
	en := a.job.entry
	s := a.decider.service
	return v == verdictRunning || v == verdictThrottled || v == verdictUnreadable ||
		en.orphan || en.expired(e.now()) || s.decider != a.decider || s.window.down
}

// settle forgets a message that has ended at a worker.
func (e *Engine) settle(en *entry) {
	if en.orphan {
		delete(e.queue.orphans, keyOf(en.message))
		return
	}
	e.remove(en)
}

// requeue returns a message that has not ended to its lane.
func (e *Engine) requeue(j *job, retryAfter time.Duration) {
	en := j.entry
	if en.orphan {
		delete(e.queue.orphans, keyOf(en.message))
		return
	}
	now := e.now()
	en.notBefore = now + max(retryAfter, e.pauseAfter(j))
	if en.expired(now) {
		e.end(en, deadLetter)
		return
	}
	en.placement = behindAnother
	e.place(en)
}

// pauseAfter is for how long a message rests that the decider has given back.
func (e *Engine) pauseAfter(j *job) time.Duration {
	switch j.last {
	case verdictFailed:
		return failurePause + time.Duration(e.random.Int64N(int64(failurePauseSpread)))
	case verdictRunning:
		return runningPause
	case verdictUnreadable:
		return unreadableBodyPause
	case verdictUncertain, verdictTimedOut, verdictOverdue:
		return e.growingPause(j.entry, longestRetryPause)
	}
	if !e.mayDeliver(j.entry) || j.last != 0 && e.serviceDown(j) {
		return 0 // its partition is parked, or the service pauses as a whole
	}
	return e.growingPause(j.entry, longestNotRunPause)
}

func (e *Engine) serviceDown(j *job) bool {
	s := e.services[j.route.Service]
	return s != nil && s.window.down
}

// growingPause doubles with each of a message's retries.
func (e *Engine) growingPause(en *entry, longest time.Duration) time.Duration {
	pause := min(retryPause<<en.retries, longest)
	en.retries = min(en.retries+1, mostRetryDoublings)
	return jitter(pause, e.random)
}
