package delivery

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/configuration"
	"gladepick/internal/decision"
)

// decisionAdapter connects a service to its own decision module. It translates what happens into events of the module
// and executes the module's actions. The module does no I/O and starts no goroutines. All of it runs on the event loop.
type decisionAdapter struct {
	service  *service
	module   *decision.Dispatcher
	classes  map[string]int // by route name
	jobs     map[decision.JobID]*job
	lastID   decision.JobID
	events   []decision.Event // not handled yet
	actions  []decision.Action
	lastList []decision.Entry // the last full list; nil once changes were sent after it
	handling bool
}

// job is a message that is submitted to the decision module. The job ends when its message ends or is queued again.
type job struct {
	id          decision.JobID
	queued      *queuedMessage
	route       *configuration.Route
	sends       int               // number of sends that the module has requested for the current id
	worker      decision.WorkerID // that the last send went to
	hasToken    bool              // it has taken a token of the rate limiter for its next send
	inFlight    bool
	ownZoneOnly bool          // only workers of the store's zone may take it
	lastResult  attemptResult // of its last attempt; 0 before that
}

// newDecisionAdapter creates a decision module for the current routes and endpoints of a service.
func newDecisionAdapter(s *service) (*decisionAdapter, error) {
	module, err := decision.New(moduleSettings(s.routes), s.engine.random.Uint64())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	adapter := &decisionAdapter{service: s, module: module, jobs: make(map[decision.JobID]*job), classes: make(map[string]int)}
	for i, route := range s.routes {
		adapter.classes[route.Name] = i
	}
	adapter.sendWorkerList()
	return adapter, nil
}

// sendWorkerList sends all endpoints to the module, unless the module already has that list.
func (d *decisionAdapter) sendWorkerList() {
	event := decision.Event{Kind: decision.EventList, List: decision.ListFull}
	event.Entries = make([]decision.Entry, 0, len(d.service.endpoints))
	for _, target := range d.service.endpoints {
		event.Entries = append(event.Entries, target.listEntry())
	}
	if !d.isLastList(event.Entries) {
		d.handle(&event)
	}
}

// sendWorkerChanges sends some endpoints to the module, as a change of the list.
func (d *decisionAdapter) sendWorkerChanges(changed []*endpoint) {
	event := decision.Event{Kind: decision.EventList, List: decision.ListDelta}
	for _, target := range changed {
		event.Entries = append(event.Entries, target.listEntry())
	}
	d.lastList = nil
	d.handle(&event)
}

// isLastList reports whether entries is the list that the module already has. If it is not, isLastList records it as
// that list.
func (d *decisionAdapter) isLastList(entries []decision.Entry) bool {
	if d.lastList != nil && slices.Equal(d.lastList, entries) {
		return true
	}
	d.lastList = entries
	return false
}

// offer submits a message to the module. The caller has checked that the rate limiter has a token. The module suspects
// a worker as soon as one of its responses is slow. So if the module finds no worker, although some are not ejected and
// have capacity, offer resets the health of those and submits the message once more.
func (d *decisionAdapter) offer(queued *queuedMessage, route *configuration.Route) {
	now := d.service.engine.now()
	queued.state = dispatched
	offered := &job{
		queued:      queued,
		route:       route,
		hasToken:    d.service.rateLimiter.tryTake(now),
		ownZoneOnly: d.service.hasOwnZoneCapacity(),
	}
	d.service.dispatched++
	d.submit(offered, now)
	if offered.ownZoneOnly && d.isPending(offered) {
		d.offerToAllZones(offered)
	}
	if d.isPending(offered) && d.service.resetIdleHealth(now) {
		d.cancelPending(offered)
		d.submit(offered, now)
	}
}

// offerToAllZones submits a job again, now to the workers of all zones, because the workers of the store's zone cannot
// take it.
func (d *decisionAdapter) offerToAllZones(j *job) {
	d.cancelPending(j)
	j.ownZoneOnly = false
	d.submit(j, d.service.engine.now())
}

// class returns the decision module's class of a job. Each route has two classes: the first half of the classes allows
// the workers of all zones, the second half only those of the store's zone.
func (d *decisionAdapter) class(j *job) int {
	class := d.classes[j.route.Name]
	if j.ownZoneOnly {
		class += len(d.classes)
	}
	return class
}

// cancelPending removes a pending job from the module. The module has no event for a cancellation, so the adapter
// reports that the client has left.
func (d *decisionAdapter) cancelPending(pending *job) {
	d.handle(&decision.Event{Kind: decision.EventClientLeft, Job: pending.id})
	delete(d.jobs, pending.id)
}

// returnPending returns the messages of all pending jobs to their route queues.
func (d *decisionAdapter) returnPending() {
	for _, j := range d.jobs {
		if d.isPending(j) {
			d.cancelPending(j)
			d.returnToQueue(j, 0)
		}
	}
}

// submit gives a job a new id and submits it to the module.
func (d *decisionAdapter) submit(j *job, now time.Duration) {
	d.lastID++
	j.id, j.sends = d.lastID, 0
	d.jobs[j.id] = j
	d.handle(&decision.Event{
		Kind: decision.EventJob, Job: j.id, Class: d.class(j), Tenant: tenantOf(j.route.Name), Slots: 1,
		Deadline: now + jobTimeout(j.route),
	})
}

// isPending reports whether the module has a job and no attempt of it is in flight.
func (d *decisionAdapter) isPending(j *job) bool { return d.jobs[j.id] == j && !j.inFlight }

// handle passes an event to the module and executes the resulting actions in order. Events that these actions cause are
// handled after them.
func (d *decisionAdapter) handle(event *decision.Event) {
	d.events = append(d.events, *event)
	if d.handling {
		return
	}
	d.handling = true
	for len(d.events) > 0 {
		next := d.events[0]
		d.events = d.events[1:]
		d.actions = d.module.Handle(d.service.engine.now(), &next, d.actions[:0])
		for i := range d.actions {
			d.execute(&d.actions[i])
		}
	}
	d.events = d.events[:0]
	d.handling = false
}

// execute executes one action of the module.
func (d *decisionAdapter) execute(action *decision.Action) {
	switch action.Kind {
	case decision.Send:
		if j := d.jobs[action.Job]; j != nil {
			d.send(j, action.Worker)
		}
	case decision.Reject, decision.Fail:
		if j := d.jobs[action.Job]; j != nil && j.ownZoneOnly {
			d.offerToAllZones(j)
		} else if j != nil {
			d.returnToQueue(j, action.RetryAfter)
		}
	case decision.SetTimer:
		due := d.service.engine.now() + action.Delay
		d.service.engine.timers.add(timer{due: due, adapter: d, token: action.Token})
	default: // the module's settings rule out all other actions
		d.service.engine.logger.Warn("decision module requested an unsupported action",
			zap.Uint8("action", uint8(action.Kind)))
	}
}

// send starts an attempt at a worker if all limits and gates permit it. If they do not, it reports to the module why
// nothing was sent.
func (d *decisionAdapter) send(j *job, workerID decision.WorkerID) {
	j.sends++
	j.worker = workerID
	engine := d.service.engine
	target := engine.endpoints.byWorkerID[workerID]
	switch {
	case target == nil || !target.ready():
		d.reportOutcome(j, decision.NeverSent, false)
	case target.inFlight >= target.limit:
		d.reportOutcome(j, decision.Rejected, false)
	case j.queued.orphan || !engine.mayDeliver(j.queued):
		d.decline(j)
	case !j.hasToken && !d.service.rateLimiter.tryTake(engine.now()):
		d.decline(j)
	case !engine.gates.enter(j.queued.message.Partition, j.queued.generation):
		j.hasToken = true
		d.decline(j)
	default:
		j.hasToken, j.inFlight = false, true
		target.inFlight++
		engine.startAttempt(d, j, target)
	}
}

// decline ends a job whose message may not be sent now, and returns the message to its route queue.
func (d *decisionAdapter) decline(j *job) {
	d.reportOutcome(j, decision.NeverSent, true)
	d.returnToQueue(j, 0)
}

// reportOutcome reports to the module how the last send of a job ended, and whether the job has ended with it.
func (d *decisionAdapter) reportOutcome(j *job, outcome decision.Outcome, jobEnded bool) {
	d.handle(&decision.Event{
		Kind: decision.EventOutcome, Job: j.id, Attempt: j.sends - 1, Worker: j.worker, Outcome: outcome, JobEnded: jobEnded,
	})
}

// returnToQueue ends a job and returns its message to its route queue.
func (d *decisionAdapter) returnToQueue(j *job, retryAfter time.Duration) {
	d.removeJob(j)
	d.service.engine.requeue(j, retryAfter)
}

// removeJob removes a job. If the job holds an unused token, the token is returned to the rate limiter.
func (d *decisionAdapter) removeJob(j *job) {
	delete(d.jobs, j.id)
	d.service.dispatched--
	if j.hasToken {
		d.service.rateLimiter.refund()
	}
}
