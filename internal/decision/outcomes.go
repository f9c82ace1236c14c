package decision

// handleProgress handles progress of an attempt, including the start of its job.
func (d *Dispatcher) handleProgress(event *Event, job *jobState) {
	attempt := d.jobs.openAttempt(job, event.Attempt)
	if attempt == nil {
		return
	}
	attempt.worker.observeActivity(d.now)
	if event.Progress == JobStarted && attempt.startedAt == 0 {
		d.handleStart(job, attempt)
	}
}

// handleStart learns from the start of a job: a worker that starts a job at once had a free slot.
func (d *Dispatcher) handleStart(job *jobState, attempt *attemptState) {
	worker := attempt.worker
	took := d.now - attempt.sentAt
	attempt.startedAt = d.now
	worker.startedPromptly = took <= d.tick
	worker.runningJobs++
	d.shedder.observeStart()
	target := d.class(job).LatencyTarget
	if !d.load.reported && took > target/lateStartDivisor { // equivalent to a rejection by a full worker
		d.shedder.observeSaturation()
		d.backOff(worker, job)
		d.shedder.observeLateStart(took, target)
	}
	observeDelay(attempt.startDelay, took.Seconds())
	d.load.observeStart(worker, took.Seconds(), attempt.expectedStartSeconds, d.now)
}

// backOff stops sends to a worker for about the time in which it frees a slot.
func (d *Dispatcher) backOff(worker *workerState, job *jobState) {
	longest := seconds(d.times.answerSeconds[job.Class]) + d.tick
	worker.backOff(d.now, d.tick, longest)
}

// handleOutcome handles the end of an attempt, and retries, rejects or ends its job.
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
	answered := event.JobEnded || outcome == OK
	switch {
	case job.ended || answered:
		d.finish(job)
	case job.inFlight():
	case d.retries(job, attempt):
		d.assign(job)
	default:
		d.reject(job)
	}
}

// provesNeverRan reports whether an outcome proves that the attempt never ran.
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

// retries reports whether a job gets another attempt after one has ended. Jobs that exceed their tenant's
// share and jobs whose attempt was cancelled get none.
func (d *Dispatcher) retries(job *jobState, ended *attemptState) bool {
	if job.overQuota || ended.cancelled {
		return false
	}
	return d.gate.allowsAttempt(job, d.now)
}

// observeOutcome updates the state of the worker and the estimates from an outcome.
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

// observeRejection handles a rejection by a full worker. It is a sign of overload if the job was rejected or
// failed elsewhere before, or exceeds its tenant's share. For a job with a key, one full worker says little
// about the pool.
func (d *Dispatcher) observeRejection(job *jobState, worker *workerState) {
	worker.lastActivityAt = d.now
	exceedsQuota := job.overQuota && job.Key == 0
	if len(job.attempts) > 1 || exceedsQuota {
		d.shedder.observeSaturation()
	}
	d.backOff(worker, job)
}

// observeAnswer learns from an OK answer. Run times at a worker that is warming up are ignored.
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

// sendPending sends a pending job to a worker that has just freed a slot: the job of the highest value
// density if workers report their load, and the oldest one otherwise.
func (d *Dispatcher) sendPending(worker *workerState) {
	var next *jobState
	for _, job := range d.jobs.open {
		if !job.pending || !d.health.accepts(worker, job, d.now) {
			continue
		}
		if !d.forecasts.hasFreeSlot(worker, job, d.now) {
			continue
		}
		if next == nil || d.hasPriorityOver(job, next) {
			next = job
		}
	}
	if next != nil {
		d.send(next, worker)
	}
}

// hasPriorityOver reports whether a pending job goes before an older one.
func (d *Dispatcher) hasPriorityOver(job, older *jobState) bool {
	return d.load.reported && d.forecasts.density(job) > d.forecasts.density(older)
}

// handleClientLeft ends a job whose client has left. If workers report their load, the attempt in flight
// is not cancelled: it keeps running and holding its slot at the worker. Cancelling it would only drop the
// connection and hide that the slot is in use.
func (d *Dispatcher) handleClientLeft(job *jobState) {
	job.pending = false
	job.ended = true
	if !d.load.reported || !job.inFlight() {
		d.finish(job)
	}
}
