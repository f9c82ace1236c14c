package decision

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// ticksPerLatencyTarget is how often open jobs are looked at within the shortest latency target.
const ticksPerLatencyTarget = 8

// maxTick and minTick bound the time between two looks at open jobs.
const (
	maxTick = 50 * time.Millisecond
	minTick = time.Millisecond
)

// unstatedLatencyTarget stands for a target that is not stated.
const unstatedLatencyTarget = time.Second

// manyDispatchers is from how many dispatchers on each of them meets a worker too rarely to wait for it.
const manyDispatchers = 20

// highCrossZoneCost is from which price on crossing zones counts in each choice, as a late answer does.
const highCrossZoneCost = 0.05

// Dispatcher decides for one submitter. It is not safe for concurrent use.
type Dispatcher struct {
	settings Settings
	now      time.Duration // of the event that is handled; never falls
	tick     time.Duration // between looks at open jobs
	actions  []Action      // what follows from the event so far

	workers   *workerTable
	pools     *pools
	times     *learnedTimes
	slowStart slowStart
	budget    *slowStartBudget
	load      *loadEstimator
	delays    *startDelays
	forecasts *forecaster
	gate      *sendGate
	health    *healthFilter
	picker    *picker
	quota     *tenantQuota
	shedder   *loadShedder
	calls     *discoveryCalls
	jobs      *jobTable
	overdue   overdueChecks
	shared    bool // many dispatchers share the workers
}

// New makes a dispatcher. Its error names the first setting that cannot work.
func New(settings Settings, seed uint64) (*Dispatcher, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	d := &Dispatcher{settings: settings.withDefaults()}
	random := rand.New(rand.NewPCG(seed, seed)) // one source for all: the order of draws is behaviour
	d.tick = tickFor(&d.settings)
	d.shared = sharesWorkers(&d.settings)
	d.composeEstimates(random)
	d.composeChoice(random)
	d.quota = newTenantQuota(d.settings.Tenants, random)
	d.shedder = newLoadShedder(random)
	d.calls = newDiscoveryCalls(&d.settings, random)
	d.jobs = newJobTable()
	return d, nil
}

// tickFor is the time between looks at open jobs.
func tickFor(settings *Settings) time.Duration {
	tick := maxTick
	for i := range settings.Classes {
		target := cmp.Or(settings.Classes[i].LatencyTarget, unstatedLatencyTarget)
		tick = min(tick, max(target/ticksPerLatencyTarget, settings.Tick, minTick))
	}
	return tick
}

// sharesWorkers tells whether many dispatchers share the workers, and the workers report their load.
func sharesWorkers(settings *Settings) bool {
	crossingCounts := settings.CrossZoneCost >= highCrossZoneCost
	return reportsLoad(settings) && (settings.Dispatchers >= manyDispatchers || crossingCounts)
}

// composeEstimates makes what is known of workers.
func (d *Dispatcher) composeEstimates(random *rand.Rand) {
	settings := &d.settings
	zones := locality{zone: settings.Zone, splitsKind: d.shared}
	d.slowStart = slowStart{initialShare: settings.SlowStartShare, duration: settings.SlowStartDuration}
	d.workers = newWorkerTable(settings)
	d.pools = newPools(settings, zones)
	d.times = newLearnedTimes(settings)
	d.load = newLoadEstimator(settings, zones, d.slowStart, d.times)
	d.delays = &startDelays{locality: zones, connIdle: settings.ConnIdle}
	d.forecasts = &forecaster{
		settings:  settings,
		locality:  zones,
		slowStart: d.slowStart,
		times:     d.times,
		load:      d.load,
		delays:    d.delays,
		shared:    d.shared,
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

// composeChoice makes what chooses workers.
func (d *Dispatcher) composeChoice(random *rand.Rand) {
	d.gate = &sendGate{settings: &d.settings, slowStart: d.slowStart, budget: d.budget}
	d.health = &healthFilter{settings: &d.settings, random: random, gate: d.gate}
	d.picker = &picker{
		random:    random,
		locality:  d.load.locality,
		slowStart: d.slowStart,
		workers:   d.workers,
		pools:     d.pools,
		times:     d.times,
		load:      d.load,
		delays:    d.delays,
		forecasts: d.forecasts,
		gate:      d.gate,
		health:    d.health,
		tick:      d.tick,
		shared:    d.shared,
	}
}

// Handle takes one event at the time now and appends the actions that follow from it to actions. A time
// before that of an earlier event counts as that one's.
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

// handleList takes a list of workers, or a call to discovery that has failed.
func (d *Dispatcher) handleList(event *Event) {
	d.actions = d.calls.listReceived(event.List, d.actions)
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

// handleTimer takes a timer that has run out. Unknown tokens are passed over.
func (d *Dispatcher) handleTimer(token uint32) {
	switch {
	case token == checkToken:
		d.checkOpenJobs()
	case token == drainCloseToken:
		d.actions = d.workers.closeIdleAgain(d.now, d.actions)
	case d.calls.isTimer(token):
		d.actions = d.calls.call(d.actions)
	}
}

// class is the settings of a job's class.
func (d *Dispatcher) class(job *jobState) *ClassSettings { return &d.settings.Classes[job.Class] }
