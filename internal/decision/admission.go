// Admission: which jobs are let in, held or turned away.

package decision

import (
	"math"
	"slices"
)

const excessFactor, sigmas, lateStartShed = 1.3, 3.5, 0.1 // of a fair part; off bounds; part let in less

const excessBackoff, excessRecovery, leastSpare = 0.8, 0.005, 0.02 // times; plus an answer; least let in

func (d *Dispatcher) admit(ev *Event) {
	j := &job{Event: ev.normalized(&d.set)}
	c := d.class(j)
	d.jobs[ev.Job], j.dueAt = j, d.now+c.LatencyTarget
	target := c.LatencyTarget + seconds(max(c.Stretch-1, 0)*d.run[j.Class])
	hold := target >> (1 + count(d.sees)) // others take some
	j.heldUntil = min(d.now+hold, j.Deadline-2*d.tick)
	if j.excess = d.over(j); j.excess && d.rng.Float64() > d.spare || d.rng.Float64() > max(d.let, leastSpare) {
		d.reject(j)
		return
	}
	d.try(j)
	if d.open = append(d.open, j); len(d.open) == 1 { // else the next look is set
		d.looked = d.now
		d.acts = append(d.acts, Action{Kind: SetTimer, Token: lookToken, Delay: d.tick})
	}
}

// over tells whether a job is beyond its tenant's share; what the middle tenant is served stands for all.
func (d *Dispatcher) over(j *job) bool {
	var part []float64
	fade := d.decay(d.lastArrival, memory)
	for i, t := range d.set.Tenants {
		d.arrivalRate[i] *= fade
		if d.answerRate[i] *= fade; t.RatePerSecond > 0 {
			part = append(part, d.answerRate[i]/t.RatePerSecond)
		}
	}
	for kind := range d.served {
		d.served[kind] *= fade
	}
	d.lastArrival, d.arrivalRate[j.Tenant] = d.now, d.arrivalRate[j.Tenant]+1
	if slices.Sort(part); len(part) < 3 || part[len(part)/2] == 0 {
		return false
	}
	rate, due := d.arrivalRate[j.Tenant], excessFactor*part[len(part)/2]*d.set.Tenants[j.Tenant].RatePerSecond
	return rate > due+sigmas*math.Sqrt(due+1) && d.rng.Float64()*rate > due
}

func (d *Dispatcher) try(j *job) {
	switch w, ready := d.pick(j); {
	case w != nil:
		d.send(j, w)
	case j.inFlight():
	case ready && !j.excess && !d.wide && d.now < j.heldUntil && d.mayTry(j):
		d.spare, j.held = max(d.spare*math.Pow(excessBackoff, float64(count(!j.held))), leastSpare), true
	default: // nobody can take it (in time): say so at once
		d.reject(j)
	}
}

// reject is the gate for final answers: a refusal only where a further try is harmless, else a failure.
func (d *Dispatcher) reject(j *job) {
	kind, c, back := Reject, d.class(j), d.tick.Seconds()*(0.5+d.rng.Float64())/max(d.let, leastSpare)
	if !c.harmless() && slices.ContainsFunc(j.attempts, func(t *attempt) bool { return !t.neverRan }) {
		kind, back = Fail, 0
	}
	for k := range d.usual { // less is learned now: in doubt less is held, or refusals keep themselves up
		d.usual[k] *= 1 - sampleWeight
	}
	// To come back in a look or so, later the less is let in, at random lest all do together.
	d.acts = append(d.acts, Action{Kind: kind, Job: j.Job, RetryAfter: min(seconds(back), d.set.MaxRetryAfter)})
	d.finish(j)
}
