// Attempts: the gate for sends, retries, outcomes and overdue answers.

package decision

import "slices"

const suspectAfter, usableWindow = 3, 0.7 // usual answer times until suspect; of a Keyed window is used

const slowFactor, errorAversion = 2, 4 // times its kind's, gets less; times errors, for unsafe jobs

func (j *job) inFlight() bool { return slices.ContainsFunc(j.attempts, (*attempt).inFlight) }

func (t *attempt) inFlight() bool { return !t.done }

func (d *Dispatcher) fit(w *worker, j *job) bool {
	return w.State == Ready && d.now >= w.fullTill &&
		(!w.suspect || d.now >= w.retryAt && d.class(j).Idempotency == Idempotent) &&
		(w.pace <= slowFactor || d.rng.Float64()*w.pace <= 1) && d.allowed(j, w) &&
		(w.fails == 0 || d.class(j).harmless() || d.rng.Float64() > errorAversion*w.fails*d.decay(w.failed, memory))
}

// mayTry tells whether the rules leave j another attempt at all.
func (d *Dispatcher) mayTry(j *job) bool {
	return !j.ended && (d.set.MaxAttempts == 0 || len(j.attempts) < d.set.MaxAttempts) &&
		d.now < j.Deadline && !slices.ContainsFunc(j.attempts, func(t *attempt) bool {
		return !t.done && !d.set.ParallelAttempts || !t.neverRan && d.class(j).Idempotency == NotIdempotent
	})
}

// allowed is the gate for sends: no attempt goes out that it does not let through.
func (d *Dispatcher) allowed(j *job, w *worker) bool {
	return w.State == Ready && d.mayTry(j) && d.class(j).permitted(w) && d.mayRetryAt(j, w) &&
		(d.coldShare(w) >= 1 || d.warm(w, j))
}

// bound tells whether only some workers are open to the class.
func (c *ClassSettings) bound() bool {
	return c.WorkerKind >= 0 || len(c.AllowedKinds) > 0 || len(c.AllowedZones) > 0
}

// harmless tells whether a job of the class may be tried again anywhere, whatever became of its attempts.
func (c *ClassSettings) harmless() bool {
	return c.Idempotency == Idempotent || c.Idempotency == Deduplicated && c.DedupScope == DedupByAll
}

// permitted keeps placement: a bound class goes to no other worker, and to none of unknown kind or zone.
func (c *ClassSettings) permitted(w *worker) bool {
	return !c.bound() || !w.misplaced && (c.WorkerKind < 0 || c.WorkerKind == w.Kind) &&
		(len(c.AllowedKinds) == 0 || slices.Contains(c.AllowedKinds, w.Kind)) &&
		(len(c.AllowedZones) == 0 || slices.Contains(c.AllowedZones, w.Zone))
}

// mayRetryAt tells whether the attempts so far leave this worker to j.
func (d *Dispatcher) mayRetryAt(j *job, w *worker) bool {
	c := d.class(j)
	return !slices.ContainsFunc(j.attempts, func(t *attempt) bool {
		return t.w == w || // it has had its chance, or still has it
			!t.neverRan && c.Idempotency == Deduplicated &&
				(float64(d.now-t.sent) > usableWindow*float64(c.DedupWindow) ||
					c.DedupScope == DedupByZone && t.w.Zone != w.Zone || c.DedupScope == DedupByCell && t.w.Cell != w.Cell)
	})
}

func (d *Dispatcher) send(j *job, w *worker) {
	if j == nil || !d.allowed(j, w) {
		return
	}
	w.hasTurn, w.retryAt = false, d.now+suspectRetry
	t := &attempt{w: w, sent: d.now, way: d.wayTo(w), lateAfter: 1.5**d.wayTo(w) + 2*d.tick.Seconds()}
	j.attempts = append(j.attempts, t)
	d.hold(w, j.Slots)
	w.shut, j.held = false, false
	d.acts = append(d.acts, Action{Kind: Send, Job: j.Job, Worker: w.Worker})
}

// finish forgets a job but for its open attempts, which are cancelled.
func (d *Dispatcher) finish(j *job) {
	if !j.inFlight() {
		delete(d.jobs, j.Job)
	}
	d.cancelOpen(j, false)
	j.held, j.ended = false, true
}

// cancelOpen cancels the open attempts, or only those that wait at their worker.
func (d *Dispatcher) cancelOpen(j *job, waiting bool) {
	for i, t := range j.attempts {
		if d.set.Cancel && !t.done && !t.cancelled && !(waiting && t.started > 0) {
			t.cancelled = true
			d.acts = append(d.acts, Action{Kind: Cancel, Job: j.Job, Attempt: i})
		}
	}
}

func (d *Dispatcher) outcome(ev *Event, j *job, t *attempt) {
	o := ev.Outcome // some prove that it never ran
	t.done, t.neverRan = true, o == Rejected && !d.set.RejectionUnproven || o == ConnectFailed || o == NeverSent
	d.hold(t.w, -j.Slots)
	d.learnReport(t.w, &ev.Load)
	t.w.running -= float64(min(t.started, 1)) // if it had begun
	if t.w.shut = false; o != OK {
		t.w.broke = d.now
	}
	d.shut(t.w)
	d.applyOutcome(j, t, o)
	if j.ended || ev.JobEnded || o == OK {
		d.finish(j)
	} else if !j.inFlight() && d.mayTry(j) && !j.excess && !t.cancelled {
		d.try(j)
	} else if !j.inFlight() {
		d.reject(j)
	}
}

func (d *Dispatcher) applyOutcome(j *job, t *attempt, o Outcome) {
	switch w := t.w; o {
	case OK:
		ran := min(max((d.now-max(t.started, t.sent)).Seconds(), minRun), maxRun)
		d.answerTime[j.Class] += sampleWeight * ((d.now - t.sent).Seconds() - d.answerTime[j.Class])
		if d.coldShare(w) >= 1 {
			x := min(ran/max(d.run[j.Class]*d.slow[w.Kind], minRun), 10)
			d.served[w.Kind], d.tried[w.Kind] = d.served[w.Kind]+j.Slots*ran, d.tried[w.Kind]+1
			measure := slices.IndexFunc(d.tried, func(n float64) bool { return n > 0 }) // the first kind at work
			if first := max(sampleWeight/4, 1/(d.tried[w.Kind]+4)); w.Kind != measure { // at first most is guessed
				d.slow[w.Kind] = min(max(d.slow[w.Kind]*(1+first*(x-1)), 1./maxSlowness), maxSlowness)
				d.unit = slices.Sorted(slices.Values(d.slow))[len(d.slow)/2] // a job's own time is the middle kind's
			}
			d.meanRun += sampleWeight * (ran/d.slow[w.Kind] - d.meanRun)
			d.run[j.Class] += sampleWeight * (ran/d.slow[w.Kind] - d.run[j.Class])
			w.pace += 2 * sampleWeight * (x - w.pace)
		}
		w.lastHeard, w.lastOK, w.suspect, w.pause, w.fails = d.now, d.now, false, 0, w.fails*(1-errorWeight)
		d.spare = min(d.spare+excessRecovery, 1)
		d.answerRate[j.Tenant]++
		d.sendHeld(w)
	case Rejected:
		w.lastHeard = d.now
		d.busy(j, w, len(j.attempts) > 1 || j.excess && j.Key == 0) // a key's full worker says little of the pool
	case Error:
		w.fails, w.failed = min(w.fails+errorWeight, 1), d.now
	case ConnectFailed:
		w.suspect, w.retryAt = true, d.now+suspectRetry
	}
}

// sendHeld gives a slot just freed to a held job that may go there: worth most for its time, or the oldest.
func (d *Dispatcher) sendHeld(w *worker) {
	var next *job
	for _, j := range d.open {
		if j.held && d.fit(w, j) && d.wait(w, j.Slots) == 0 &&
			(next == nil || d.sees && d.density(j) > d.density(next)) {
			next = j
		}
	}
	d.send(next, w)
}

// checkOpenJobs comes round every tick while jobs are open: held jobs, silent workers, overdue attempts.
func (d *Dispatcher) checkOpenJobs() {
	if d.now-d.looked > 4*d.tick { // it stood still itself: nobody else was silent
		d.awake = d.now
	}
	d.looked, d.open = d.now, slices.DeleteFunc(d.open, func(j *job) bool { return d.jobs[j.Job] != j })
	for _, j := range d.open {
		for _, t := range j.attempts {
			usual := max(seconds(suspectAfter*d.answerTime[j.Class]), 2*d.tick, d.set.ProgressInterval)
			if t.done {
				continue
			}
			slack := max(d.class(j).Stretch-1, 0)*d.run[j.Class] - d.wait(t.w, j.Slots)
			if d.set.ReportsStart &&
				d.class(j).LateValue == 0 && d.now > j.dueAt+seconds(max(slack, 0)) {
				d.cancelOpen(j, true) // it is worth nothing any more, or less than its place in the queue
			} else if d.now-max(t.sent, t.w.lastHeard, d.awake) > usual && !t.w.suspect {
				t.w.suspect, t.w.retryAt = true, d.now+suspectRetry
			}
			if age := (d.now - t.sent).Seconds(); d.wide && t.started == 0 && age > max(t.lateAfter, 2*t.lateSeen) {
				d.learnLate(t.w, age-t.lateAfter)
				t.lateSeen = age // it waits: no need for its start to know
			}
		}
		if j.held {
			d.try(j)
		}
	}
	if len(d.open) > 0 {
		d.acts = append(d.acts, Action{Kind: SetTimer, Token: lookToken, Delay: d.tick})
	}
}
