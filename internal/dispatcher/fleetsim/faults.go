package fleetsim

import (
	"math"
	"math/rand/v2"

	"gladepick/internal/decision"
)

// minOnSeconds keeps the periods of shared machines from lasting no time at all.
const minOnSeconds = 0.01

// scheduleFaults schedules the day's faults, each with the workers that it hits.
func (d *simulation) scheduleFaults(random *rand.Rand) {
	for _, fault := range d.Faults {
		hit := d.drawHit(fault, random)
		end := fault.StartSeconds + fault.DurationSeconds
		switch fault.Type {
		case faultZoneLost:
			d.scheduleEach(fault.StartSeconds, hit, func(w *worker) { w.stop(true) })
			d.scheduleEach(end, hit, (*worker).restart)
		case faultDeaths:
			d.scheduleEach(fault.StartSeconds, hit, func(w *worker) { w.stop(false) })
			d.scheduleEach(end, hit, (*worker).restart)
		case faultDrain:
			d.scheduleEach(fault.StartSeconds, hit, d.drain)
			d.scheduleEach(end, hit, endDrain)
		case faultShared:
			d.scheduleShared(fault, hit)
		case faultReportsLate:
			d.schedule(sec(fault.StartSeconds), func() { d.extraReportDelay += sec(fault.Amount) })
			d.schedule(sec(end), func() { d.extraReportDelay -= sec(fault.Amount) })
		}
	}
}

// drawHit draws the workers that a fault hits. A lost zone hits all workers that the fault selects.
func (d *simulation) drawHit(fault Fault, random *rand.Rand) []*worker {
	var hit []*worker
	for _, w := range d.workers {
		inZone := fault.Zone == "" || w.zone == d.zoneIndex[fault.Zone]
		ofKind := fault.Kind == "" || w.kindIndex == d.kindIndex[fault.Kind]
		if inZone && ofKind {
			hit = append(hit, w)
		}
	}
	random.Shuffle(len(hit), func(i, k int) { hit[i], hit[k] = hit[k], hit[i] })
	if fault.Type != faultZoneLost {
		hit = hit[:int(math.Round(fault.Fraction*float64(len(hit))))]
	}
	return hit
}

// scheduleEach schedules one event in which do is done to each worker.
func (d *simulation) scheduleEach(atSeconds float64, workers []*worker, do func(*worker)) {
	d.schedule(sec(atSeconds), func() {
		for _, w := range workers {
			do(w)
		}
	})
}

// drain marks a running worker as draining, and lets each dispatcher learn of it.
func (d *simulation) drain(w *worker) {
	w.draining = w.up
	if !w.draining {
		return
	}
	for _, n := range d.dispatchers {
		n.learnState(w, decision.Draining, d.DiscoveryDelaySeconds.Draw(d.networkRandom))
	}
}

// endDrain replaces a draining worker's process by a new one.
func endDrain(w *worker) {
	if w.draining {
		w.stop(false)
		w.restart()
	}
}

// scheduleShared lets other programs use a part of the machines, on and off.
func (d *simulation) scheduleShared(fault Fault, hit []*worker) {
	setShare := func(share float64) func(*worker) {
		return func(w *worker) {
			w.advance()
			w.externalShare = share
			w.planNextCompletion()
		}
	}
	on := max(fault.OnSeconds, minOnSeconds)
	end := fault.StartSeconds + fault.DurationSeconds
	for at := fault.StartSeconds; at < end; at += on + fault.OffSeconds {
		d.scheduleEach(at, hit, setShare(fault.Amount))
		d.scheduleEach(min(at+on, end), hit, setShare(0))
	}
}
