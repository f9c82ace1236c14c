// Admission: which jobs are let in, held or turned away.

package ivyfold

import (
	"math"
	"slices"
)

const overShare, sigmas, backUp = 1.3, 3.5, 0.1 // of a fair part; off hard bounds; shed for a late start

const strain, relief, leastSpare = 0.8, 0.005, 0.02 // of spare: left for want of room; an answer adds; least

func (d *Dispatcher) arrive(ev *Event) {
	j := &job{Event: ev.clean(&d.set)}
	c := d.class(j)
	d.jobs[ev.Job], j.aim = j, d.now+c.Aim
	hold := (c.Aim + seconds(max(c.Stretch-1, 0)*d.run[j.Class])) >> (1 + count(d.sees)) // others take some
	j.holdTo = min(d.now+hold, j.Deadline-2*d.tick)
	if j.excess = d.over(j); j.excess && d.rng.Float64() > d.spare || d.rng.Float64() > max(d.let, leastSpare) {
		d.end(j)
		return
	}
	d.try(j)
	if d.open = append(d.open, j); len(d.open) == 1 { // else the next look is set
		d.looked = d.now
		d.acts = append(d.acts, Action{Kind: SetTimer, Token: tickToken, Delay: d.tick})
	}
}

// over tells whether a job is beyond its tenant's share; what the middle tenant is served stands for all.
func (d *Dispatcher) over(j *job) bool {
	var part []float64
	fade := d.fade(d.arrived, memory.Seconds())
	for i, t := range d.set.Tenants {
		d.rate[i] *= fade
		if d.good[i] *= fade; t.PerSec > 0 {
			part = append(part, d.good[i]/t.PerSec)
		}
	}
	for kind := range d.served {
		d.served[kind] *= fade
	}
	d.arrived, d.rate[j.Tenant] = d.now, d.rate[j.Tenant]+1
	if slices.Sort(part); len(part) < 3 || part[len(part)/2] == 0 {
		return false
	}
	rate, due := d.rate[j.Tenant], overShare*part[len(part)/2]*d.set.Tenants[j.Tenant].PerSec
	return rate > due+sigmas*math.Sqrt(due+1) && d.rng.Float64()*rate > due
}

func (d *Dispatcher) try(j *job) {
	switch w, ready := d.pick(j); {
	case w != nil:
		d.send(j, w)
	case j.inFlight():
	case ready && !j.excess && !d.wide && d.now < j.holdTo && d.mayTry(j):
		d.spare, j.held = max(d.spare*math.Pow(strain, float64(count(!j.held))), leastSpare), true
	default: // nobody can take it (in time): say so at once
		d.end(j)
	}
}

// end is the gate for final answers: a refusal only where a further try is harmless, else a failure.
func (d *Dispatcher) end(j *job) {
	kind, c, back := Refuse, d.class(j), d.tick.Seconds()*(0.5+d.rng.Float64())/max(d.let, leastSpare)
	if !c.harmless() && slices.ContainsFunc(j.tries, func(t *attempt) bool { return !t.never }) {
		kind, back = Fail, 0
	}
	for k := range d.usual { // less is learned now: in doubt less is held, or refusals keep themselves up
		d.usual[k] *= 1 - smooth
	}
	// To come back in a look or so, later the less is let in, at random lest all do together.
	d.acts = append(d.acts, Action{Kind: kind, Job: j.Job, RetryAfter: min(seconds(back), d.set.MaxRetryAfter)})
	d.finish(j)
}
