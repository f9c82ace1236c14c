package decision

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

// minBusyShare is the least part of its slots that any worker is assumed to keep busy if workers report
// their load. The use of mostly idle workers says little about their capacity.
const minBusyShare = 0.5

// minBusySlots is the least number of slots that any worker is assumed to keep busy, over all dispatchers. It
// lets a warming-up worker of an idle fleet get jobs.
const minBusySlots = 0.1

// minJobSlotSeconds is the least work that a job counts as, in slot seconds. It keeps the probability of a
// permit finite if jobs seem to take no time.
const minJobSlotSeconds = 1e-3

// minKnownSeconds is the least time over which the rate of work is averaged, for the time soon after the
// first list.
const minKnownSeconds = 1

// minOverloadJobs is the least divisor for the used share of the overload limit. It avoids a division by zero
// if hardly any job may go to the worker.
const minOverloadJobs = 1e-9

// slowStartPermit records whether this dispatcher may send a warming-up worker its next job.
type slowStartPermit struct {
	hasPermit bool
	drawnAt   time.Duration // when hasPermit was last drawn; 0: never
}

// slowStartBudget limits the jobs to warming-up workers by random draws. All dispatchers together send such a
// worker the work of a warm one times its present share of its capacity. A dispatcher does not accumulate
// unused budget.
type slowStartBudget struct {
	settings  *Settings
	random    *rand.Rand
	slowStart slowStart
	pools     *pools
	times     *learnedTimes
	load      *loadEstimator

	firstListAt time.Duration // time of the first list; work is counted since then
	servedWork  []float64     // by kind: decaying slot seconds of this dispatcher's jobs at warm workers
}

// listReceived records the time of the first list.
func (b *slowStartBudget) listReceived(now time.Duration) {
	b.firstListAt = cmp.Or(b.firstListAt, now)
}

// fade multiplies the counted work by the given factor.
func (b *slowStartBudget) fade(part float64) {
	for kind := range b.servedWork {
		b.servedWork[kind] *= part
	}
}

// observeWork adds the slot seconds that a job took at a warm worker.
func (b *slowStartBudget) observeWork(kind int, slotSeconds float64) {
	b.servedWork[kind] += slotSeconds
}

// allows reports whether a job may go to a warming-up worker. It draws a permit at most once per point in
// time, and a permit lasts until it is used or drawn again.
func (b *slowStartBudget) allows(worker *workerState, job *jobState, now time.Duration) bool {
	span := b.settings.OverloadSpan.Seconds()
	slotSeconds := max(job.Slots*b.times.runSeconds[job.Class]*b.times.slowness[worker.Kind], minJobSlotSeconds)
	rate := b.rate(worker, slotSeconds, now)
	sinceDraw := (now - cmp.Or(worker.drawnAt, now)).Seconds()
	if sinceDraw > 0 || worker.drawnAt == 0 {
		worker.hasPermit = b.random.Float64() < rate*min(sinceDraw, span)/slotSeconds
		worker.drawnAt = now
	}
	return worker.hasPermit
}

// rate returns the mean work, in slot seconds per second, that this dispatcher sends to a warming-up worker.
// The mean is far enough below the overload limit that the deviations of the random draws stay within it.
func (b *slowStartBudget) rate(worker *workerState, slotSeconds float64, now time.Duration) float64 {
	dispatchers := float64(b.settings.Dispatchers)
	span := b.settings.OverloadSpan.Seconds()
	multiple := b.settings.OverloadMultiple
	share := b.slowStart.share(worker, now)
	warmRate := b.warmRate(worker, dispatchers, now)
	// The square of root is the mean of a Poisson count that stays, with its deviations, within the jobs that
	// all dispatchers may send in a span. root solves root*root + deviations*root = overloadJobs.
	overloadJobs := multiple * share * warmRate * dispatchers * span / slotSeconds
	root := max(math.Sqrt(overloadJobs+deviations*deviations/4)-deviations/2, 0)
	usedShare := min(root*root/max(overloadJobs, minOverloadJobs)*multiple, 1)
	return usedShare * share * warmRate
}

// warmRate returns the work, in slot seconds per second, that a warm worker of the kind takes from each
// dispatcher. It is the work from this dispatcher, or this dispatcher's part of the slots that all
// dispatchers keep busy there, whichever is larger.
func (b *slowStartBudget) warmRate(worker *workerState, dispatchers float64, now time.Duration) float64 {
	knownSeconds := rateMemory.Seconds() * (1 - decay(now-b.firstListAt, rateMemory))
	readyWorkers := max(b.pools.readyCount[worker.Kind], 1)
	servedRate := b.servedWork[worker.Kind] / max(knownSeconds, minKnownSeconds) / readyWorkers
	slots := b.load.slotsSeen[worker.Kind]
	busySlots := max(min(b.load.groupLoad[b.load.locality.group(worker)], slots), minBusyShare*slots)
	reported := float64(boolToInt(b.load.reported))
	return max(servedRate, minBusySlots/dispatchers, busySlots*reported/dispatchers)
}
