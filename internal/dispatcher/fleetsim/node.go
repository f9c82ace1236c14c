// A dispatcher of the model: the decision module and what the core does round
// it, in virtual time. It holds itself to the core's promises and counts where
// one is broken.

package fleetsim

import (
	"slices"
	"time"

	"gladepick/internal/decision"
)

// past is where a module's clock starts, as in the core: workers that started before have times above zero.
const past = time.Hour

// try is one try of a client at a dispatcher.
type try struct {
	*request
	node     *node
	id       decision.JobID
	until    time.Duration
	sends    []*attempt
	out      int
	answered bool
}

// attempt is one send. finish and started are the worker's side.
type attempt struct {
	try      *try
	w        *worker
	number   int
	process  int
	work     float64
	finish   float64
	fresh    bool // on a connection of its own
	started  bool
	ended    bool // at the worker
	over     bool // at the dispatcher
	recalled bool
	lost     bool // its connection is closed
}

// seat is what a dispatcher knows of a worker.
type seat struct {
	w       *worker
	state   decision.State
	started time.Duration
	told    time.Duration // when it was told to leave
	idle    []time.Duration
	gone    int // counts news, so that late ones do not undo newer ones
}

type node struct {
	d        *day
	zone     int
	lim      DispatcherGroup
	module   *decision.Dispatcher
	acts     []decision.Action
	last     decision.JobID
	jobs     map[decision.JobID]*try
	open     int
	links    int
	seats    []*seat
	byID     map[decision.WorkerID]*seat
	watching bool
	news     int
}

func newNode(d *day, self, count int, lim DispatcherGroup, seed uint64) (*node, error) {
	zone := d.zone[lim.Zone]
	m, err := decision.New(d.settings(self, count, zone), seed)
	if err != nil {
		return nil, err
	}
	n := &node{d: d, zone: zone, lim: lim, module: m, jobs: map[decision.JobID]*try{}, byID: map[decision.WorkerID]*seat{}}
	for _, w := range d.workers {
		s := &seat{w: w, state: decision.Ready}
		n.seats = append(n.seats, s)
		n.byID[w.id] = s
	}
	return n, nil
}

func (n *node) entry(s *seat) decision.Entry {
	e := decision.Entry{Worker: s.w.id, Zone: s.w.zone, Kind: s.w.k, Weight: 1, State: s.state}
	if s.started > 0 {
		e.Started = past + s.started
	}
	return e
}

func (n *node) whole(kind decision.ListKind) {
	ev := decision.Event{Kind: decision.EventList, List: kind}
	for _, s := range n.seats {
		if s.state != decision.Gone {
			ev.Entries = append(ev.Entries, n.entry(s))
		}
	}
	n.handle(&ev)
}

func (n *node) begin() { n.whole(decision.ListCached) }

// learns lets the roster tell of a worker's state after a delay.
func (n *node) learns(w *worker, state decision.State, delay float64) {
	n.news++
	news := n.news
	started := w.born
	n.d.at(sec(delay), func() {
		s := n.byID[w.id]
		if news < s.gone { // a newer word has come before
			return
		}
		s.gone, s.state, s.started = news, state, started
		if state != decision.Ready {
			s.told = n.d.now
		}
		n.handle(&decision.Event{Kind: decision.EventList, List: decision.ListDelta, Entries: []decision.Entry{n.entry(s)}})
	})
}

// handle gives the module an event and carries out what follows.
func (n *node) handle(ev *decision.Event) {
	n.d.res.Decisions++
	n.acts = n.module.Handle(past+n.d.now, ev, n.acts[:0])
	for _, a := range slices.Clone(n.acts) {
		t := n.jobs[a.Job]
		switch a.Kind {
		case decision.Send:
			if t != nil {
				n.send(t, a)
			}
		case decision.Reject, decision.Fail:
			if t != nil {
				n.answer(t, map[decision.ActionKind]verdict{decision.Reject: refused, decision.Fail: failed}[a.Kind], a.RetryAfter)
			}
		case decision.Cancel:
			if t != nil && a.Attempt < len(t.sends) {
				c := t.sends[a.Attempt]
				c.recalled, c.lost = true, true
				n.d.at(0, func() { n.ends(c, decision.Cancelled, decision.Load{}) })
			}
		case decision.SetTimer:
			token := a.Token
			n.d.at(a.Delay, func() { n.handle(&decision.Event{Kind: decision.EventTimer, Token: token}) })
		case decision.Watch, decision.Fetch:
			if !n.watching {
				n.watching = true
				n.d.at(ms(50+100*n.d.net.Float64()), func() { n.whole(decision.ListFull) })
			}
		}
	}
}

// take is a client's try. Beyond the open jobs allowed it is turned away at the door.
func (n *node) take(q *request, repeat bool) {
	n.d.res.Requests++
	if n.open >= n.lim.OpenJobs {
		n.d.res.Overflowed++
		n.client(q, refused, ms(n.d.RetryAfterMs))
		return
	}
	n.open++
	n.d.res.PeakOpenJobs = max(n.d.res.PeakOpenJobs, n.open)
	for n.last++; n.last == 0 || n.jobs[n.last] != nil; n.last++ {
	}
	patience := q.until - n.d.now
	t := &try{request: q, node: n, id: n.last, until: n.d.now + patience - min(40*time.Millisecond, patience/4)}
	n.jobs[t.id] = t
	n.d.at(t.until-n.d.now, func() { n.overdue(t) })
	n.handle(&decision.Event{Kind: decision.EventJob, Job: t.id, Class: q.class, Tenant: q.tenant, Deadline: past + t.until, Slots: 1, Retry: repeat})
}

// client is the final answer of a try at the client.
func (n *node) client(q *request, v verdict, after time.Duration) {
	if v == served || !n.d.again(q, after) {
		n.d.end(q, v)
	}
}

func (n *node) answer(t *try, v verdict, after time.Duration) {
	if t.answered {
		n.d.res.Violations["two answers"]++
		return
	}
	t.answered = true
	n.open--
	if v == refused {
		n.d.res.Rejections++
		if after <= 0 {
			after = ms(n.d.RetryAfterMs)
		}
	}
	n.client(t.request, v, after)
	n.forget(t)
}

func (n *node) forget(t *try) {
	if t.answered && t.out == 0 {
		delete(n.jobs, t.id)
	}
}

func (n *node) overdue(t *try) {
	if t.answered {
		return
	}
	for _, a := range t.sends {
		if !a.over {
			a.lost = true
			n.ends(a, decision.TimedOut, decision.Load{})
		}
	}
	if !t.answered {
		n.d.res.Violations["deadline passed by the module"]++
		n.answer(t, failed, 0)
	}
}

func (n *node) send(t *try, act decision.Action) {
	s := n.byID[act.Worker]
	a := &attempt{try: t, number: len(t.sends)}
	if t.out > 0 {
		n.d.res.Violations["two attempts at a time"]++
	}
	t.sends = append(t.sends, a)
	t.out++
	if s == nil || s.state != decision.Ready || t.answered {
		n.d.res.Violations["sent to a worker that is not ready"]++
		n.d.at(0, func() { n.ends(a, decision.NeverSent, decision.Load{}) })
		return
	}
	a.w, a.process, a.work = s.w, s.w.process, t.work
	n.d.res.AttemptsSent++
	hop := n.d.hop(n.zone, a.w.zone)
	if a.w.zone != n.zone {
		n.d.res.CrossZoneAttempts++
	}
	if n.reuse(s) {
		n.d.at(hop, func() { a.w.arrive(a) })
		return
	}
	n.d.res.ConnectionsDialled++
	if n.links >= n.lim.Connections && !n.spare() {
		n.d.res.ConnectionsExhausted++
		n.d.at(0, func() { n.ends(a, decision.NeverSent, decision.Load{}) })
		return
	}
	trip := time.Duration(2 * n.d.ConnectionRoundTrips * float64(hop))
	switch {
	case a.w.silent || trip > ms(n.d.ConnectTimeoutMs):
		n.d.at(ms(n.d.ConnectTimeoutMs), func() { n.ends(a, decision.ConnectFailed, decision.Load{}) })
	case !a.w.up:
		n.d.at(trip, func() { n.ends(a, decision.ConnectFailed, decision.Load{}) })
	case a.w.conns >= a.w.kind.Connections:
		n.d.res.Kinds[a.w.k].RejectedConnections++
		n.d.at(trip, func() { n.ends(a, decision.ConnectFailed, decision.Load{}) })
	default:
		n.links++
		a.w.conns++
		a.fresh = true
		a.work += a.w.kind.ConnectionMs / 1000
		n.d.at(trip, func() {
			if s.state != decision.Ready { // told off while the connection came up
				n.ends(a, decision.NeverSent, decision.Load{})
				return
			}
			n.d.at(hop, func() { a.w.arrive(a) })
		})
	}
}

// reuse takes an idle connection.
func (n *node) reuse(s *seat) bool {
	if k := len(s.idle); k > 0 && (s.w.up || s.w.silent) { // nothing shows that a machine says nothing any more
		s.idle = s.idle[:k-1]
		return true
	}
	return false
}

// spare closes the connection that has been idle longest.
func (n *node) spare() bool {
	var oldest *seat
	for _, s := range n.seats {
		if len(s.idle) > 0 && (oldest == nil || s.idle[0] < oldest.idle[0]) {
			oldest = s
		}
	}
	if oldest != nil {
		oldest.idle = oldest.idle[1:]
		n.drop(oldest.w, oldest.w.process)
	}
	return oldest != nil
}

// drop closes a connection that a process had.
func (n *node) drop(w *worker, process int) {
	n.links--
	if process == w.process && w.up {
		w.conns--
	}
}

// keep puts a connection into the pool for a while.
func (n *node) keep(s *seat) {
	s.idle = append(s.idle, n.d.now)
	n.d.at(sec(n.d.ConnectionIdleSeconds*4/5), func() {
		for len(s.idle) > 0 && n.d.now-s.idle[0] >= sec(n.d.ConnectionIdleSeconds*4/5) {
			s.idle = s.idle[1:]
			n.drop(s.w, s.w.process)
		}
	})
}

// cut loses all connections to a worker that died.
func (n *node) cut(w *worker) {
	s := n.byID[w.id]
	n.links -= len(s.idle)
	s.idle = nil
}

// note carries a worker's note to the dispatcher.
func (a *attempt) note(kind decision.ProgressKind, share float64) {
	n := a.try.node
	n.d.at(n.d.hop(a.w.zone, n.zone), func() {
		if !a.over && !a.lost {
			n.handle(&decision.Event{Kind: decision.EventJobProgress, Job: a.try.id, Attempt: a.number, Worker: a.w.id, Progress: kind, Value: share})
		}
	})
}

// back carries an outcome to the dispatcher, with the load report that the worker has just then.
func (a *attempt) back(o decision.Outcome, from *worker) {
	n := a.try.node
	var load decision.Load
	if from != nil {
		load = from.seen()
	}
	n.d.at(n.d.hop(a.w.zone, n.zone), func() {
		if !a.lost {
			n.ends(a, o, load)
		}
	})
}

// ends is an attempt's one outcome at the dispatcher.
func (n *node) ends(a *attempt, o decision.Outcome, load decision.Load) {
	if a.over {
		return
	}
	a.over = true
	t := a.try
	t.out--
	n.d.res.Outcomes[o]++
	if a.w != nil {
		if s := n.byID[a.w.id]; (o == decision.OK || o == decision.Rejected) && a.process == a.w.process && a.w.up {
			n.keep(s)
		} else if o != decision.NeverSent && o != decision.ConnectFailed || a.fresh {
			n.drop(a.w, a.process)
		}
	}
	if o == decision.OK && !t.answered {
		n.answer(t, served, 0)
	}
	id := decision.WorkerID(0)
	if a.w != nil {
		id = a.w.id
	}
	n.handle(&decision.Event{Kind: decision.EventOutcome, Job: t.id, Attempt: a.number, Worker: id, Outcome: o, JobEnded: t.answered, Load: load})
	n.forget(t)
}
