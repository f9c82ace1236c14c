package decision

import (
	"math"
	"time"
)

// reportAge is the approximate age of a load report when it arrives with an answer.
const reportAge = 700 * time.Millisecond

// peerLoadMemory is the time constant with which a worker's learned load from peers decays to the mean of its
// group.
const peerLoadMemory = 5 * time.Second

// groupLoadSpan is the time constant of the mean load from peers of a group.
const groupLoadSpan = 2 * time.Second

// reportWeight is the weight of one report in the estimate of a worker's load from peers. It is low because
// reports are old and noisy.
const reportWeight = 0.12

// maxGroupLoad bounds a sample of a group's load from peers, as a multiple of a worker's slots. The reported
// or inferred length of a queue may be absurd.
const maxGroupLoad = 4

// minWorkerSlots is the least number of slots that a worker is assumed to have. A kind that is full from the
// start may never show more.
const minWorkerSlots = 1

// workerLoad is what is known about the slots in use at a worker.
type workerLoad struct {
	ownSlots    float64 // reserved by this dispatcher's attempts in flight
	runningJobs float64 // this dispatcher's attempts that have started and not ended

	reportedOwnSlots   float64       // ownSlots about reportAge ago, when reports that arrive now were made
	reportedOwnSlotsAt time.Duration // when reportedOwnSlots was last updated

	peerSlots   float64       // slots in use by other dispatchers, as last learned
	peerSlotsAt time.Duration // when peerSlots was last learned
	lastReport  Load          // a worker repeats it with each answer until it makes a new one
}

// reserve adds to the own slots in use at a worker. A negative number releases slots.
func (l *workerLoad) reserve(slots float64, now time.Duration) {
	forgotten := 1 - decay(now-l.reportedOwnSlotsAt, reportAge)
	l.reportedOwnSlots += (l.ownSlots - l.reportedOwnSlots) * forgotten
	l.reportedOwnSlotsAt = now
	l.ownSlots += slots
}

// loadEstimator estimates how many slots workers have, and how many of them other dispatchers use. It sends
// no requests: it learns from load reports, starts, and jobs that wait at their workers.
//
// One of many dispatchers rarely sends to the same worker. Each group of workers therefore has a mean load
// from peers, to which the estimate for each worker decays.
type loadEstimator struct {
	layout    LoadReportLayout
	reported  bool // result of reportsLoad; waiting times can be estimated only if true
	locality  locality
	slowStart slowStart
	times     *learnedTimes

	slotsSeen   []float64       // by kind: the most slots of a worker that were seen free or in use
	groupLoad   []float64       // by group: mean load from peers, in slots
	groupLoadAt []time.Duration // by group: when groupLoad was last learned
}

// reportsLoad reports whether workers report starts, free slots and queue lengths.
func reportsLoad(settings *Settings) bool {
	tellsWaiting := settings.Report.FreeSlots >= 0 && settings.Report.Queue >= 0
	return settings.ReportsLoad && settings.ReportsStart && tellsWaiting
}

func newLoadEstimator(
	settings *Settings, locality locality, slowStart slowStart, times *learnedTimes,
) *loadEstimator {
	return &loadEstimator{
		layout:      settings.Report,
		reported:    reportsLoad(settings),
		locality:    locality,
		slowStart:   slowStart,
		times:       times,
		slotsSeen:   make([]float64, settings.Kinds),
		groupLoad:   make([]float64, localities*settings.Kinds),
		groupLoadAt: make([]time.Duration, localities*settings.Kinds),
	}
}

// slots returns the number of slots of a worker of a kind.
func (e *loadEstimator) slots(kind int) float64 { return max(e.slotsSeen[kind], minWorkerSlots) }

// peerSlots returns the slots in use by other dispatchers at a worker. The last learned value decays to the
// mean of the group, multiplied by the share of its capacity that a warming-up worker has.
func (e *loadEstimator) peerSlots(worker *workerState, now time.Duration) float64 {
	groupMean := e.groupLoad[e.locality.group(worker)] * e.slowStart.share(worker, now)
	return groupMean + (worker.peerSlots-groupMean)*decay(now-worker.peerSlotsAt, peerLoadMemory)
}

// observeStart learns from a job that started the given seconds after its send, where a start was expected
// within the given seconds. A prompt start shows that the worker had a free slot, a late start that it had
// none.
func (e *loadEstimator) observeStart(worker *workerState, took, expected float64, now time.Duration) {
	e.slotsSeen[worker.Kind] = max(e.slotsSeen[worker.Kind], worker.runningJobs)
	if took > expected {
		e.observeWait(worker, took-expected, now)
		return
	}
	slots := e.slots(worker.Kind)
	notOwn := slots - worker.ownSlots
	peers := max(min(e.peerSlots(worker, now), notOwn), 0)
	usual := min(e.groupLoad[e.locality.group(worker)], slots-1)
	e.record(worker, peers, usual, now)
}

// observeWait learns from a job that has waited the given seconds for a slot at a worker: all slots are in
// use, and other jobs are queued ahead of it.
func (e *loadEstimator) observeWait(worker *workerState, waited float64, now time.Duration) {
	slots := e.slots(worker.Kind)
	runSeconds := e.times.meanRunSeconds * e.times.slowness[worker.Kind]
	demand := slots * (1 + waited/runSeconds)
	e.record(worker, max(e.peerSlots(worker, now), slots-worker.ownSlots, 0), demand, now)
}

// observeReport learns from a load report how many slots a worker has and how many of them other dispatchers
// use. The latter is the reported use less the slots that this dispatcher had reserved when the report was
// made.
func (e *loadEstimator) observeReport(worker *workerState, report *Load, now time.Duration) {
	e.observeTotalSlots(worker.Kind, report)
	values := min(report.Count, len(report.Values))
	hasValues := e.layout.FreeSlots < values && e.layout.Queue < values
	if !e.reported || !hasValues {
		return
	}
	if *report == worker.lastReport {
		return
	}
	worker.lastReport = *report
	free := math.Round(report.Values[e.layout.FreeSlots])
	if free > e.slotsSeen[worker.Kind] && free < math.MaxInt32 {
		e.slotsSeen[worker.Kind] = free
	}
	reported := max(e.slots(worker.Kind)+e.layout.QueuedSlots(report)-worker.reportedOwnSlots, 0)
	known := e.peerSlots(worker, now)
	e.record(worker, known+reportWeight*(reported-known), reported, now)
}

// observeTotalSlots updates the slots of a kind from the total in a report. The first report counts in full.
func (e *loadEstimator) observeTotalSlots(kind int, report *Load) {
	total := e.layout.TotalSlots(report)
	if !(total > 0 && total < math.MaxInt32) { // also rejects NaN
		return
	}
	weight := max(sampleWeight, 1-e.slotsSeen[kind])
	e.slotsSeen[kind] += weight * (total - e.slotsSeen[kind])
}

// record sets the load from peers at a worker and adds a sample, in slots, to the mean of its group.
func (e *loadEstimator) record(worker *workerState, peerSlots, sample float64, now time.Duration) {
	worker.peerSlots = peerSlots
	worker.peerSlotsAt = now
	group := e.locality.group(worker)
	bounded := min(sample, maxGroupLoad*e.slots(worker.Kind))
	forgotten := 1 - decay(now-e.groupLoadAt[group], groupLoadSpan)
	e.groupLoad[group] += forgotten * (bounded - e.groupLoad[group])
	e.groupLoadAt[group] = now
}

// observeRejection lowers the means of all groups a little. Without answers nothing else lowers them, and
// rejections because of a high load estimate would continue indefinitely.
func (e *loadEstimator) observeRejection() {
	for group := range e.groupLoad {
		e.groupLoad[group] *= 1 - sampleWeight
	}
}
