package decision

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// ticksPerLatencyTarget is the number of checks of the open jobs within the shortest latency target.
const ticksPerLatencyTarget = 8

// Bounds of the interval between two checks of the open jobs.
const (
	maxTick = 50 * time.Millisecond
	minTick = time.Millisecond
)

// defaultLatencyTarget applies to a class whose latency target is not stated.
const defaultLatencyTarget = time.Second

// minSharedDispatchers is the least number of dispatchers with which each of them sends to a given worker too
// rarely to keep jobs pending for it.
const minSharedDispatchers = 20

// highCrossZoneCost is the least cross-zone cost with which each choice of a worker weighs crossing zones
// together with the risk of a late answer.
const highCrossZoneCost = 0.05

// Dispatcher decides where the jobs of one submitter go. It is not safe for concurrent use.
type Dispatcher struct {
	settings Settings
	now      time.Duration // of the event in progress; never decreases
	tick     time.Duration // interval between checks of the open jobs
	actions  []Action      // that the event in progress has produced so far

	workers     *workerTable
	pools       *pools
	times       *learnedTimes
	slowStart   slowStart
	budget      *slowStartBudget
	load        *loadEstimator
	delays      *startDelays
	forecasts   *forecaster
	gate        *sendGate
	health      *healthFilter
	picker      *picker
	quota       *tenantQuota
	shedder     *loadShedder
	discovery   *discoveryCalls
	jobs        *jobTable
	overdue     overdueChecks
	sharedFleet bool // many dispatchers share the workers
}

// New returns a Dispatcher with the given settings and seed. Its error names the first setting that is out of
// range.
func New(settings Settings, seed uint64) (*Dispatcher, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	d := &Dispatcher{settings: settings.withDefaults()}
	random := rand.New(rand.NewPCG(seed, seed)) // shared by all parts: draw order is part of the behaviour
	d.tick = tickFor(&d.settings)
	d.sharedFleet = sharesWorkers(&d.settings)
	d.buildEstimates(random)
	d.buildSelection(random)
	d.quota = newTenantQuota(d.settings.Tenants, random)
	d.shedder = newLoadShedder(random)
	d.discovery = newDiscoveryCalls(&d.settings, random)
	d.jobs = newJobTable()
	return d, nil
}

// tickFor returns the interval between checks of the open jobs.
func tickFor(settings *Settings) time.Duration {
	tick := maxTick
	for i := range settings.Classes {
		target := cmp.Or(settings.Classes[i].LatencyTarget, defaultLatencyTarget)
		tick = min(tick, max(target/ticksPerLatencyTarget, settings.Tick, minTick))
	}
	return tick
}

// sharesWorkers reports whether workers report their load and the dispatcher decides by the risk of a late
// answer, which it does with many dispatchers or if crossing zones is expensive.
func sharesWorkers(settings *Settings) bool {
	crossingCounts := settings.CrossZoneCost >= highCrossZoneCost
	return reportsLoad(settings) && (settings.Dispatchers >= minSharedDispatchers || crossingCounts)
}

// buildEstimates creates the components that track workers and estimate their load and times.
func (d *Dispatcher) buildEstimates(random *rand.Rand) {
	settings := &d.settings
	zones := locality{zone: settings.Zone, splitsKind: d.sharedFleet}
	d.slowStart = slowStart{initialShare: settings.SlowStartShare, duration: settings.SlowStartDuration}
	d.workers = newWorkerTable(settings)
	d.pools = newPools(settings, zones)
	d.times = newLearnedTimes(settings)
	d.load = newLoadEstimator(settings, zones, d.slowStart, d.times)
	d.delays = &startDelays{locality: zones, connIdle: settings.ConnIdle}
	d.forecasts = &forecaster{
		settings:    settings,
		locality:    zones,
		slowStart:   d.slowStart,
		times:       d.times,
		load:        d.load,
		delays:      d.delays,
		sharedFleet: d.sharedFleet,
	}
	d.budget = &slowStartBudget{
		settings:   settings,
		random:     random,
		slowStart:  d.slowStart,
		pools:      d.pools,
		times:      d.times,
		load:       d.load,
		servedWork: make([]float64, settings.Kinds),
	}
}

// buildSelection creates the components that choose a worker for a job.
func (d *Dispatcher) buildSelection(random *rand.Rand) {
	d.gate = &sendGate{settings: &d.settings, slowStart: d.slowStart, budget: d.budget}
	d.health = &healthFilter{settings: &d.settings, random: random, gate: d.gate}
	d.picker = &picker{
		random:      random,
		locality:    d.load.locality,
		slowStart:   d.slowStart,
		workers:     d.workers,
		pools:       d.pools,
		times:       d.times,
		load:        d.load,
		delays:      d.delays,
		forecasts:   d.forecasts,
		gate:        d.gate,
		health:      d.health,
		tick:        d.tick,
		sharedFleet: d.sharedFleet,
	}
}

// Handle processes one event at the time now and appends the resulting actions to actions. If now is before
// the time of an earlier event, the time of that event applies.
func (d *Dispatcher) Handle(now time.Duration, event *Event, actions []Action) []Action {
	d.now = max(now, d.now)
	d.actions = actions
	job := d.jobs.byID[event.Job]
	switch event.Kind {
	case EventList:
		d.handleList(event)
	case EventJob:
		if job == nil {
			d.admit(event)
		}
	case EventJobProgress, EventStreamStarted:
		d.handleProgress(event, job)
	case EventOutcome:
		if attempt := d.jobs.openAttempt(job, event.Attempt); attempt != nil {
			d.handleOutcome(event, job, attempt)
		}
	case EventClientLeft:
		if job != nil {
			d.handleClientLeft(job)
		}
	case EventTimer:
		d.handleTimer(event.Token)
	}
	return d.actions
}

// handleList handles a list of workers or a failed call to discovery.
func (d *Dispatcher) handleList(event *Event) {
	d.actions = d.discovery.listReceived(event.List, d.actions)
	if event.List == ListFailed {
		return
	}
	d.budget.listReceived(d.now)
	d.workers.update(event, d.now)
	d.pools.rebuild(d.workers.ordered)
	for _, worker := range d.workers.ordered {
		d.actions = d.workers.closeIdle(worker, d.now, d.actions)
	}
}

// handleTimer handles a timer that has fired. It ignores unknown tokens.
func (d *Dispatcher) handleTimer(token uint32) {
	switch {
	case token == checkToken:
		d.checkOpenJobs()
	case token == drainCloseToken:
		d.actions = d.workers.closeIdleAgain(d.now, d.actions)
	case d.discovery.isTimer(token):
		d.actions = d.discovery.call(d.actions)
	}
}

// class returns the settings of the class of a job.
func (d *Dispatcher) class(job *jobState) *ClassSettings { return &d.settings.Classes[job.Class] }
