package decision

// handleProgress takes a sign of life of an attempt, and the start of its job.
func (d *Dispatcher) handleProgress(event *Event, job *jobState) {
	attempt := d.jobs.openAttempt(job, event.Attempt)
	if attempt == nil {
		return
	}
	attempt.worker.heard(d.now)
	if event.Progress == JobStarted && attempt.startedAt == 0 {
		d.handleStart(job, attempt)
	}
}

// handleStart learns from when a job started: a worker that starts it at once had a free slot.
func (d *Dispatcher) handleStart(job *jobState, attempt *attemptState) {
	worker := attempt.worker
	took := d.now - attempt.sentAt
	attempt.startedAt = d.now
	worker.startedAtOnce = took <= d.tick
	worker.runningJobs++
	d.shedder.observeStart()
	target := d.class(job).LatencyTarget
	if !d.load.reported && took > target/lateStartDivisor { // as good as a rejection by a full worker
		d.shedder.observeStrain()
		d.backOff(worker, job)
		d.shedder.observeLateStart(took, target)
	}
	observeDelay(attempt.startDelay, took.Seconds())
	d.load.observeStart(worker, took.Seconds(), attempt.waitAfterSeconds, d.now)
}

// backOff leaves a worker alone for about the time in which it frees a slot.
func (d *Dispatcher) backOff(worker *workerState, job *jobState) {
	longest := seconds(d.times.answerSeconds[job.Class]) + d.tick
	worker.backOff(d.now, d.tick, longest)
}

// handleOutcome takes the end of an attempt, and retries, rejects or ends its job.
func (d *Dispatcher) handleOutcome(event *Event, job *jobState, attempt *attemptState) {
	outcome := event.Outcome
	worker := attempt.worker
	attempt.done = true
	attempt.neverRan = d.provesNeverRan(outcome)
	worker.reserve(-job.Slots, d.now)
	d.load.observeReport(worker, &event.Load, d.now)
	if attempt.startedAt > 0 {
		worker.runningJobs--
	}
	d.actions = d.workers.closeIdleAfterOutcome(worker, outcome, d.now, d.actions)
	d.observeOutcome(job, attempt, outcome)
	isAnswered := event.JobEnded || outcome == OK
	switch {
	case job.ended || isAnswered:
		d.finish(job)
	case job.inFlight():
	case d.retries(job, attempt):
		d.assign(job)
	default:
		d.reject(job)
	}
}

// provesNeverRan tells whether an outcome proves that the attempt never ran.
func (d *Dispatcher) provesNeverRan(outcome Outcome) bool {
	switch outcome {
	case ConnectFailed, NeverSent:
		return true
	case Rejected:
		return !d.settings.RejectionUnproven
	default:
		return false
	}
}

// retries tells whether a job gets another attempt after one has ended: jobs beyond their tenant's share,
// and those that were cancelled as hopeless, get none.
func (d *Dispatcher) retries(job *jobState, ended *attemptState) bool {
	if job.overQuota || ended.cancelled {
		return false
	}
	return d.gate.allowsAttempt(job, d.now)
}

// observeOutcome learns from an outcome.
func (d *Dispatcher) observeOutcome(job *jobState, attempt *attemptState, outcome Outcome) {
	worker := attempt.worker
	switch outcome {
	case OK:
		d.observeAnswer(job, attempt)
		d.sendPending(worker)
	case Rejected:
		d.observeRejection(job, worker)
	case Error:
		worker.observeError(d.now)
	case ConnectFailed:
		worker.markUnhealthy(d.now)
	}
}

// observeRejection learns from a worker that is full. That is a sign of too much load where the job has met
// others, or is beyond its tenant's share; the full worker of a key says little of the pool.
func (d *Dispatcher) observeRejection(job *jobState, worker *workerState) {
	worker.lastHeardAt = d.now
	isExcess := job.overQuota && job.Key == 0
	if len(job.attempts) > 1 || isExcess {
		d.shedder.observeStrain()
	}
	d.backOff(worker, job)
}

// observeAnswer learns from an answer. What a warming worker takes says nothing of run times.
func (d *Dispatcher) observeAnswer(job *jobState, attempt *attemptState) {
	worker := attempt.worker
	d.times.observeAnswer(job.Class, d.now-attempt.sentAt)
	if d.slowStart.isWarm(worker, d.now) {
		ran := observedRun(attempt, d.now)
		d.budget.observeWork(worker.Kind, job.Slots*ran)
		worker.observeSlowness(d.times.observeRun(job.Class, worker.Kind, ran))
	}
	worker.observeOK(d.now)
	worker.lastOKAt = d.now
	d.shedder.observeAnswer()
	d.quota.observeAnswer(job.Tenant)
}

// sendPending gives a slot that has just been freed to a waiting job that may go there: the one worth most
// for its time where workers report their load, else the oldest.
func (d *Dispatcher) sendPending(worker *workerState) {
	var next *jobState
	for _, job := range d.jobs.open {
		if !job.pending || !d.health.accepts(worker, job, d.now) {
			continue
		}
		if !d.forecasts.hasFreeSlot(worker, job, d.now) {
			continue
		}
		if next == nil || d.goesBefore(job, next) {
			next = job
		}
	}
	if next != nil {
		d.send(next, worker)
	}
}

// goesBefore tells whether a waiting job goes before an older one.
func (d *Dispatcher) goesBefore(job, older *jobState) bool {
	return d.load.reported && d.forecasts.density(job) > d.forecasts.density(older)
}

// handleClientLeft ends a job whose client has left. Where workers report their load its attempt is not
// cancelled: it works on and holds its slot there, and a cancel would only lose the connection and hide that.
func (d *Dispatcher) handleClientLeft(job *jobState) {
	job.pending = false
	job.ended = true
	if !d.load.reported || !job.inFlight() {
		d.finish(job)
	}
}
