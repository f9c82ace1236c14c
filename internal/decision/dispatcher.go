// The state of a dispatcher and the entry for events. docs/design.md tells when each exception acts.

package decision

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const lookToken, closeToken = 0, 1 // for looks, late closings; calls to discovery count on from there

const suspectRetry, looksPerAim = time.Second, 8 // a trial of a suspect; at open jobs, in the shortest aim

const sharedFrom, dearCrossing = 20, 0.05 // dispatchers, or cost: workers are met too rarely to wait

const minRun, maxRun = 1e-4, 3600 // seconds that any job runs: both its lines may come in one write

// worker is what this dispatcher knows of one listed worker.
type worker struct {
	Entry
	suspect, startedAtOnce           bool          // silent, gets trials only; began its last job at once
	misplaced, shut, hasTurn         bool          // of unknown kind or zone; drains, is shut; cold: gets one
	out, pace, fails                 float64       // own slots; time over its kind's usual; latest errors
	others, pastSlots, running       float64       // slots of others; own before; own at work
	lastReport                       Load          // the last report
	othersAt, pastAt                 time.Duration // when others was last learned, and past
	lastHeard, lastOK, broke, failed time.Duration // its last sign of life, OK, other end, error
	pause, fullTill, retryAt, filled time.Duration // its pause after Full; its next trial; last draw when cold
}

type attempt struct {
	w                         *worker
	sent, started             time.Duration
	lateAfter, lateSeen       float64  // age from which it is late; that at which this was last taken in
	way                       *float64 // usual seconds to a start there, with or without a connection
	done, neverRan, cancelled bool     // ended; proved never to have run; cancelled
}

type job struct {
	Event
	dueAt, heldUntil    time.Duration // started later it will be late; no use in holding it longer
	attempts            []*attempt
	ended, held, excess bool // excess: beyond its tenant's share
}

// Dispatcher decides for one submitter. It is not safe for concurrent use.
type Dispatcher struct {
	set                                   Settings
	rng                                   *rand.Rand
	now, tick                             time.Duration
	acts                                  []Action
	workers                               map[WorkerID]*worker
	order                                 []*worker     // by id: no decision may hang on list order
	pools                                 [][][]*worker // by label and kind
	labels                                []int         // by tenant
	shares                                []float64     // by label
	jobs                                  map[JobID]*job
	open                                  []*job          // by arrival; ended ones leave at the next look
	answerTime, run                       []float64       // by class: usual seconds to an answer, and of running
	ready, slotCount, slow, served, tried []float64       // by kind: workers, slots, relative time, use, OKs
	usual                                 []float64       // by place: what others hold at a worker
	usualAt                               []time.Duration // by place: when usual was learned
	delay                                 [2][2]float64   // seconds to a start without waiting: own zone, linked
	arrivalRate, answerRate               []float64       // by tenant: arrivals and answers, fading
	firstList, lastArrival, looked, awake time.Duration   // first list, last job and look; since when it runs
	let, spare, meanRun, unit             float64         // parts of all and excess let in; run; middle slow
	sees, wide, weighted, watching        bool            // workers tell, are shared, sized; watching
	callToken                             uint32          // number of the timer for the next call to discovery
}

// New makes a dispatcher. Its error names the setting that cannot work.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	s = s.withDefaults()
	d := &Dispatcher{set: s, rng: rand.New(rand.NewPCG(seed, seed)), tick: 50 * time.Millisecond,
		workers: make(map[WorkerID]*worker), jobs: make(map[JobID]*job), shares: []float64{0}, spare: leastSpare,
		callToken: closeToken, let: 1, unit: 1}
	for _, c := range d.set.Classes {
		guess := c.LatencyTarget.Seconds() / 2
		d.answerTime, d.run = append(d.answerTime, guess), append(d.run, max(guess, minRun))
		d.tick = min(d.tick, max(cmp.Or(c.LatencyTarget, time.Second)/looksPerAim, s.Tick, time.Millisecond))
	}
	kinds := func(v float64) []float64 { return slices.Repeat([]float64{v}, d.set.Kinds) }
	d.ready, d.slotCount, d.slow, d.served = kinds(0), kinds(0), kinds(1), kinds(0)
	d.meanRun, d.tried, d.usual = slices.Min(d.run), kinds(0), slices.Concat(kinds(0), kinds(0))
	d.arrivalRate, d.answerRate = make([]float64, len(s.Tenants)), make([]float64, len(s.Tenants))
	d.sees = s.ReportsLoad && s.ReportsStart && s.Report.FreeSlots >= 0 && s.Report.Queue >= 0
	d.wide = d.sees && (s.Dispatchers >= sharedFrom || s.CrossZoneCost >= dearCrossing)
	d.usualAt = make([]time.Duration, 2*d.set.Kinds)
	d.labelTenants()
	d.rebuild()
	return d, nil
}

// Handle takes one event at the time now and appends the actions that follow from it to acts.
func (d *Dispatcher) Handle(now time.Duration, ev *Event, acts []Action) []Action {
	d.now, d.acts = max(now, d.now), acts
	j := d.jobs[ev.Job]
	var t *attempt // the one that the event is about, if it is still out
	if j != nil && ev.Attempt >= 0 && ev.Attempt < len(j.attempts) && !j.attempts[ev.Attempt].done {
		t = j.attempts[ev.Attempt]
	}
	switch {
	case ev.Kind == EventList:
		d.updateList(ev)
	case ev.Kind == EventJob && j == nil:
		d.admit(ev)
	case (ev.Kind == EventJobProgress || ev.Kind == EventStreamStarted) && t != nil:
		if t.w.lastHeard, t.w.suspect = d.now, false; ev.Progress == JobStarted && t.started == 0 {
			d.start(j, t)
		}
	case ev.Kind == EventOutcome && t != nil:
		d.outcome(ev, j, t)
	case ev.Kind == EventClientLeft && j != nil:
		if j.held, j.ended = false, true; !d.sees || !j.inFlight() { // else it works on there and holds its slot
			d.finish(j)
		}
	case ev.Kind == EventTimer && ev.Token == lookToken:
		d.checkOpenJobs()
	case ev.Kind == EventTimer && ev.Token == closeToken:
		for _, w := range d.order {
			w.shut = w.shut && d.now-w.broke > d.set.DrainCloseWithin
			d.shut(w)
		}
	case ev.Kind == EventTimer && ev.Token == d.callToken && !d.watching:
		d.acts = append(d.acts, Action{Kind: Watch, On: true})
		d.scheduleCall(d.set.MaxDiscoverySilence) // in case no answer ever comes
	}
	return d.acts
}

// scheduleCall sets the next call to discovery, at random lest all call together. Only the last set counts.
func (d *Dispatcher) scheduleCall(within time.Duration) {
	d.callToken++
	delay := seconds((0.1 + 0.9*d.rng.Float64()) * max(within, suspectRetry).Seconds() / 3)
	d.acts = append(d.acts, Action{Kind: SetTimer, Token: d.callToken, Delay: delay})
}

func (d *Dispatcher) class(j *job) *ClassSettings { return &d.set.Classes[j.Class] }
