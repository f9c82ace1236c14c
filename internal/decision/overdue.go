package decision

import "time"

// silentAnswerTimes is how many usual answer times a worker may be silent before it counts as unhealthy.
const silentAnswerTimes = 3

// minSilenceTicks is the least silence, in ticks, after which a worker counts as unhealthy.
const minSilenceTicks = 2

// standstillTicks is how many ticks may lie between two checks before the dispatcher itself counts as having
// stood still: nobody else was silent then.
const standstillTicks = 4

// waitGrowth is how many times older an attempt has to be for its waiting to be taken into the
// estimate once more.
const waitGrowth = 2

// overdueChecks tells when open jobs were last looked at, and since when the dispatcher has run
// without a standstill.
type overdueChecks struct {
	lastAt       time.Duration
	runningSince time.Duration
}

// begin notes a check.
func (c *overdueChecks) begin(now, tick time.Duration) {
	if now-c.lastAt > standstillTicks*tick {
		c.runningSince = now
	}
	c.lastAt = now
}

// checkOpenJobs looks at each tick at the jobs that are open: overdue attempts and jobs that wait
// for a worker.
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

// setCheckTimer sets the timer for the next look at open jobs.
func (d *Dispatcher) setCheckTimer() {
	d.actions = append(d.actions, Action{Kind: SetTimer, Token: checkToken, Delay: d.tick})
}

// checkAttempt cancels an attempt that has become hopeless, marks its worker as unhealthy if that is silent,
// and takes the attempt's waiting into the load estimate.
func (d *Dispatcher) checkAttempt(job *jobState, attempt *attemptState) {
	if d.isHopeless(job, attempt) {
		d.cancelWaiting(job)
	} else if d.isSilent(job, attempt) {
		attempt.worker.markUnhealthy(d.now)
	}
	d.observeWaiting(attempt)
}

// isHopeless tells whether a job can earn nothing any more, or less than its place in the worker's queue: a
// late answer earns nothing, and it has not started within what its latency target and its own running time
// leave it. The more would wait behind it, the less that is.
func (d *Dispatcher) isHopeless(job *jobState, attempt *attemptState) bool {
	class := d.class(job)
	if !d.settings.ReportsStart || class.LateValue != 0 {
		return false
	}
	waitSeconds := d.forecasts.waitSeconds(attempt.worker, job.Slots, d.now)
	slack := d.times.stretchSeconds(job, class) - waitSeconds
	return d.now > job.dueAt+seconds(max(slack, 0))
}

// isSilent tells whether a worker that is not yet known as unhealthy has been silent for too long since the
// send of an attempt. A dispatcher that stood still itself has heard nobody.
func (d *Dispatcher) isSilent(job *jobState, attempt *attemptState) bool {
	usual := seconds(silentAnswerTimes * d.times.answerSeconds[job.Class])
	allowed := max(usual, minSilenceTicks*d.tick, d.settings.ProgressInterval)
	silentSince := max(attempt.sentAt, attempt.worker.lastHeardAt, d.overdue.runningSince)
	return d.now-silentSince > allowed && !attempt.worker.unhealthy
}

// observeWaiting takes the waiting of an attempt that has not started into the load estimate, where
// many dispatchers share workers: its start, and the report with its answer, come too late for the
// jobs that are sent meanwhile.
func (d *Dispatcher) observeWaiting(attempt *attemptState) {
	if !d.shared || attempt.startedAt != 0 {
		return
	}
	age := (d.now - attempt.sentAt).Seconds()
	if age > max(attempt.waitAfterSeconds, waitGrowth*attempt.waitSeenSeconds) {
		d.load.observeWait(attempt.worker, age-attempt.waitAfterSeconds, d.now)
		attempt.waitSeenSeconds = age
	}
}
