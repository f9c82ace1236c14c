package fleetsim

import (
	"slices"
	"time"

	"gladepick/internal/decision"
)

// clockStart is where a decision module's clock starts, as in the core: so workers that started before have times above
// zero.
const clockStart = time.Hour

// maxAnswerMargin is the most time before the client's deadline at which the dispatcher's own deadline lies.
const maxAnswerMargin = 40 * time.Millisecond

// job is one attempt of a client at a dispatcher.
type job struct {
	*request
	dispatcher *dispatcher
	id         decision.JobID
	deadline   time.Duration
	attempts   []*attempt
	inFlight   int // attempts
	answered   bool
}

// attempt is one delivery of a job to a worker.
type attempt struct {
	job               *job
	worker            *worker
	number            int     // within its job, from 0
	incarnation       int     // of the worker, when the attempt was sent
	work              float64 // seconds on a core of speed 1
	completesAt       float64 // the worker's servedEach at which the attempt is complete
	newConnection     bool    // not one that was idle
	started           bool
	endedAtWorker     bool
	endedAtDispatcher bool
	cancelled         bool
	connectionClosed  bool // so nothing of it reaches the dispatcher
}

// workerView is what a dispatcher knows of a worker.
type workerView struct {
	worker       *worker
	state        decision.State
	started      time.Duration
	leavingSince time.Duration   // when discovery told that it leaves
	idleSince    []time.Duration // of each idle connection, the oldest first
	updateSeen   int             // the newest update, so that late ones do not undo it
}

// dispatcher is a real decision module, and a model of the core around it. It counts the core's rules that are broken.
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
	watching    bool // discovery has been asked for
	updates     int  // of discovery so far
}

func newDispatcher(d *simulation, self, count int, lim DispatcherGroup, seed uint64) (*dispatcher, error) {
	zone := d.zoneIndex[lim.Zone]
	m, err := decision.New(d.moduleSettings(self, count, zone), seed)
	if err != nil {
		return nil, err
	}
	n := &dispatcher{sim: d, zone: zone, limits: lim, module: m, jobs: map[decision.JobID]*job{}, workersByID: map[decision.WorkerID]*workerView{}}
	for _, w := range d.workers {
		s := &workerView{worker: w, state: decision.Ready}
		n.workers = append(n.workers, s)
		n.workersByID[w.id] = s
	}
	return n, nil
}

func (n *dispatcher) entry(s *workerView) decision.Entry {
	e := decision.Entry{Worker: s.worker.id, Zone: s.worker.zone, Kind: s.worker.kindIndex, Weight: 1, State: s.state}
	if s.started > 0 {
		e.Started = clockStart + s.started
	}
	return e
}

// sendFullList gives the module the whole list of workers.
func (n *dispatcher) sendFullList(kind decision.ListKind) {
	ev := decision.Event{Kind: decision.EventList, List: kind}
	for _, s := range n.workers {
		if s.state != decision.Gone {
			ev.Entries = append(ev.Entries, n.entry(s))
		}
	}
	n.handle(&ev)
}

func (n *dispatcher) start() { n.sendFullList(decision.ListCached) }

// learnState lets discovery tell of a worker's state after a delay in seconds.
func (n *dispatcher) learnState(w *worker, state decision.State, delay float64) {
	n.updates++
	update := n.updates
	started := w.startedAt
	n.sim.schedule(sec(delay), func() {
		s := n.workersByID[w.id]
		if update < s.updateSeen { // a newer update has come before
			return
		}
		s.updateSeen, s.state, s.started = update, state, started
		if state != decision.Ready {
			s.leavingSince = n.sim.now
		}
		n.handle(&decision.Event{Kind: decision.EventList, List: decision.ListDelta, Entries: []decision.Entry{n.entry(s)}})
	})
}

// handle gives the module an event and carries out the actions that it answers with.
func (n *dispatcher) handle(ev *decision.Event) {
	n.sim.result.Decisions++
	n.actions = n.module.Handle(clockStart+n.sim.now, ev, n.actions[:0])
	for _, a := range slices.Clone(n.actions) {
		t := n.jobs[a.Job]
		switch a.Kind {
		case decision.Send:
			if t != nil {
				n.send(t, a)
			}
		case decision.Reject, decision.Fail:
			if t != nil {
				n.answer(t, map[decision.ActionKind]requestOutcome{decision.Reject: rejected, decision.Fail: failed}[a.Kind], a.RetryAfter)
			}
		case decision.Cancel:
			if t != nil && a.Attempt < len(t.attempts) {
				c := t.attempts[a.Attempt]
				c.cancelled, c.connectionClosed = true, true
				n.sim.schedule(0, func() { n.attemptEnded(c, decision.Cancelled, decision.Load{}) })
			}
		case decision.SetTimer:
			token := a.Token
			n.sim.schedule(a.Delay, func() { n.handle(&decision.Event{Kind: decision.EventTimer, Token: token}) })
		case decision.Watch, decision.Fetch:
			if !n.watching {
				n.watching = true
				n.sim.schedule(ms(50+100*n.sim.networkRandom.Float64()), func() { n.sendFullList(decision.ListFull) })
			}
		}
	}
}

// accept takes a client's request. Beyond the limit of open jobs it is rejected at once.
func (n *dispatcher) accept(q *request, retry bool) {
	n.sim.result.Requests++
	if n.openJobs >= n.limits.OpenJobs {
		n.sim.result.Overflowed++
		n.answerClient(q, rejected, ms(n.sim.RetryAfterMs))
		return
	}
	n.openJobs++
	n.sim.result.PeakOpenJobs = max(n.sim.result.PeakOpenJobs, n.openJobs)
	for n.lastJobID++; n.lastJobID == 0 || n.jobs[n.lastJobID] != nil; n.lastJobID++ {
	}
	patience := q.deadline - n.sim.now
	t := &job{request: q, dispatcher: n, id: n.lastJobID, deadline: n.sim.now + patience - min(maxAnswerMargin, patience/4)}
	n.jobs[t.id] = t
	n.sim.schedule(t.deadline-n.sim.now, func() { n.deadlinePassed(t) })
	n.handle(&decision.Event{Kind: decision.EventJob, Job: t.id, Class: q.class, Tenant: q.tenant, Deadline: clockStart + t.deadline, Slots: 1, Retry: retry})
}

// answerClient gives the client the answer to one attempt of its own; it may retry.
func (n *dispatcher) answerClient(q *request, v requestOutcome, after time.Duration) {
	if v == served || !n.sim.retry(q, after) {
		n.sim.finishRequest(q, v)
	}
}

// answer ends a job.
func (n *dispatcher) answer(t *job, v requestOutcome, after time.Duration) {
	if t.answered {
		n.sim.result.Violations[violationTwoAnswers]++
		return
	}
	t.answered = true
	n.openJobs--
	if v == rejected {
		n.sim.result.Rejections++
		if after <= 0 {
			after = ms(n.sim.RetryAfterMs)
		}
	}
	n.answerClient(t.request, v, after)
	n.forgetIfDone(t)
}

// forgetIfDone removes a job that has its answer and no attempt in flight.
func (n *dispatcher) forgetIfDone(t *job) {
	if t.answered && t.inFlight == 0 {
		delete(n.jobs, t.id)
	}
}

// deadlinePassed fails a job that the module should have answered by now.
func (n *dispatcher) deadlinePassed(t *job) {
	if t.answered {
		return
	}
	for _, a := range t.attempts {
		if !a.endedAtDispatcher {
			a.connectionClosed = true
			n.attemptEnded(a, decision.TimedOut, decision.Load{})
		}
	}
	if !t.answered {
		n.sim.result.Violations[violationDeadline]++
		n.answer(t, failed, 0)
	}
}

// send starts an attempt, over an idle connection or a new one.
func (n *dispatcher) send(t *job, act decision.Action) {
	s := n.workersByID[act.Worker]
	a := &attempt{job: t, number: len(t.attempts)}
	if t.inFlight > 0 {
		n.sim.result.Violations[violationTwoAttempts]++
	}
	t.attempts = append(t.attempts, a)
	t.inFlight++
	if s == nil || s.state != decision.Ready || t.answered {
		n.sim.result.Violations[violationNotReady]++
		n.sim.schedule(0, func() { n.attemptEnded(a, decision.NeverSent, decision.Load{}) })
		return
	}
	a.worker, a.incarnation, a.work = s.worker, s.worker.incarnation, t.work
	n.sim.result.AttemptsSent++
	hop := n.sim.networkDelay(n.zone, a.worker.zone)
	if a.worker.zone != n.zone {
		n.sim.result.CrossZoneAttempts++
	}
	if n.takeIdle(s) {
		n.sim.schedule(hop, func() { a.worker.arrive(a) })
		return
	}
	n.sim.result.ConnectionsDialled++
	if n.connections >= n.limits.Connections && !n.closeOldestIdle() {
		n.sim.result.ConnectionsExhausted++
		n.sim.schedule(0, func() { n.attemptEnded(a, decision.NeverSent, decision.Load{}) })
		return
	}
	trip := time.Duration(2 * n.sim.ConnectionRoundTrips * float64(hop))
	switch {
	case a.worker.unresponsive || trip > ms(n.sim.ConnectTimeoutMs):
		n.sim.schedule(ms(n.sim.ConnectTimeoutMs), func() { n.attemptEnded(a, decision.ConnectFailed, decision.Load{}) })
	case !a.worker.up:
		n.sim.schedule(trip, func() { n.attemptEnded(a, decision.ConnectFailed, decision.Load{}) })
	case a.worker.connections >= a.worker.kind.Connections:
		n.sim.result.Kinds[a.worker.kindIndex].RejectedConnections++
		n.sim.schedule(trip, func() { n.attemptEnded(a, decision.ConnectFailed, decision.Load{}) })
	default:
		n.connections++
		a.worker.connections++
		a.newConnection = true
		a.work += a.worker.kind.ConnectionMs / 1000
		n.sim.schedule(trip, func() {
			if s.state != decision.Ready { // it left while the connection was set up
				n.attemptEnded(a, decision.NeverSent, decision.Load{})
				return
			}
			n.sim.schedule(hop, func() { a.worker.arrive(a) })
		})
	}
}

// sendProgress carries a worker's progress report to the dispatcher.
func (a *attempt) sendProgress(kind decision.ProgressKind, share float64) {
	n := a.job.dispatcher
	n.sim.schedule(n.sim.networkDelay(a.worker.zone, n.zone), func() {
		if !a.endedAtDispatcher && !a.connectionClosed {
			n.handle(&decision.Event{Kind: decision.EventJobProgress, Job: a.job.id, Attempt: a.number, Worker: a.worker.id, Progress: kind, Value: share})
		}
	})
}

// sendOutcome carries an outcome to the dispatcher, with the worker's newest load report where from is given.
func (a *attempt) sendOutcome(o decision.Outcome, from *worker) {
	n := a.job.dispatcher
	var load decision.Load
	if from != nil {
		load = from.latestReport()
	}
	n.sim.schedule(n.sim.networkDelay(a.worker.zone, n.zone), func() {
		if !a.connectionClosed {
			n.attemptEnded(a, o, load)
		}
	})
}

// attemptEnded is an attempt's one outcome at the dispatcher.
func (n *dispatcher) attemptEnded(a *attempt, o decision.Outcome, load decision.Load) {
	if a.endedAtDispatcher {
		return
	}
	a.endedAtDispatcher = true
	t := a.job
	t.inFlight--
	n.sim.result.Outcomes[o]++
	if a.worker != nil {
		if s := n.workersByID[a.worker.id]; (o == decision.OK || o == decision.Rejected) && a.incarnation == a.worker.incarnation && a.worker.up {
			n.keepIdle(s)
		} else if o != decision.NeverSent && o != decision.ConnectFailed || a.newConnection {
			n.closeConnection(a.worker, a.incarnation)
		}
	}
	if o == decision.OK && !t.answered {
		n.answer(t, served, 0)
	}
	id := decision.WorkerID(0)
	if a.worker != nil {
		id = a.worker.id
	}
	n.handle(&decision.Event{Kind: decision.EventOutcome, Job: t.id, Attempt: a.number, Worker: id, Outcome: o, JobEnded: t.answered, Load: load})
	n.forgetIfDone(t)
}
