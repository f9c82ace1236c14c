package decision

// A job that has not started after so much of the delay that is usual, and so many ticks, waits at its
// worker for a slot.
const (
	usualDelayFactor = 1.5
	usualDelayTicks  = 2
)

// send sends a job to a worker, if the gate lets it through.
func (d *Dispatcher) send(job *jobState, worker *workerState) {
	if !d.gate.allows(worker, job, d.now) {
		return
	}
	delay := d.delays.estimate(worker, d.now)
	attempt := &attemptState{
		worker:           worker,
		sentAt:           d.now,
		startDelay:       delay,
		waitAfterSeconds: usualDelayFactor**delay + usualDelayTicks*d.tick.Seconds(),
	}
	job.attempts = append(job.attempts, attempt)
	job.pending = false
	worker.hasTurn = false
	worker.retryAt = d.now + unhealthyRetryInterval
	worker.idleClosed = false
	worker.reserve(job.Slots, d.now)
	d.actions = append(d.actions, Action{Kind: Send, Job: job.Job, Worker: worker.Worker})
}

// finish ends a job and cancels its open attempts. It is forgotten once none is out.
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

// cancelWaiting cancels the attempts that wait at their worker.
func (d *Dispatcher) cancelWaiting(job *jobState) {
	for number, attempt := range job.attempts {
		if attempt.startedAt <= 0 {
			d.cancel(job, number, attempt)
		}
	}
}

// cancel cancels an attempt that is out, once.
func (d *Dispatcher) cancel(job *jobState, number int, attempt *attemptState) {
	isOut := !attempt.done && !attempt.cancelled
	if !d.settings.Cancel || !isOut {
		return
	}
	attempt.cancelled = true
	d.actions = append(d.actions, Action{Kind: Cancel, Job: job.Job, Attempt: number})
}
