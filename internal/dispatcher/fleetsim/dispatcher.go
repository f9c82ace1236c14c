package fleetsim

import (
	"slices"
	"time"

	"gladepick/internal/decision"
)

// clockStart is the decision module's clock at the start of a day, as in the dispatcher's core. It is above zero so
// that the start times of workers that run already are above zero, too.
const clockStart = time.Hour

// maxAnswerMargin is the longest time by which the dispatcher's own deadline precedes the client's.
const maxAnswerMargin = 40 * time.Millisecond

// job is one try of a client's request at a dispatcher. A retry of the client is a new job.
type job struct {
	*request
	dispatcher *dispatcher
	id         decision.JobID
	deadline   time.Duration
	attempts   []*attempt
	inFlight   int // attempts without an outcome
	answered   bool
}

// attempt is one delivery of a job to a worker.
type attempt struct {
	job               *job
	worker            *worker
	number            int     // within its job, from 0
	incarnation       int     // of the worker, when the attempt was sent
	work              float64 // seconds on a core of speed 1
	completesAt       float64 // the value of the worker's servedPerJob at which the attempt is complete
	newConnection     bool    // sent on a connection dialled for it, not on an idle one
	started           bool
	endedAtWorker     bool
	endedAtDispatcher bool
	cancelled         bool
	connectionClosed  bool // nothing that the worker sends reaches the dispatcher any more
}

// workerView is what a dispatcher knows of a worker.
type workerView struct {
	worker       *worker
	state        decision.State
	started      time.Duration
	leavingSince time.Duration   // when discovery last reported a state other than ready
	idleSince    []time.Duration // of each idle connection, the oldest first
	lastUpdate   int             // number of the newest update applied; older ones that arrive later are ignored
}

// dispatcher runs a real decision module inside a model of the dispatcher's core. It counts violations of the rules
// that the core relies on.
type dispatcher struct {
	sim         *simulation
	zone        int
	limits      DispatcherGroup
	module      *decision.Dispatcher
	actions     []decision.Action
	lastJobID   decision.JobID
	jobs        map[decision.JobID]*job
	openJobs    int
	connections int
	workers     []*workerView
	workersByID map[decision.WorkerID]*workerView
	watching    bool // the module has asked for the list of workers
	updates     int  // discovery updates scheduled so far
}

func newDispatcher(sim *simulation, self, count int, group DispatcherGroup, seed uint64) (*dispatcher, error) {
	zone := sim.zoneIndex[group.Zone]
	decisionModule, err := decision.New(sim.moduleSettings(self, count, zone), seed)
	if err != nil {
		return nil, err
	}
	d := &dispatcher{sim: sim, zone: zone, limits: group, module: decisionModule, jobs: map[decision.JobID]*job{}, workersByID: map[decision.WorkerID]*workerView{}}
	for _, w := range sim.workers {
		view := &workerView{worker: w, state: decision.Ready}
		d.workers = append(d.workers, view)
		d.workersByID[w.id] = view
	}
	return d, nil
}

func (d *dispatcher) entry(view *workerView) decision.Entry {
	e := decision.Entry{Worker: view.worker.id, Zone: view.worker.zone, Kind: view.worker.kindIndex, Weight: 1, State: view.state}
	if view.started > 0 {
		e.Started = clockStart + view.started
	}
	return e
}

// sendFullList sends the module the full list of workers, without those that are gone.
func (d *dispatcher) sendFullList(kind decision.ListKind) {
	event := decision.Event{Kind: decision.EventList, List: kind}
	for _, view := range d.workers {
		if view.state != decision.Gone {
			event.Entries = append(event.Entries, d.entry(view))
		}
	}
	d.handle(&event)
}

func (d *dispatcher) start() { d.sendFullList(decision.ListCached) }

// learnState schedules a discovery update with a worker's state, after a delay in seconds.
func (d *dispatcher) learnState(w *worker, state decision.State, delay float64) {
	d.updates++
	update := d.updates
	started := w.startedAt
	d.sim.schedule(sec(delay), func() {
		view := d.workersByID[w.id]
		if update < view.lastUpdate { // a newer update arrived earlier
			return
		}
		view.lastUpdate, view.state, view.started = update, state, started
		if state != decision.Ready {
			view.leavingSince = d.sim.now
		}
		d.handle(&decision.Event{Kind: decision.EventList, List: decision.ListDelta, Entries: []decision.Entry{d.entry(view)}})
	})
}

// handle sends the module an event and executes the actions that it returns.
func (d *dispatcher) handle(event *decision.Event) {
	d.sim.result.Decisions++
	d.actions = d.module.Handle(clockStart+d.sim.now, event, d.actions[:0])
	for _, action := range slices.Clone(d.actions) {
		j := d.jobs[action.Job]
		switch action.Kind {
		case decision.Send:
			if j != nil {
				d.send(j, action)
			}
		case decision.Reject, decision.Fail:
			if j != nil {
				d.answer(j, map[decision.ActionKind]requestOutcome{decision.Reject: rejected, decision.Fail: failed}[action.Kind], action.RetryAfter)
			}
		case decision.Cancel:
			if j != nil && action.Attempt < len(j.attempts) {
				a := j.attempts[action.Attempt]
				a.cancelled, a.connectionClosed = true, true
				d.sim.schedule(0, func() { d.attemptEnded(a, decision.Cancelled, decision.Load{}) })
			}
		case decision.SetTimer:
			token := action.Token
			d.sim.schedule(action.Delay, func() { d.handle(&decision.Event{Kind: decision.EventTimer, Token: token}) })
		case decision.Watch, decision.Fetch:
			if !d.watching {
				d.watching = true
				d.sim.schedule(ms(50+100*d.sim.networkRandom.Float64()), func() { d.sendFullList(decision.ListFull) })
			}
		}
	}
}

// accept makes a job of a client's request. Above the limit of open jobs it rejects the request at once.
func (d *dispatcher) accept(req *request, retry bool) {
	d.sim.result.Requests++
	if d.openJobs >= d.limits.OpenJobs {
		d.sim.result.Overflowed++
		d.answerClient(req, rejected, ms(d.sim.RetryAfterMs))
		return
	}
	d.openJobs++
	d.sim.result.PeakOpenJobs = max(d.sim.result.PeakOpenJobs, d.openJobs)
	for d.lastJobID++; d.lastJobID == 0 || d.jobs[d.lastJobID] != nil; d.lastJobID++ {
	}
	remaining := req.deadline - d.sim.now
	j := &job{request: req, dispatcher: d, id: d.lastJobID, deadline: d.sim.now + remaining - min(maxAnswerMargin, remaining/4)}
	d.jobs[j.id] = j
	d.sim.schedule(j.deadline-d.sim.now, func() { d.deadlinePassed(j) })
	d.handle(&decision.Event{Kind: decision.EventJob, Job: j.id, Class: req.class, Tenant: req.tenant, Deadline: clockStart + j.deadline, Slots: 1, Retry: retry})
}

// answerClient sends the client the outcome of one of its tries. If the client does not retry, the request ends.
func (d *dispatcher) answerClient(req *request, outcome requestOutcome, retryAfter time.Duration) {
	if outcome == served || !d.sim.retry(req, retryAfter) {
		d.sim.finishRequest(req, outcome)
	}
}

// answer ends a job with its one answer to the client. A second answer is counted as a violation.
func (d *dispatcher) answer(j *job, outcome requestOutcome, retryAfter time.Duration) {
	if j.answered {
		d.sim.result.Violations[violationTwoAnswers]++
		return
	}
	j.answered = true
	d.openJobs--
	if outcome == rejected {
		d.sim.result.Rejections++
		if retryAfter <= 0 {
			retryAfter = ms(d.sim.RetryAfterMs)
		}
	}
	d.answerClient(j.request, outcome, retryAfter)
	d.forgetIfDone(j)
}

// forgetIfDone removes a job that is answered and has no attempt in flight.
func (d *dispatcher) forgetIfDone(j *job) {
	if j.answered && j.inFlight == 0 {
		delete(d.jobs, j.id)
	}
}

// deadlinePassed runs at a job's deadline. It times out the attempts in flight and fails a job that the module still
// has not answered.
func (d *dispatcher) deadlinePassed(j *job) {
	if j.answered {
		return
	}
	for _, a := range j.attempts {
		if !a.endedAtDispatcher {
			a.connectionClosed = true
			d.attemptEnded(a, decision.TimedOut, decision.Load{})
		}
	}
	if !j.answered {
		d.sim.result.Violations[violationDeadline]++
		d.answer(j, failed, 0)
	}
}

// send starts an attempt, on an idle connection if there is one, else on a new one.
func (d *dispatcher) send(j *job, action decision.Action) {
	view := d.workersByID[action.Worker]
	a := &attempt{job: j, number: len(j.attempts)}
	if j.inFlight > 0 {
		d.sim.result.Violations[violationTwoAttempts]++
	}
	j.attempts = append(j.attempts, a)
	j.inFlight++
	if view == nil || view.state != decision.Ready || j.answered {
		d.sim.result.Violations[violationNotReady]++
		d.sim.schedule(0, func() { d.attemptEnded(a, decision.NeverSent, decision.Load{}) })
		return
	}
	a.worker, a.incarnation, a.work = view.worker, view.worker.incarnation, j.work
	d.sim.result.AttemptsSent++
	hop := d.sim.networkDelay(d.zone, a.worker.zone)
	if a.worker.zone != d.zone {
		d.sim.result.CrossZoneAttempts++
	}
	if d.takeIdle(view) {
		d.sim.schedule(hop, func() { a.worker.arrive(a) })
		return
	}
	d.sim.result.ConnectionsDialled++
	if d.connections >= d.limits.Connections && !d.closeOldestIdle() {
		d.sim.result.ConnectionsExhausted++
		d.sim.schedule(0, func() { d.attemptEnded(a, decision.NeverSent, decision.Load{}) })
		return
	}
	setup := time.Duration(2 * d.sim.ConnectionRoundTrips * float64(hop))
	switch {
	case a.worker.unresponsive || setup > ms(d.sim.ConnectTimeoutMs):
		d.sim.schedule(ms(d.sim.ConnectTimeoutMs), func() { d.attemptEnded(a, decision.ConnectFailed, decision.Load{}) })
	case !a.worker.up:
		d.sim.schedule(setup, func() { d.attemptEnded(a, decision.ConnectFailed, decision.Load{}) })
	case a.worker.connections >= a.worker.kind.Connections:
		d.sim.result.Kinds[a.worker.kindIndex].RejectedConnections++
		d.sim.schedule(setup, func() { d.attemptEnded(a, decision.ConnectFailed, decision.Load{}) })
	default:
		d.connections++
		a.worker.connections++
		a.newConnection = true
		a.work += a.worker.kind.ConnectionMs / 1000
		d.sim.schedule(setup, func() {
			if view.state != decision.Ready { // the worker left while the connection was being set up
				d.attemptEnded(a, decision.NeverSent, decision.Load{})
				return
			}
			d.sim.schedule(hop, func() { a.worker.arrive(a) })
		})
	}
}

// sendProgress sends a worker's progress report to the dispatcher.
func (a *attempt) sendProgress(kind decision.ProgressKind, share float64) {
	d := a.job.dispatcher
	d.sim.schedule(d.sim.networkDelay(a.worker.zone, d.zone), func() {
		if !a.endedAtDispatcher && !a.connectionClosed {
			d.handle(&decision.Event{Kind: decision.EventJobProgress, Job: a.job.id, Attempt: a.number, Worker: a.worker.id, Progress: kind, Value: share})
		}
	})
}

// sendOutcome sends an outcome to the dispatcher, with the newest load report of the given worker unless it is nil.
func (a *attempt) sendOutcome(outcome decision.Outcome, reporter *worker) {
	d := a.job.dispatcher
	var load decision.Load
	if reporter != nil {
		load = reporter.latestReport()
	}
	d.sim.schedule(d.sim.networkDelay(a.worker.zone, d.zone), func() {
		if !a.connectionClosed {
			d.attemptEnded(a, outcome, load)
		}
	})
}

// attemptEnded handles an attempt's outcome at the dispatcher. Only the first outcome of an attempt counts.
func (d *dispatcher) attemptEnded(a *attempt, outcome decision.Outcome, load decision.Load) {
	if a.endedAtDispatcher {
		return
	}
	a.endedAtDispatcher = true
	j := a.job
	j.inFlight--
	d.sim.result.Outcomes[outcome]++
	if a.worker != nil {
		if view := d.workersByID[a.worker.id]; (outcome == decision.OK || outcome == decision.Rejected) && a.incarnation == a.worker.incarnation && a.worker.up {
			d.keepIdle(view)
		} else if outcome != decision.NeverSent && outcome != decision.ConnectFailed || a.newConnection {
			d.closeConnection(a.worker, a.incarnation)
		}
	}
	if outcome == decision.OK && !j.answered {
		d.answer(j, served, 0)
	}
	id := decision.WorkerID(0)
	if a.worker != nil {
		id = a.worker.id
	}
	d.handle(&decision.Event{Kind: decision.EventOutcome, Job: j.id, Attempt: a.number, Worker: id, Outcome: outcome, JobEnded: j.answered, Load: load})
	d.forgetIfDone(j)
}
