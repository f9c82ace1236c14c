// Forecasts: how long a job would take at a worker, and whether it is worth that.

package decision

import "math"

const slotMargin, lossAccepted, delayPrice = 0.2, 0.2, 0.1 // slots lacking; worth lost waiting; per second

const maxWaitOfAim, maxDensity = 0.25, 8 // of the aim a job may wait, if worth least; times as long, at most

// wait is for how long a job would lie at a worker: 0 where a slot is free, or nothing tells.
func (d *Dispatcher) wait(w *worker, slots float64) float64 {
	lack := max(w.out+d.others(w)+slots-d.slots(w.Kind)-slotMargin, 0) * float64(count(d.sees))
	return lack / d.slots(w.Kind) * d.meanRun * d.slow[w.Kind] * w.pace / d.coldShare(w)
}

// longestWait is for how many seconds a job may wait at a worker, by its value.
func (d *Dispatcher) longestWait(j *job) float64 {
	return maxWaitOfAim * d.class(j).LatencyTarget.Seconds() * d.density(j)
}

// slots is how many a worker has: one surely; a kind that is full from the start may never show more.
func (d *Dispatcher) slots(kind int) float64 { return max(d.slotCount[kind], 1) }

// linked tells whether an idle connection to a worker is surely there.
func (d *Dispatcher) linked(w *worker) bool { return w.out == 0 && d.now-w.lastOK < d.set.ConnIdle }

// forecast is the time to an answer; where many share workers, the chance to be late, and by waiting alone.
func (d *Dispatcher) forecast(w *worker, j *job) [2]float64 {
	c, room, slow := d.class(j), max(d.slotCount[w.Kind]*d.coldShare(w), 1), d.slow[w.Kind]*w.pace
	if !d.wide {
		return [2]float64{d.wait(w, j.Slots) + d.run[j.Class]*slow}
	}
	use := (w.out + d.others(w)) / room
	use /= math.Pow(1+use*use*use*use, 0.25) // what is at work, of what is held
	gain, way, served := (c.Stretch*d.unit-slow)*d.run[j.Class], *d.wayTo(w), room*(1-use)/(d.meanRun*slow)
	left := c.LatencyTarget.Seconds() - way // a job's own running time is as good as exponential
	late := math.Exp(-max(left+max(gain, 0), 0) / max(-gain, minRun))
	waits := math.Pow(use, math.Sqrt(2*room+2)-1) / (1 + max(gain, 0)*served)
	waits *= math.Exp(-max(left+min(gain, 0), 0) * served)
	crossing := d.set.CrossZoneCost * float64(count(!d.near(w)))
	return [2]float64{late + (1-late)*waits + delayPrice*way + crossing, waits}
}

// acceptableRisk is the chance of being late by waiting at which a job is refused, by what it may still earn.
func (d *Dispatcher) acceptableRisk(w *worker, j *job) float64 {
	c, left := d.class(j), (j.Deadline - d.now).Seconds()
	v := d.density(j) * (1 - math.Exp(-max(left-*d.wayTo(w), 0)/(d.run[j.Class]*d.slow[w.Kind])))
	if j.Retry && c.Deadline > 0 && left+c.LatencyTarget.Seconds() < c.Deadline.Seconds() {
		v *= c.LateValue // its first try came too long ago
	}
	tooLate := min(lossAccepted/max(1-c.LateValue, lossAccepted), 1)
	return max(1-(1-tooLate)/v, tooLate*min(v, 1))
}

// wayTo is how long a job takes to a worker that has room.
func (d *Dispatcher) wayTo(w *worker) *float64 { return &d.delay[count(d.near(w))][count(d.linked(w))] }

// density is how much more a job is worth for its running time than those of the least such class.
func (d *Dispatcher) density(j *job) float64 {
	least, fixed := math.Inf(1), float64(count(!d.set.ValueByWork)) // else it is as dense in a long job
	for i, c := range d.set.Classes {
		least = min(least, c.Value/math.Pow(d.run[i], fixed))
	}
	return max(min(d.class(j).Value/math.Pow(d.run[j.Class], fixed)/least, maxDensity), 1)
}

// others is how many slots others hold at a worker; the longer nothing was learned there, what its kind says.
func (d *Dispatcher) others(w *worker) float64 {
	usual := d.usual[d.place(w)] * d.coldShare(w)
	return usual + (w.others-usual)*d.decay(w.othersAt, forgetAfter)
}
