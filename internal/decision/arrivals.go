package decision

// deadlineMarginTicks is how many ticks before its deadline a pending job is rejected.
const deadlineMarginTicks = 2

// A job stays pending for at most its latency target divided by one of these divisors. reportedPendingDivisor
// applies if waiting times can be estimated: in that case other jobs wait for the same workers as well.
const (
	pendingDivisor         = 2
	reportedPendingDivisor = 4
)

// admit handles the arrival of a job: it sheds the job, sends it, leaves it pending or rejects it.
func (d *Dispatcher) admit(event *Event) {
	job := &jobState{Event: event.normalized(&d.settings)}
	d.jobs.byID[event.Job] = job
	d.setTimes(job)
	d.budget.fade(d.quota.fade(d.now))
	job.overQuota = d.quota.observeArrival(job.Tenant)
	if d.shedder.sheds(job.overQuota) {
		d.reject(job)
		return
	}
	d.assign(job)
	d.jobs.open = append(d.jobs.open, job)
	if len(d.jobs.open) == 1 { // otherwise the check timer is already set
		d.overdue.lastAt = d.now
		d.setCheckTimer()
	}
}

// setTimes computes the latest start at which a job is in time, and until when it may stay pending.
func (d *Dispatcher) setTimes(job *jobState) {
	class := d.class(job)
	job.dueAt = d.now + class.LatencyTarget
	target := class.LatencyTarget + seconds(d.times.stretchSeconds(job, class))
	longest := target / pendingDivisor
	if d.load.reported {
		longest = target / reportedPendingDivisor
	}
	job.pendingUntil = min(d.now+longest, job.Deadline-deadlineMarginTicks*d.tick)
}

// assign sends a job to a worker that can take it. Without such a worker, a job that has no attempt in flight
// stays pending if a worker may become available soon, and is rejected otherwise.
func (d *Dispatcher) assign(job *jobState) {
	worker, anyReady := d.picker.pick(job, d.now)
	switch {
	case worker != nil:
		d.send(job, worker)
	case job.inFlight():
	case anyReady && d.mayWait(job):
		if !job.pending {
			d.shedder.observeSaturation()
		}
		job.pending = true
	default:
		d.reject(job)
	}
}

// mayWait reports whether a job may stay pending. If many dispatchers share the workers,
// no job may, because the dispatcher would learn nothing about the workers in the meantime.
func (d *Dispatcher) mayWait(job *jobState) bool {
	if job.overQuota || d.sharedFleet {
		return false
	}
	return d.now < job.pendingUntil && d.gate.allowsAttempt(job, d.now)
}

// reject ends a job without a result. It answers Reject only if another try is harmless, and Fail
// otherwise.
func (d *Dispatcher) reject(job *jobState) {
	answer := Action{Kind: Reject, Job: job.Job}
	answer.RetryAfter = d.shedder.retryAfter(d.tick, d.settings.MaxRetryAfter)
	if !d.class(job).retriesAnywhere() && job.mayHaveRun() {
		answer.Kind = Fail
		answer.RetryAfter = 0
	}
	d.load.observeRejection()
	d.actions = append(d.actions, answer)
	d.finish(job)
}
