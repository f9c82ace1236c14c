package fleetsim

import (
	"math"
	"math/rand/v2"

	"gladepick/internal/decision"
)

// minOnSeconds is the least length of a period of a shared machine, so that scheduleShared always advances.
const minOnSeconds = 0.01

// scheduleFaults schedules the day's faults, and draws the workers that each one affects.
func (sim *simulation) scheduleFaults(random *rand.Rand) {
	for _, fault := range sim.Faults {
		affected := sim.drawAffected(fault, random)
		end := fault.StartSeconds + fault.DurationSeconds
		switch fault.Type {
		case faultZoneLost:
			sim.scheduleEach(fault.StartSeconds, affected, func(w *worker) { w.stop(true) })
			sim.scheduleEach(end, affected, (*worker).restart)
		case faultDeaths:
			sim.scheduleEach(fault.StartSeconds, affected, func(w *worker) { w.stop(false) })
			sim.scheduleEach(end, affected, (*worker).restart)
		case faultDrain:
			sim.scheduleEach(fault.StartSeconds, affected, sim.drain)
			sim.scheduleEach(end, affected, endDrain)
		case faultShared:
			sim.scheduleShared(fault, affected)
		case faultReportsLate:
			sim.schedule(sec(fault.StartSeconds), func() { sim.extraReportDelay += sec(fault.Amount) })
			sim.schedule(sec(end), func() { sim.extraReportDelay -= sec(fault.Amount) })
		}
	}
}

// drawAffected draws the workers that a fault affects: a random fraction of those in its zone and of its kind. A lost
// zone affects all of them.
func (sim *simulation) drawAffected(fault Fault, random *rand.Rand) []*worker {
	var affected []*worker
	for _, w := range sim.workers {
		inZone := fault.Zone == "" || w.zone == sim.zoneIndex[fault.Zone]
		ofKind := fault.Kind == "" || w.kindIndex == sim.kindIndex[fault.Kind]
		if inZone && ofKind {
			affected = append(affected, w)
		}
	}
	random.Shuffle(len(affected), func(i, k int) { affected[i], affected[k] = affected[k], affected[i] })
	if fault.Type != faultZoneLost {
		affected = affected[:int(math.Round(fault.Fraction*float64(len(affected))))]
	}
	return affected
}

// scheduleEach schedules one event that calls do with each worker.
func (sim *simulation) scheduleEach(atSeconds float64, workers []*worker, do func(*worker)) {
	sim.schedule(sec(atSeconds), func() {
		for _, w := range workers {
			do(w)
		}
	})
}

// drain marks a running worker as draining, and schedules the discovery update at each dispatcher.
func (sim *simulation) drain(w *worker) {
	w.draining = w.up
	if !w.draining {
		return
	}
	for _, d := range sim.dispatchers {
		d.learnState(w, decision.Draining, sim.DiscoveryDelaySeconds.Draw(sim.networkRandom))
	}
}

// endDrain replaces a draining worker's process with a new one.
func endDrain(w *worker) {
	if w.draining {
		w.stop(false)
		w.restart()
	}
}

// scheduleShared schedules the periods in which other programs use a part of the machines.
func (sim *simulation) scheduleShared(fault Fault, affected []*worker) {
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
		sim.scheduleEach(at, affected, setShare(fault.Amount))
		sim.scheduleEach(min(at+on, end), affected, setShare(0))
	}
}
