package decision

// lateTicks is how many ticks before its deadline a job that waits for a worker is given up.
const lateTicks = 2

// A job waits for a worker for at most this part of its latency target; for less where waiting times can be
// told, as then other jobs wait for the same workers, too.
const (
	pendingDivisor         = 2
	reportedPendingDivisor = 4
)

// admit takes a job that has arrived: it is shed, sent, left waiting or rejected.
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
	if len(d.jobs.open) == 1 { // else the next look is set
		d.overdue.lastAt = d.now
		d.setCheckTimer()
	}
}

// setTimes sets until when a job is in time, and until when it may wait for a worker.
func (d *Dispatcher) setTimes(job *jobState) {
	class := d.class(job)
	job.dueAt = d.now + class.LatencyTarget
	target := class.LatencyTarget + seconds(d.times.stretchSeconds(job, class))
	longest := target / pendingDivisor
	if d.load.reported {
		longest = target / reportedPendingDivisor
	}
	job.pendingUntil = min(d.now+longest, job.Deadline-lateTicks*d.tick)
}

// assign sends a job to a worker that can take it. If there is none, and no attempt is out, the job waits
// where one may take it soon, and is rejected at once otherwise.
func (d *Dispatcher) assign(job *jobState) {
	worker, anyReady := d.picker.pick(job, d.now)
	switch {
	case worker != nil:
		d.send(job, worker)
	case job.inFlight():
	case anyReady && d.mayWait(job):
		if !job.pending {
			d.shedder.observeStrain()
		}
		job.pending = true
	default:
		d.reject(job)
	}
}

// mayWait tells whether a job may wait for a worker. None does where many dispatchers share workers: nothing
// would be learned meanwhile.
func (d *Dispatcher) mayWait(job *jobState) bool {
	if job.overQuota || d.shared {
		return false
	}
	return d.now < job.pendingUntil && d.gate.allowsAttempt(job, d.now)
}

// reject is the gate for final answers: a rejection only where another try is harmless, else a failure.
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
