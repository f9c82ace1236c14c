package decision

import (
	"math"
	"time"
)

// slotMargin is how many slots may be missing at a worker that still counts as having one free: estimates
// are not whole numbers.
const slotMargin = 0.2

// acceptedLoss is the part of a job's value that the risk of a late answer may cost before it is rejected.
const acceptedLoss = 0.2

// delayPrice is what a second of start delay costs in the comparison of workers, as a part of a job's value:
// of workers that are in time alike the nearer one is taken.
const delayPrice = 0.1

// maxWaitShare is the part of its latency target that a job of the least value for its time may wait
// at a worker.
const maxWaitShare = 0.25

// maxDensity is the most that a job may count as denser in value than those of the least dense class.
const maxDensity = 8

// forecaster tells how long a job would take at a worker, how likely it is late there, and what
// that may cost.
type forecaster struct {
	settings  *Settings
	locality  locality
	slowStart slowStart
	times     *learnedTimes
	load      *loadEstimator
	delays    *startDelays
	shared    bool // many dispatchers share the workers: picks go by the risk of a late answer
}

// forecast is what a job has to expect at a worker.
type forecast struct {
	// cost is what picks compare: seconds to an answer, or, where many dispatchers share workers, the chance
	// of a late answer and the prices of the way.
	cost float64
	// waitRisk is the chance of a late answer by waiting alone; only where many dispatchers share workers.
	waitRisk float64
}

// waitSeconds is how long a job would wait for its slots at a worker: 0 where they are free,
// or nothing tells.
func (f *forecaster) waitSeconds(worker *workerState, slots float64, now time.Duration) float64 {
	total := f.load.slots(worker.Kind)
	missing := max(worker.ownSlots+f.load.peerSlots(worker, now)+slots-total-slotMargin, 0)
	missing *= float64(count(f.load.reported))
	runs := missing / total
	return runs * f.times.meanRunSeconds * f.times.slowness[worker.Kind] * worker.slowness /
		f.slowStart.share(worker, now)
}

// hasFreeSlot tells whether a job would start at once at a worker, or nothing tells otherwise.
func (f *forecaster) hasFreeSlot(worker *workerState, job *jobState, now time.Duration) bool {
	return f.waitSeconds(worker, job.Slots, now) == 0
}

// maxWaitSeconds is how long a job may wait at a worker, by its value.
func (f *forecaster) maxWaitSeconds(job *jobState) float64 {
	return maxWaitShare * f.settings.Classes[job.Class].LatencyTarget.Seconds() * f.density(job)
}

// cost is the cost of a job at a worker, as forecast describes it.
func (f *forecaster) cost(worker *workerState, job *jobState, now time.Duration) float64 {
	return f.at(worker, job, now).cost
}

// at is the forecast for a job at a worker.
func (f *forecaster) at(worker *workerState, job *jobState, now time.Duration) forecast {
	slowness := f.times.slowness[worker.Kind] * worker.slowness
	if !f.shared {
		run := f.times.runSeconds[job.Class] * slowness
		return forecast{cost: f.waitSeconds(worker, job.Slots, now) + run}
	}
	return f.risk(worker, job, slowness, now)
}

// risk takes a worker as a queue with as many servers as slots. A job is late by its own running time, which
// counts as exponentially distributed, or by waiting; the class's latency target leaves it what the way
// there does not take.
func (f *forecaster) risk(worker *workerState, job *jobState, slowness float64, now time.Duration) forecast {
	class := &f.settings.Classes[job.Class]
	servers := max(f.load.slotsSeen[worker.Kind]*f.slowStart.share(worker, now), minSlots)
	utilization := busyShare((worker.ownSlots + f.load.peerSlots(worker, now)) / servers)
	delay := *f.delays.estimate(worker, now)
	slack := class.LatencyTarget.Seconds() - delay
	// What the target grows by with the job's running time, less that time itself.
	gain := (class.Stretch*f.times.middleSlowness - slowness) * f.times.runSeconds[job.Class]
	freedPerSecond := servers * (1 - utilization) / (f.times.meanRunSeconds * slowness)

	runRisk := math.Exp(-max(slack+max(gain, 0), 0) / max(-gain, minRunSeconds))
	waitRisk := waitChance(utilization, servers) / (1 + max(gain, 0)*freedPerSecond)
	waitRisk *= math.Exp(-max(slack+min(gain, 0), 0) * freedPerSecond)
	lateRisk := runRisk + (1-runRisk)*waitRisk
	crossingCost := f.settings.CrossZoneCost * float64(count(!f.locality.isLocal(worker)))
	return forecast{cost: lateRisk + delayPrice*delay + crossingCost, waitRisk: waitRisk}
}

// waitChance is the chance that a job has to wait in a queue with so many servers (Sakasegawa's
// approximation for M/M/c).
func waitChance(utilization, servers float64) float64 {
	return math.Pow(utilization, math.Sqrt(2*servers+2)-1)
}

// busyShare is the part of a worker's slots that is at work, where the given multiple of them is promised:
// nearly all of a small multiple, and below 1 for any.
func busyShare(promised float64) float64 {
	return promised / math.Pow(1+promised*promised*promised*promised, 0.25)
}

// maxWaitRisk is the chance of a late answer by waiting above which a job is rejected, by what it
// may still earn.
func (f *forecaster) maxWaitRisk(worker *workerState, job *jobState, now time.Duration) float64 {
	class := &f.settings.Classes[job.Class]
	leftSeconds := (job.Deadline - now).Seconds()
	delay := *f.delays.estimate(worker, now)
	runSeconds := f.times.runSeconds[job.Class] * f.times.slowness[worker.Kind]
	doneInTime := 1 - math.Exp(-max(leftSeconds-delay, 0)/runSeconds)
	value := f.density(job) * doneInTime
	if firstTryIsLate(job, class, leftSeconds) {
		value *= class.LateValue
	}
	// Of the least value this risk costs acceptedLoss; a denser job bears more, one that earns little less.
	leastValueRisk := min(acceptedLoss/max(1-class.LateValue, acceptedLoss), 1)
	return max(1-(1-leastValueRisk)/value, leastValueRisk*min(value, 1))
}

// firstTryIsLate tells whether a client's first try for a repeated job is longer ago than its latency
// target: the class's deadline counts from that try.
func firstTryIsLate(job *jobState, class *ClassSettings, leftSeconds float64) bool {
	if !job.Retry || class.Deadline <= 0 {
		return false
	}
	return leftSeconds+class.LatencyTarget.Seconds() < class.Deadline.Seconds()
}

// density is how much more a job is worth for its running time than those of the least dense class.
func (f *forecaster) density(job *jobState) float64 {
	least := math.Inf(1)
	for class := range f.settings.Classes {
		least = min(least, f.times.valueDensity(class, f.settings))
	}
	return max(min(f.times.valueDensity(job.Class, f.settings)/least, maxDensity), 1)
}
