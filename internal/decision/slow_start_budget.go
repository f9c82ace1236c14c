package decision

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

// minBusyShare is the part of its slots that any worker is taken to keep at work, where workers report: what
// mostly idle ones do says little of what one bears.
const minBusyShare = 0.5

// minBusySlots is the number of slots that any worker is taken to keep at work, over all dispatchers: a
// warming worker of an idle fleet gets jobs, too.
const minBusySlots = 0.1

// minJobSlotSeconds is the least work that a job counts as: the chance of a turn stays a number where jobs
// seem to take no time.
const minJobSlotSeconds = 1e-3

// minKnownSeconds is the least time over which the rate of work is taken, soon after the first list.
const minKnownSeconds = 1

// minOverloadJobs keeps the share of the overload limit that is used finite where next to no job may go.
const minOverloadJobs = 1e-9

// slowStartTurn is whether it is this dispatcher's turn to send a warming worker its next job.
type slowStartTurn struct {
	hasTurn bool
	drawnAt time.Duration // when hasTurn was last drawn, 0 for never
}

// slowStartBudget lets jobs to warming workers, by chance: all dispatchers together send such a worker what a
// warm one bears, times the share of its capacity that it has. No dispatcher saves up what it did not send.
type slowStartBudget struct {
	settings  *Settings
	random    *rand.Rand
	slowStart slowStart
	pools     *pools
	times     *learnedTimes
	load      *loadEstimator

	firstListAt time.Duration // since when work is counted
	servedWork  []float64     // by kind: slot seconds of this dispatcher's jobs at warm workers, fading
}

// listReceived notes the time of the first list.
func (b *slowStartBudget) listReceived(now time.Duration) {
	b.firstListAt = cmp.Or(b.firstListAt, now)
}

// fade lowers the counted work to the given part.
func (b *slowStartBudget) fade(part float64) {
	for kind := range b.servedWork {
		b.servedWork[kind] *= part
	}
}

// observeWork counts the slot seconds that a job took at a warm worker.
func (b *slowStartBudget) observeWork(kind int, slotSeconds float64) {
	b.servedWork[kind] += slotSeconds
}

// allows tells whether a job may go to a warming worker: whether it is this dispatcher's turn, which is
// drawn once for each moment and lasts until the turn is used.
func (b *slowStartBudget) allows(worker *workerState, job *jobState, now time.Duration) bool {
	span := b.settings.OverloadSpan.Seconds()
	slotSeconds := max(job.Slots*b.times.runSeconds[job.Class]*b.times.slowness[worker.Kind], minJobSlotSeconds)
	rate := b.rate(worker, slotSeconds, now)
	sinceDraw := (now - cmp.Or(worker.drawnAt, now)).Seconds()
	if sinceDraw > 0 || worker.drawnAt == 0 {
		worker.hasTurn = b.random.Float64() < rate*min(sinceDraw, span)/slotSeconds
		worker.drawnAt = now
	}
	return worker.hasTurn
}

// rate is the work, in slot seconds a second, that this dispatcher sends a warming worker in the mean. Draws
// vary: the mean stays so far below the limit of an overload that their deviations stay within it.
func (b *slowStartBudget) rate(worker *workerState, slotSeconds float64, now time.Duration) float64 {
	dispatchers := float64(b.settings.Dispatchers)
	span := b.settings.OverloadSpan.Seconds()
	multiple := b.settings.OverloadMultiple
	share := b.slowStart.share(worker, now)
	warmRate := b.warmRate(worker, dispatchers, now)
	// The mean of a Poisson count that with all its deviations stays within what all dispatchers may send in
	// a span: the square of root, which solves root*root + deviations*root = overloadJobs.
	overloadJobs := multiple * share * warmRate * dispatchers * span / slotSeconds
	root := max(math.Sqrt(overloadJobs+deviations*deviations/4)-deviations/2, 0)
	usedShare := min(root*root/max(overloadJobs, minOverloadJobs)*multiple, 1)
	return usedShare * share * warmRate
}

// warmRate is the work, in slot seconds a second, that a warm worker of the kind bears from each dispatcher:
// what it gets from this one, or its part of what all dispatchers hold there.
func (b *slowStartBudget) warmRate(worker *workerState, dispatchers float64, now time.Duration) float64 {
	knownSeconds := rateMemory.Seconds() * (1 - decay(now-b.firstListAt, rateMemory))
	readyWorkers := max(b.pools.ready[worker.Kind], 1)
	servedRate := b.servedWork[worker.Kind] / max(knownSeconds, minKnownSeconds) / readyWorkers
	slots := b.load.slotsSeen[worker.Kind]
	busySlots := max(min(b.load.groupLoad[b.load.locality.group(worker)], slots), minBusyShare*slots)
	reported := float64(count(b.load.reported))
	return max(servedRate, minBusySlots/dispatchers, busySlots*reported/dispatchers)
}
