package decision

import (
	"math"
	"time"
)

// reportAge is about how old the loads are that a worker reports with an answer.
const reportAge = 700 * time.Millisecond

// peerLoadMemory is the time in which what was learned of one worker's load from peers gives way to
// its group's mean.
const peerLoadMemory = 5 * time.Second

// groupLoadSpan is the time over which a group's mean load from peers is taken.
const groupLoadSpan = 2 * time.Second

// reportWeight is the weight of one report in the estimate of a worker's load from peers: reports are
// old and noisy.
const reportWeight = 0.12

// maxGroupLoad bounds a sample of a group's load from peers, as a multiple of a worker's slots: a queue may
// be reported or inferred as absurdly long.
const maxGroupLoad = 4

// minSlots is how many slots any worker surely has; a kind that is full from the start may never show more.
const minSlots = 1

// workerLoad is what is known of the slots in use at a worker.
type workerLoad struct {
	ownSlots    float64 // reserved by this dispatcher's attempts that are out
	runningJobs float64 // this dispatcher's attempts that have started there

	pastOwnSlots   float64       // ownSlots some reportAge ago, when reports that come now were made
	pastOwnSlotsAt time.Duration // when pastOwnSlots was last brought up to date

	peerSlots   float64       // slots that other dispatchers use, as last learned
	peerSlotsAt time.Duration // when peerSlots was last learned
	lastReport  Load          // it comes again with each answer until there is a new one
}

// reserve takes slots at a worker, or gives them back where the number is below zero.
func (l *workerLoad) reserve(slots float64, now time.Duration) {
	forgotten := 1 - decay(now-l.pastOwnSlotsAt, reportAge)
	l.pastOwnSlots += (l.ownSlots - l.pastOwnSlots) * forgotten
	l.pastOwnSlotsAt = now
	l.ownSlots += slots
}

// loadEstimator estimates how many slots workers have, and how many of them other dispatchers use. Nobody is
// asked: it learns from load reports, starts, and jobs that wait at their workers.
//
// One dispatcher of many meets a worker seldom. Hence each group of workers has a mean of the load from
// peers; what was learned of one worker drifts back to it.
type loadEstimator struct {
	layout    LoadReportLayout
	reported  bool // as reportsLoad tells: only then can waiting times be estimated
	locality  locality
	slowStart slowStart
	times     *learnedTimes

	slotsSeen   []float64       // by kind: the most slots of a worker that were seen free or at work
	groupLoad   []float64       // by group: mean load from peers, in slots
	groupLoadAt []time.Duration // by group: when groupLoad was last learned
}

// reportsLoad tells whether workers tell of starts, free slots and queues.
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

// slots is how many slots a worker of a kind has.
func (e *loadEstimator) slots(kind int) float64 { return max(e.slotsSeen[kind], minSlots) }

// peerSlots is how many slots other dispatchers use at a worker: what was last learned there, and, the
// longer ago that was, the mean of its group. A warming worker counts as its share of the mean.
func (e *loadEstimator) peerSlots(worker *workerState, now time.Duration) float64 {
	usual := e.groupLoad[e.locality.group(worker)] * e.slowStart.share(worker, now)
	return usual + (worker.peerSlots-usual)*decay(now-worker.peerSlotsAt, peerLoadMemory)
}

// observeStart learns from a job that has started the given seconds after its send, at a worker where it
// should have started within the expected ones. A prompt start shows that the worker had a free slot, a late
// one that it had none.
func (e *loadEstimator) observeStart(worker *workerState, took, expected float64, now time.Duration) {
	e.slotsSeen[worker.Kind] = max(e.slotsSeen[worker.Kind], worker.runningJobs)
	if took > expected {
		e.observeWait(worker, took-expected, now)
		return
	}
	slots := e.slots(worker.Kind)
	freeOfOwn := slots - worker.ownSlots
	peers := max(min(e.peerSlots(worker, now), freeOfOwn), 0)
	usual := min(e.groupLoad[e.locality.group(worker)], slots-1)
	e.record(worker, peers, usual, now)
}

// observeWait learns from a job that has waited the given seconds at a worker for a slot: all of them are in
// use, and others wait before it.
func (e *loadEstimator) observeWait(worker *workerState, waited float64, now time.Duration) {
	slots := e.slots(worker.Kind)
	runSeconds := e.times.meanRunSeconds * e.times.slowness[worker.Kind]
	promised := slots * (1 + waited/runSeconds)
	e.record(worker, max(e.peerSlots(worker, now), slots-worker.ownSlots, 0), promised, now)
}

// observeReport learns from a load report how many slots a worker has, and how many of them others use: what
// is promised there, less what this dispatcher itself had reserved when the report was made.
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
	reported := max(e.slots(worker.Kind)+e.layout.QueuedSlots(report)-worker.pastOwnSlots, 0)
	known := e.peerSlots(worker, now)
	e.record(worker, known+reportWeight*(reported-known), reported, now)
}

// observeTotalSlots follows the slots that a report says a worker has. A first report counts in full.
func (e *loadEstimator) observeTotalSlots(kind int, report *Load) {
	total := e.layout.TotalSlots(report)
	if !(total > 0 && total < math.MaxInt32) { // not a number, too
		return
	}
	weight := max(sampleWeight, 1-e.slotsSeen[kind])
	e.slotsSeen[kind] += weight * (total - e.slotsSeen[kind])
}

// record notes the load from peers at a worker, and takes a sample, in slots, into the mean of its group.
func (e *loadEstimator) record(worker *workerState, peerSlots, sample float64, now time.Duration) {
	worker.peerSlots = peerSlots
	worker.peerSlotsAt = now
	group := e.locality.group(worker)
	bounded := min(sample, maxGroupLoad*e.slots(worker.Kind))
	forgotten := 1 - decay(now-e.groupLoadAt[group], groupLoadSpan)
	e.groupLoad[group] += forgotten * (bounded - e.groupLoad[group])
	e.groupLoadAt[group] = now
}

// observeRejection lowers all groups' means a little: without answers nothing else would, and rejections for
// too much load would keep themselves up.
func (e *loadEstimator) observeRejection() {
	for group := range e.groupLoad {
		e.groupLoad[group] *= 1 - sampleWeight
	}
}
