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
	completesAt       float64 // the value of the worker's servedEach at which the attempt is complete
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
	updateSeen   int             // number of the newest update applied; older ones that arrive later are ignored
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

func newDispatcher(sim *simulation, self, count int, lim DispatcherGroup, seed uint64) (*dispatcher, error) {
	zone := sim.zoneIndex[lim.Zone]
	m, err := decision.New(sim.moduleSettings(self, count, zone), seed)
	if err != nil {
		return nil, err
	}
	d := &dispatcher{sim: sim, zone: zone, limits: lim, module: m, jobs: map[decision.JobID]*job{}, workersByID: map[decision.WorkerID]*workerView{}}
	for _, w := range sim.workers {
		s := &workerView{worker: w, state: decision.Ready}
		d.workers = append(d.workers, s)
		d.workersByID[w.id] = s
	}
	return d, nil
}

func (d *dispatcher) entry(s *workerView) decision.Entry {
	e := decision.Entry{Worker: s.worker.id, Zone: s.worker.zone, Kind: s.worker.kindIndex, Weight: 1, State: s.state}
	if s.started > 0 {
		e.Started = clockStart + s.started
	}
	return e
}

// sendFullList sends the module the full list of workers, without those that are gone.
func (d *dispatcher) sendFullList(kind decision.ListKind) {
	ev := decision.Event{Kind: decision.EventList, List: kind}
	for _, s := range d.workers {
		if s.state != decision.Gone {
			ev.Entries = append(ev.Entries, d.entry(s))
		}
	}
	d.handle(&ev)
}

func (d *dispatcher) start() { d.sendFullList(decision.ListCached) }

// learnState schedules a discovery update with a worker's state, after a delay in seconds.
func (d *dispatcher) learnState(w *worker, state decision.State, delay float64) {
	d.updates++
	update := d.updates
	started := w.startedAt
	d.sim.schedule(sec(delay), func() {
		s := d.workersByID[w.id]
		if update < s.updateSeen { // a newer update arrived earlier
			return
		}
		s.updateSeen, s.state, s.started = update, state, started
		if state != decision.Ready {
			s.leavingSince = d.sim.now
		}
		d.handle(&decision.Event{Kind: decision.EventList, List: decision.ListDelta, Entries: []decision.Entry{d.entry(s)}})
	})
}

// handle sends the module an event and executes the actions that it returns.
func (d *dispatcher) handle(ev *decision.Event) {
	d.sim.result.Decisions++
	d.actions = d.module.Handle(clockStart+d.sim.now, ev, d.actions[:0])
	for _, a := range slices.Clone(d.actions) {
		t := d.jobs[a.Job]
		switch a.Kind {
		case decision.Send:
			if t != nil {
				d.send(t, a)
			}
		case decision.Reject, decision.Fail:
			if t != nil {
				d.answer(t, map[decision.ActionKind]requestOutcome{decision.Reject: rejected, decision.Fail: failed}[a.Kind], a.RetryAfter)
			}
		case decision.Cancel:
			if t != nil && a.Attempt < len(t.attempts) {
				c := t.attempts[a.Attempt]
				c.cancelled, c.connectionClosed = true, true
				d.sim.schedule(0, func() { d.attemptEnded(c, decision.Cancelled, decision.Load{}) })
			}
		case decision.SetTimer:
			token := a.Token
			d.sim.schedule(a.Delay, func() { d.handle(&decision.Event{Kind: decision.EventTimer, Token: token}) })
		case decision.Watch, decision.Fetch:
			if !d.watching {
				d.watching = true
				d.sim.schedule(ms(50+100*d.sim.networkRandom.Float64()), func() { d.sendFullList(decision.ListFull) })
			}
		}
	}
}

// accept makes a job of a client's request. Above the limit of open jobs it rejects the request at once.
func (d *dispatcher) accept(q *request, retry bool) {
	d.sim.result.Requests++
	if d.openJobs >= d.limits.OpenJobs {
		d.sim.result.Overflowed++
		d.answerClient(q, rejected, ms(d.sim.RetryAfterMs))
		return
	}
	d.openJobs++
	d.sim.result.PeakOpenJobs = max(d.sim.result.PeakOpenJobs, d.openJobs)
	for d.lastJobID++; d.lastJobID == 0 || d.jobs[d.lastJobID] != nil; d.lastJobID++ {
	}
	patience := q.deadline - d.sim.now
	t := &job{request: q, dispatcher: d, id: d.lastJobID, deadline: d.sim.now + patience - min(maxAnswerMargin, patience/4)}
	d.jobs[t.id] = t
	d.sim.schedule(t.deadline-d.sim.now, func() { d.deadlinePassed(t) })
	d.handle(&decision.Event{Kind: decision.EventJob, Job: t.id, Class: q.class, Tenant: q.tenant, Deadline: clockStart + t.deadline, Slots: 1, Retry: retry})
}

// answerClient sends the client the outcome of one of its tries. If the client does not retry, the request ends.
func (d *dispatcher) answerClient(q *request, v requestOutcome, after time.Duration) {
	if v == served || !d.sim.retry(q, after) {
		d.sim.finishRequest(q, v)
	}
}

// answer ends a job with its one answer to the client. A second answer is counted as a violation.
func (d *dispatcher) answer(t *job, v requestOutcome, after time.Duration) {
	if t.answered {
		d.sim.result.Violations[violationTwoAnswers]++
		return
	}
	t.answered = true
	d.openJobs--
	if v == rejected {
		d.sim.result.Rejections++
		if after <= 0 {
			after = ms(d.sim.RetryAfterMs)
		}
	}
	d.answerClient(t.request, v, after)
	d.forgetIfDone(t)
}

// forgetIfDone removes a job that is answered and has no attempt in flight.
func (d *dispatcher) forgetIfDone(t *job) {
	if t.answered && t.inFlight == 0 {
		delete(d.jobs, t.id)
	}
}

// deadlinePassed runs at a job's deadline. It times out the attempts in flight and fails a job that the module still
// has not answered.
func (d *dispatcher) deadlinePassed(t *job) {
	if t.answered {
		return
	}
	for _, a := range t.attempts {
		if !a.endedAtDispatcher {
			a.connectionClosed = true
			d.attemptEnded(a, decision.TimedOut, decision.Load{})
		}
	}
	if !t.answered {
		d.sim.result.Violations[violationDeadline]++
		d.answer(t, failed, 0)
	}
}

// send starts an attempt, on an idle connection if there is one, else on a new one.
func (d *dispatcher) send(t *job, act decision.Action) {
	s := d.workersByID[act.Worker]
	a := &attempt{job: t, number: len(t.attempts)}
	if t.inFlight > 0 {
		d.sim.result.Violations[violationTwoAttempts]++
	}
	t.attempts = append(t.attempts, a)
	t.inFlight++
	if s == nil || s.state != decision.Ready || t.answered {
		d.sim.result.Violations[violationNotReady]++
		d.sim.schedule(0, func() { d.attemptEnded(a, decision.NeverSent, decision.Load{}) })
		return
	}
	a.worker, a.incarnation, a.work = s.worker, s.worker.incarnation, t.work
	d.sim.result.AttemptsSent++
	hop := d.sim.networkDelay(d.zone, a.worker.zone)
	if a.worker.zone != d.zone {
		d.sim.result.CrossZoneAttempts++
	}
	if d.takeIdle(s) {
		d.sim.schedule(hop, func() { a.worker.arrive(a) })
		return
	}
	d.sim.result.ConnectionsDialled++
	if d.connections >= d.limits.Connections && !d.closeOldestIdle() {
		d.sim.result.ConnectionsExhausted++
		d.sim.schedule(0, func() { d.attemptEnded(a, decision.NeverSent, decision.Load{}) })
		return
	}
	trip := time.Duration(2 * d.sim.ConnectionRoundTrips * float64(hop))
	switch {
	case a.worker.unresponsive || trip > ms(d.sim.ConnectTimeoutMs):
		d.sim.schedule(ms(d.sim.ConnectTimeoutMs), func() { d.attemptEnded(a, decision.ConnectFailed, decision.Load{}) })
	case !a.worker.up:
		d.sim.schedule(trip, func() { d.attemptEnded(a, decision.ConnectFailed, decision.Load{}) })
	case a.worker.connections >= a.worker.kind.Connections:
		d.sim.result.Kinds[a.worker.kindIndex].RejectedConnections++
		d.sim.schedule(trip, func() { d.attemptEnded(a, decision.ConnectFailed, decision.Load{}) })
	default:
		d.connections++
		a.worker.connections++
		a.newConnection = true
		a.work += a.worker.kind.ConnectionMs / 1000
		d.sim.schedule(trip, func() {
			if s.state != decision.Ready { // the worker left while the connection was being set up
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
func (a *attempt) sendOutcome(o decision.Outcome, from *worker) {
	d := a.job.dispatcher
	var load decision.Load
	if from != nil {
		load = from.latestReport()
	}
	d.sim.schedule(d.sim.networkDelay(a.worker.zone, d.zone), func() {
		if !a.connectionClosed {
			d.attemptEnded(a, o, load)
		}
	})
}

// attemptEnded handles an attempt's outcome at the dispatcher. Only the first outcome of an attempt counts.
func (d *dispatcher) attemptEnded(a *attempt, o decision.Outcome, load decision.Load) {
	if a.endedAtDispatcher {
		return
	}
	a.endedAtDispatcher = true
	t := a.job
	t.inFlight--
	d.sim.result.Outcomes[o]++
	if a.worker != nil {
		if s := d.workersByID[a.worker.id]; (o == decision.OK || o == decision.Rejected) && a.incarnation == a.worker.incarnation && a.worker.up {
			d.keepIdle(s)
		} else if o != decision.NeverSent && o != decision.ConnectFailed || a.newConnection {
			d.closeConnection(a.worker, a.incarnation)
		}
	}
	if o == decision.OK && !t.answered {
		d.answer(t, served, 0)
	}
	id := decision.WorkerID(0)
	if a.worker != nil {
		id = a.worker.id
	}
	d.handle(&decision.Event{Kind: decision.EventOutcome, Job: t.id, Attempt: a.number, Worker: id, Outcome: o, JobEnded: t.answered, Load: load})
	d.forgetIfDone(t)
}
