package delivery

import (
	"time"

	"go.uber.org/zap"

	"gladepick/internal/configuration"
	"gladepick/internal/decision"
)

const (
	tenantCount     = 8 // buckets of route names, from which the decision module's pools arise
	sendsOfJob      = 6
	deciderTick     = 50 * time.Millisecond
	jobTimeouts     = 2 // a job ends after so many timeouts of its route
	shortestAim     = 100 * time.Millisecond
	ownZone         = 0
	oneKindOfWorker = 1
)

// decider is the host of one decision module: it tells the module what happens and carries out its actions.
type decider struct {
	service *service
	module  *decision.Dispatcher
	classes map[string]int // by route name
	jobs    map[decision.JobID]*job
	lastID  decision.JobID
	pending []decision.Event
	actions []decision.Action
	listed  []decision.Entry // the last whole list, unless it has changed since
	busy    bool
}

// job is a message that the decision module has.
type job struct {
	id       decision.JobID
	entry    *entry
	route    *configuration.Route
	sends    int
	worker   decision.WorkerID // of the last send
	hasToken bool              // a send is paid for
	flying   bool
	near     bool    // offered to the own zone's workers only
	last     verdict // of the last attempt
}

// newDecider makes a decision module for a service as it is now.
func newDecider(s *service) (*decider, error) {
	module, err := decision.New(moduleSettings(s.routes), s.engine.random.Uint64())
	if err != nil {
		return nil, err
	}
	made := &decider{service: s, module: module, jobs: make(map[decision.JobID]*job), classes: make(map[string]int)}
	for i, route := range s.routes {
		made.classes[route.Name] = i
	}
	made.listAll()
	return made, nil
}

// moduleSettings are the decision module's settings for a service's routes.
func moduleSettings(routes []*configuration.Route) decision.Settings {
	settings := decision.Settings{
		Dispatchers: 1,
		Zone:        ownZone,
		Kinds:       oneKindOfWorker,
		Tenants:     make([]decision.TenantSettings, tenantCount),
		Discovery:   decision.DiscoveryPush,
		ConnIdle:    longestIdleTime,
		MaxAttempts: sendsOfJob,
		Report:      decision.LoadReportLayout{FreeSlots: -1, FreeMemory: -1, Queue: -1, InFlight: -1, Util: -1, Errors: -1},
		Tick:        deciderTick,
	}
	for _, route := range routes {
		settings.Classes = append(settings.Classes, classSettings(route))
		settings.Tenants[tenantOf(route.Name)].Share += 1 / float64(len(routes))
	}
	for _, anywhere := range settings.Classes[:len(routes)] {
		near := anywhere
		near.AllowedZones = []int{ownZone}
		settings.Classes = append(settings.Classes, near)
	}
	return settings
}

// classSettings describes a route's messages. The aim also tells the module after how long a silence to doubt a
// worker, so it is no shorter than an attempt may take.
func classSettings(route *configuration.Route) decision.ClassSettings {
	return decision.ClassSettings{
		LatencyTarget: max(route.StartTarget, route.Timeout, shortestAim),
		Deadline:      jobTimeouts * max(route.StartTarget, route.Timeout, shortestAim),
		Idempotency:   decision.Idempotent,
		Value:         1,
		WorkerKind:    -1,
		Priority:      route.Priority,
	}
}

// tenantOf hashes a route's name to a tenant, alike at all stores.
func tenantOf(route string) int { return int(numberOf(route) % tenantCount) }

// listAll tells the module of all destinations.
func (d *decider) listAll() {
	event := decision.Event{Kind: decision.EventList, List: decision.ListFull}
	event.Entries = make([]decision.Entry, 0, len(d.service.destinations))
	for _, to := range d.service.destinations {
		event.Entries = append(event.Entries, to.entry())
	}
	if !d.sameList(event.Entries) {
		d.handle(&event)
	}
}

// listChanged tells the module of some destinations.
func (d *decider) listChanged(changed []*destination) {
	event := decision.Event{Kind: decision.EventList, List: decision.ListDelta}
	for _, to := range changed {
		event.Entries = append(event.Entries, to.entry())
	}
	d.listed = nil
	d.handle(&event)
}

// offer hands a message to the module. A token has been seen to be there. If the module holds the message although
// there are workers that nothing speaks against, it is offered once more after the module's doubts have been cleared:
// it doubts a worker as soon as one of its runs is slow.
func (d *decider) offer(en *entry, route *configuration.Route) {
	now := d.service.engine.now()
	en.placement = withDecider
	offered := &job{entry: en, route: route, hasToken: d.service.bucket.take(now), near: d.service.hasRoomNear()}
	d.service.open++
	d.submit(offered, now)
	if offered.near && d.holds(offered) {
		d.offerAnywhere(offered)
	}
	if d.holds(offered) && d.service.clearIdleDoubts(now) {
		d.withdraw(offered)
		d.submit(offered, now)
	}
}

// offerAnywhere offers a message that the own zone's workers can't take to those of all zones.
func (d *decider) offerAnywhere(j *job) {
	d.withdraw(j)
	j.near = false
	d.submit(j, d.service.engine.now())
}

// class is the decision module's class of a job: each route has one for the own zone's workers, behind those for all.
func (d *decider) class(j *job) int {
	class := d.classes[j.route.Name]
	if j.near {
		class += len(d.classes)
	}
	return class
}

// withdraw takes a job that the module holds away from it.
func (d *decider) withdraw(held *job) {
	d.handle(&decision.Event{Kind: decision.EventClientLeft, Job: held.id})
	delete(d.jobs, held.id)
}

// releaseHeld returns all messages that the module holds to their lanes.
func (d *decider) releaseHeld() {
	for _, j := range d.jobs {
		if d.holds(j) {
			d.withdraw(j)
			d.giveBack(j, 0)
		}
	}
}

// submit gives a job a number and tells the module of it.
func (d *decider) submit(j *job, now time.Duration) {
	d.lastID++
	j.id, j.sends = d.lastID, 0
	d.jobs[j.id] = j
	d.handle(&decision.Event{
		Kind: decision.EventJob, Job: j.id, Class: d.class(j), Tenant: tenantOf(j.route.Name), Slots: 1,
		Deadline: now + jobTimeouts*max(j.route.StartTarget, j.route.Timeout, shortestAim),
	})
}

// holds tells whether the module has a job and no attempt of it is out.
func (d *decider) holds(j *job) bool { return d.jobs[j.id] == j && !j.flying }

// handle gives the module an event and carries out what follows, in order. Events that arise meanwhile come after it.
func (d *decider) handle(event *decision.Event) {
	d.pending = append(d.pending, *event)
	if d.busy {
		return
	}
	d.busy = true
	for len(d.pending) > 0 {
		next := d.pending[0]
		d.pending = d.pending[1:]
		d.actions = d.module.Handle(d.service.engine.now(), &next, d.actions[:0])
		for i := range d.actions {
			d.carryOut(&d.actions[i])
		}
	}
	d.pending = d.pending[:0]
	d.busy = false
}

func (d *decider) carryOut(action *decision.Action) {
	switch action.Kind {
	case decision.Send:
		if j := d.jobs[action.Job]; j != nil {
			d.send(j, action.Worker)
		}
	case decision.Reject, decision.Fail:
		if j := d.jobs[action.Job]; j != nil && j.near {
			d.offerAnywhere(j)
		} else if j != nil {
			d.giveBack(j, action.RetryAfter)
		}
	case decision.SetTimer:
		due := d.service.engine.now() + action.Delay
		d.service.engine.timers.add(timer{due: due, decider: d, token: action.Token})
	default: // the settings rule the others out
		d.service.engine.logger.Warn("the decision module asked for an action that is not allowed",
			zap.Uint8("kind", uint8(action.Kind)))
	}
}

// send starts an attempt if nothing is against it, else tells the module why there is none.
func (d *decider) send(j *job, to decision.WorkerID) {
	j.sends++
	j.worker = to
	engine := d.service.engine
	target := engine.destinations.byNumber[to]
	switch {
	case target == nil || !target.ready():
		d.report(j, decision.NeverSent, false)
	case target.flying >= target.limit:
		d.report(j, decision.Rejected, false)
	case j.entry.orphan || !engine.mayDeliver(j.entry):
		d.decline(j)
	case !j.hasToken && !d.service.bucket.take(engine.now()):
		d.decline(j)
	case !engine.gate.enter(j.entry.message.Partition, j.entry.generation):
		j.hasToken = true
		d.decline(j)
	default:
		j.hasToken, j.flying = false, true
		target.flying++
		engine.launch(d, j, target)
	}
}

// decline takes a job back from the module, as its message may not be sent now.
func (d *decider) decline(j *job) {
	d.report(j, decision.NeverSent, true)
	d.giveBack(j, 0)
}

// report tells the module how the last send of a job ended, and whether the job has ended with it.
func (d *decider) report(j *job, outcome decision.Outcome, closed bool) {
	d.handle(&decision.Event{
		Kind: decision.EventOutcome, Job: j.id, Attempt: j.sends - 1, Worker: j.worker, Outcome: outcome, JobEnded: closed,
	})
}

// giveBack returns a job's message to its lane.
func (d *decider) giveBack(j *job, retryAfter time.Duration) {
	d.drop(j)
	d.service.engine.requeue(j, retryAfter)
}

// drop forgets a job.
func (d *decider) drop(j *job) {
	delete(d.jobs, j.id)
	d.service.open--
	if j.hasToken {
		d.service.bucket.refund()
	}
}
