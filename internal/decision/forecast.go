package decision

import (
	"math"
	"time"
)

// slotMargin is the number of slots that a worker may lack and still counts as having a free slot. Estimates
// are not whole numbers.
const slotMargin = 0.2

// acceptedLoss is the part of a job's value that the risk of a late answer may cost before the job is
// rejected.
const acceptedLoss = 0.2

// startDelayCost is the cost of each second of start delay in the comparison of workers, as a part of a job's
// value. Of two workers that are equally likely in time, the nearer one is taken.
const startDelayCost = 0.1

// maxWaitShare is the part of its latency target that a job of the lowest value density may wait at a worker.
const maxWaitShare = 0.25

// maxDensity is the upper bound of the ratio of the value density of a job to that of the least dense class.
const maxDensity = 8

// forecaster estimates how long a job takes at a worker and how likely it is late there, and computes the
// limits on both by the value of the job.
type forecaster struct {
	settings    *Settings
	locality    locality
	slowStart   slowStart
	times       *learnedTimes
	load        *loadEstimator
	delays      *startDelays
	sharedFleet bool // workers are compared by the risk of a late answer
}

// forecast is the expected result of sending a job to a worker.
type forecast struct {
	// cost is the value by which workers are compared: the seconds to an answer, or, if many dispatchers
	// share the workers, the probability of a late answer plus the costs of the start delay and of crossing
	// zones.
	cost float64
	// waitRisk is the probability of a late answer because of waiting alone. It is set only where many
	// dispatchers share the workers.
	waitRisk float64
}

// waitSeconds returns how long a job would wait for its slots at a worker: 0 if they are free or the load is
// not reported.
func (f *forecaster) waitSeconds(worker *workerState, slots float64, now time.Duration) float64 {
	total := f.load.slots(worker.Kind)
	missingSlots := max(worker.ownSlots+f.load.peerSlots(worker, now)+slots-total-slotMargin, 0)
	missingSlots *= float64(boolToInt(f.load.reported))
	runs := missingSlots / total
	return runs * f.times.meanRunSeconds * f.times.slowness[worker.Kind] * worker.slowness /
		f.slowStart.share(worker, now)
}

// hasFreeSlot reports whether a job would start at once at a worker, as far as is known.
func (f *forecaster) hasFreeSlot(worker *workerState, job *jobState, now time.Duration) bool {
	return f.waitSeconds(worker, job.Slots, now) == 0
}

// maxWaitSeconds returns how long a job may wait at a worker, given its value density.
func (f *forecaster) maxWaitSeconds(job *jobState) float64 {
	return maxWaitShare * f.settings.Classes[job.Class].LatencyTarget.Seconds() * f.density(job)
}

// cost returns the cost of a job at a worker, as defined by forecast.
func (f *forecaster) cost(worker *workerState, job *jobState, now time.Duration) float64 {
	return f.forecastAt(worker, job, now).cost
}

// forecastAt returns the forecast for a job at a worker.
func (f *forecaster) forecastAt(worker *workerState, job *jobState, now time.Duration) forecast {
	slowness := f.times.slowness[worker.Kind] * worker.slowness
	if !f.sharedFleet {
		run := f.times.runSeconds[job.Class] * slowness
		return forecast{cost: f.waitSeconds(worker, job.Slots, now) + run}
	}
	return f.risk(worker, job, slowness, now)
}

// risk models a worker as an M/M/c queue with one server for each slot. A job is late because of its own run
// time, which is modelled as exponentially distributed, or because of waiting. The job has its class's
// latency target less the start delay for both.
func (f *forecaster) risk(worker *workerState, job *jobState, slowness float64, now time.Duration) forecast {
	class := &f.settings.Classes[job.Class]
	servers := max(f.load.slotsSeen[worker.Kind]*f.slowStart.share(worker, now), minWorkerSlots)
	utilization := busyShare((worker.ownSlots + f.load.peerSlots(worker, now)) / servers)
	delay := *f.delays.estimate(worker, now)
	slack := class.LatencyTarget.Seconds() - delay
	// The growth of the latency target with the job's run time, less that run time.
	gain := (class.Stretch*f.times.medianSlowness - slowness) * f.times.runSeconds[job.Class]
	freedPerSecond := servers * (1 - utilization) / (f.times.meanRunSeconds * slowness)

	runRisk := math.Exp(-max(slack+max(gain, 0), 0) / max(-gain, minRunSeconds))
	waitRisk := waitChance(utilization, servers) / (1 + max(gain, 0)*freedPerSecond)
	waitRisk *= math.Exp(-max(slack+min(gain, 0), 0) * freedPerSecond)
	lateRisk := runRisk + (1-runRisk)*waitRisk
	crossingCost := f.settings.CrossZoneCost * float64(boolToInt(!f.locality.isLocal(worker)))
	return forecast{cost: lateRisk + startDelayCost*delay + crossingCost, waitRisk: waitRisk}
}

// waitChance returns the probability that a job has to wait in a queue with the given number of servers
// (Sakasegawa's approximation for M/M/c).
func waitChance(utilization, servers float64) float64 {
	return math.Pow(utilization, math.Sqrt(2*servers+2)-1)
}

// busyShare returns the part of a worker's slots that is busy when the demand is the given multiple of its
// slots. The result is close to a small demand, and below 1 for any demand.
func busyShare(demand float64) float64 {
	return demand / math.Pow(1+demand*demand*demand*demand, 0.25)
}

// maxWaitRisk returns the probability of a late answer because of waiting above which a job is rejected. It
// depends on the value that the job may still earn.
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
	// At this risk a job of the lowest value loses acceptedLoss. A denser job accepts more risk, and a job
	// that can earn little accepts less.
	leastValueRisk := min(acceptedLoss/max(1-class.LateValue, acceptedLoss), 1)
	return max(1-(1-leastValueRisk)/value, leastValueRisk*min(value, 1))
}

// firstTryIsLate reports whether the client's first try of a retried job is longer ago than the latency
// target. The deadline of the class counts from that first try.
func firstTryIsLate(job *jobState, class *ClassSettings, leftSeconds float64) bool {
	if !job.Retry || class.Deadline <= 0 {
		return false
	}
	return leftSeconds+class.LatencyTarget.Seconds() < class.Deadline.Seconds()
}

// density returns the value of a job for its run time, as a multiple of that of the least dense class, from 1
// to maxDensity.
func (f *forecaster) density(job *jobState) float64 {
	least := math.Inf(1)
	for class := range f.settings.Classes {
		least = min(least, f.times.valueDensity(class, f.settings))
	}
	return max(min(f.times.valueDensity(job.Class, f.settings)/least, maxDensity), 1)
}
