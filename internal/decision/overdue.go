package decision

import "time"

// silenceAnswerFactor is the multiple of the usual answer time after which a silent worker counts as
// unhealthy.
const silenceAnswerFactor = 3

// minSilenceTicks is the least silence, in ticks, after which a worker counts as unhealthy.
const minSilenceTicks = 2

// stallTicks is the number of ticks between two checks above which the dispatcher itself counts as stalled.
// Silence of workers during a stall is ignored.
const stallTicks = 4

// waitGrowth is the factor by which the age of an attempt has to grow before its waiting is added to the load
// estimate again.
const waitGrowth = 2

// overdueChecks records the last check of the open jobs, and since when the dispatcher has run without a
// stall.
type overdueChecks struct {
	lastAt       time.Duration
	runningSince time.Duration
}

// begin records the start of a check and detects a stall.
func (c *overdueChecks) begin(now, tick time.Duration) {
	if now-c.lastAt > stallTicks*tick {
		c.runningSince = now
	}
	c.lastAt = now
}

// checkOpenJobs checks the attempts in flight of all open jobs and assigns pending jobs. It runs at each
// tick.
func (d *Dispatcher) checkOpenJobs() {
	d.overdue.begin(d.now, d.tick)
	d.jobs.removeEnded()
	for _, job := range d.jobs.open {
		for _, attempt := range job.attempts {
			if !attempt.done {
				d.checkAttempt(job, attempt)
			}
		}
		if job.pending {
			d.assign(job)
		}
	}
	if len(d.jobs.open) > 0 {
		d.setCheckTimer()
	}
}

// setCheckTimer sets the timer for the next check of the open jobs.
func (d *Dispatcher) setCheckTimer() {
	d.actions = append(d.actions, Action{Kind: SetTimer, Token: checkToken, Delay: d.tick})
}

// checkAttempt cancels the waiting attempts of a job that has become hopeless, marks the worker as unhealthy
// if it is silent, and adds the waiting of the attempt to the load estimate.
func (d *Dispatcher) checkAttempt(job *jobState, attempt *attemptState) {
	if d.isHopeless(job, attempt) {
		d.cancelWaiting(job)
	} else if d.isSilent(job, attempt) {
		attempt.worker.markUnhealthy(d.now)
	}
	d.observeWaiting(attempt)
}

// isHopeless reports whether a job can no longer earn more than its place in the worker's queue costs. This
// holds if a late answer earns nothing and the job has not started by its due time plus the slack that the
// growth of its latency target leaves. The slack is smaller the longer jobs behind it would wait.
func (d *Dispatcher) isHopeless(job *jobState, attempt *attemptState) bool {
	class := d.class(job)
	if !d.settings.ReportsStart || class.LateValue != 0 {
		return false
	}
	waitSeconds := d.forecasts.waitSeconds(attempt.worker, job.Slots, d.now)
	slack := d.times.stretchSeconds(job, class) - waitSeconds
	return d.now > job.dueAt+seconds(max(slack, 0))
}

// isSilent reports whether a worker that is not yet marked unhealthy has been silent for too long since the
// send of an attempt. Time before the end of the last stall does not count, as a stalled dispatcher receives
// nothing.
func (d *Dispatcher) isSilent(job *jobState, attempt *attemptState) bool {
	usual := seconds(silenceAnswerFactor * d.times.answerSeconds[job.Class])
	allowed := max(usual, minSilenceTicks*d.tick, d.settings.ProgressInterval)
	silentSince := max(attempt.sentAt, attempt.worker.lastActivityAt, d.overdue.runningSince)
	return d.now-silentSince > allowed && !attempt.worker.unhealthy
}

// observeWaiting adds the waiting of an attempt that has not started to the load estimate if many
// dispatchers share the workers. The start and the load report with the answer would come too late for the
// jobs that are sent in the meantime.
func (d *Dispatcher) observeWaiting(attempt *attemptState) {
	if !d.sharedFleet || attempt.startedAt != 0 {
		return
	}
	age := (d.now - attempt.sentAt).Seconds()
	if age > max(attempt.expectedStartSeconds, waitGrowth*attempt.observedWaitSeconds) {
		d.load.observeWait(attempt.worker, age-attempt.expectedStartSeconds, d.now)
		attempt.observedWaitSeconds = age
	}
}
