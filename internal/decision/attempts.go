package decision

// An attempt that has not started counts as waiting for a slot at its worker once its age exceeds
// startDelayFactor times the usual start delay plus startDelayTicks ticks.
const (
	startDelayFactor = 1.5
	startDelayTicks  = 2
)

// send starts an attempt of a job at a worker if the send gate allows it.
func (d *Dispatcher) send(job *jobState, worker *workerState) {
	if !d.gate.allows(worker, job, d.now) {
		return
	}
	delay := d.delays.estimate(worker, d.now)
	attempt := &attemptState{
		worker:               worker,
		sentAt:               d.now,
		startDelay:           delay,
		expectedStartSeconds: startDelayFactor**delay + startDelayTicks*d.tick.Seconds(),
	}
	job.attempts = append(job.attempts, attempt)
	job.pending = false
	worker.hasPermit = false
	worker.retryAt = d.now + unhealthyRetryInterval
	worker.idleClosed = false
	worker.reserve(job.Slots, d.now)
	d.actions = append(d.actions, Action{Kind: Send, Job: job.Job, Worker: worker.Worker})
}

// finish ends a job and cancels its attempts in flight. The job table drops the job once no attempt is in
// flight.
func (d *Dispatcher) finish(job *jobState) {
	if !job.inFlight() {
		delete(d.jobs.byID, job.Job)
	}
	for number, attempt := range job.attempts {
		d.cancel(job, number, attempt)
	}
	job.pending = false
	job.ended = true
}

// cancelWaiting cancels the attempts of a job that have not started.
func (d *Dispatcher) cancelWaiting(job *jobState) {
	for number, attempt := range job.attempts {
		if attempt.startedAt <= 0 {
			d.cancel(job, number, attempt)
		}
	}
}

// cancel cancels an attempt if it is in flight, at most once and only if the settings allow it.
func (d *Dispatcher) cancel(job *jobState, number int, attempt *attemptState) {
	inFlight := !attempt.done && !attempt.cancelled
	if !d.settings.Cancel || !inFlight {
		return
	}
	attempt.cancelled = true
	d.actions = append(d.actions, Action{Kind: Cancel, Job: job.Job, Attempt: number})
}
