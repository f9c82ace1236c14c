// A day in virtual time: the queue of events, the workers with their slots,
// queues and connections, the network, the roster and the clients. What the
// dispatchers do stands in node.go.

package model

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"ivyfold"
)

// Streams of random numbers: what one part draws changes nothing for the others, so that two fleets meet the same
// clients.
const (
	forArrivals uint64 = iota + 1
	forWork
	forWorkers
	forNetwork
	forTroubles
	forModules
)

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].seq < e[k].seq
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

type day struct {
	*site
	now     time.Duration
	queue   events
	seq     uint64
	net     *rand.Rand
	draw    *rand.Rand
	nodes   []*node
	workers []*worker
	late    time.Duration // reports are this much later just now
	pending int           // requests without a final end
	came    bool          // the last request has come
	book    *Book
	res     *Result         // the book's
	ran     map[uint64]*run // keys that ran or run, as all workers know
}

// at lets something happen after a while.
func (d *day) at(after time.Duration, do func()) {
	d.seq++
	heap.Push(&d.queue, event{d.now + max(after, 0), d.seq, do})
}

func stream(seed, which uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, which)) }

// Draw is a figure between the two, any as likely as another.
func (r Range) Draw(rng *rand.Rand) float64 { return r[0] + rng.Float64()*(r[1]-r[0]) }

// hop is the time one way between zones.
func (d *day) hop(a, b int) time.Duration {
	base := d.SameZoneMs
	if a != b {
		base = d.CrossZoneMs
	}
	return ms(base * (1 + d.Jitter*(2*d.net.Float64()-1)))
}

func newDay(s *site, seed uint64) *day {
	d := &day{site: s, net: stream(seed, forNetwork), draw: stream(seed, forWorkers), book: newBook(s), ran: map[uint64]*run{}}
	d.res = d.book.res
	return d
}

// Play plays a day. stop may end it early; the result then holds what was seen so far.
func Play(fleet *Fleet, load *Load, seed uint64, stop func() bool) (*Result, error) {
	s, err := together(fleet, load)
	if err != nil {
		return nil, err
	}
	d := newDay(s, seed)
	for _, g := range s.Workers {
		for range g.Count {
			d.addWorker(s.kind[g.Kind], s.zone[g.Zone])
		}
	}
	modules := stream(seed, forModules)
	count := 0
	for _, g := range s.Dispatchers {
		count += g.Count
	}
	for _, g := range s.Dispatchers {
		for range g.Count {
			n, err := newNode(d, len(d.nodes), count, g, modules.Uint64())
			if err != nil {
				return nil, err
			}
			d.nodes = append(d.nodes, n)
		}
	}
	for _, n := range d.nodes {
		n.begin()
	}
	d.troubles(stream(seed, forTroubles))
	d.clients(seed)
	for _, w := range d.workers {
		w.report()
	}
	for n := 0; len(d.queue) > 0 && !(d.came && d.pending == 0); n++ {
		d.step()
		if n%4096 == 0 && stop != nil && stop() {
			d.res.Cut = true
			break
		}
	}
	d.finish()
	return d.res, nil
}

// step lets the next thing happen.
func (d *day) step() {
	e := heap.Pop(&d.queue).(event)
	d.now = e.at
	e.do()
	d.res.Events++
}

// request is what one client wants, over all its tries.
type request struct {
	class, tenant int
	work          float64 // seconds on a core of speed 1
	came          time.Duration
	until         time.Duration // when the client gives up
	key           uint64
	left          int  // tries that may still follow
	within        bool // its university's share
	node          *node
	over          bool
}

// rateAt is the rate of all universities without bursts.
func (s *site) rateAt(at float64) float64 {
	r := s.load.Rate
	i := sort.Search(len(r), func(i int) bool { return r[i].AtS > at })
	switch {
	case i == 0:
		return r[0].PerSec * s.load.Times
	case i == len(r):
		return r[i-1].PerSec * s.load.Times
	}
	part := (at - r[i-1].AtS) / (r[i].AtS - r[i-1].AtS)
	return (r[i-1].PerSec + part*(r[i].PerSec-r[i-1].PerSec)) * s.load.Times
}

// Arrival is a request as its client makes it.
type Arrival struct {
	At                      time.Duration
	Class, University, Node int     // places in the descriptions; dispatchers are counted through their groups
	Work                    float64 // seconds on a core of speed 1
}

// Arrivals draws a day's requests one after the other, until the day is over: a Poisson process whose rate moves,
// thinned from its peak.
func Arrivals(f *Fleet, l *Load, seed uint64) (next func() (Arrival, bool), err error) {
	s, err := together(f, l)
	if err != nil {
		return nil, err
	}
	return s.arrivals(seed), nil
}

func (s *site) arrivals(seed uint64) func() (Arrival, bool) {
	rng, work := stream(seed, forArrivals), stream(seed, forWork)
	peak, sum, most, classes, weight, at := 0.0, 0.0, 1.0, 0.0, 0.0, 0.0
	for _, p := range s.load.Rate {
		peak = max(peak, p.PerSec*s.load.Times)
	}
	var shares, weights []float64 // cumulative
	for _, p := range s.portion {
		sum += p
		shares = append(shares, sum)
	}
	for _, g := range s.Dispatchers {
		for range g.Count {
			weight += g.Share
			weights = append(weights, weight)
		}
	}
	for _, b := range s.load.Bursts {
		most += max(b.Times-1, 0) * s.portion[s.tenant[b.University]] / sum
	}
	peak *= most
	sizes := make([]func() float64, len(s.work))
	for i, w := range s.work {
		classes += w.Share
		sizes[i] = func() float64 { return w.Ms / 1000 }
		if w.CV > 0 {
			v := math.Log(1 + w.CV*w.CV)
			sizes[i] = distuv.LogNormal{Mu: math.Log(w.Ms/1000) - v/2, Sigma: math.Sqrt(v), Src: work}.Rand
		}
	}
	return func() (Arrival, bool) {
		for peak > 0 {
			if at += rng.ExpFloat64() / peak; at >= s.load.Seconds {
				break
			}
			// Who sends: the usual mix, or a university's burst on top of it.
			base := s.rateAt(at)
			x, who := rng.Float64()*peak, -1
			if x < base {
				who = min(sort.SearchFloat64s(shares, x/base*sum), len(shares)-1)
			} else {
				x -= base
				for _, b := range s.load.Bursts {
					if at >= b.AtS && at < b.AtS+b.ForS && who < 0 {
						t := s.tenant[b.University]
						if x -= base * s.portion[t] / sum * max(b.Times-1, 0); x < 0 {
							who = t
						}
					}
				}
			}
			if who < 0 {
				continue
			}
			a := Arrival{At: sec(at), University: who, Node: min(sort.SearchFloat64s(weights, rng.Float64()*weight), len(weights)-1)}
			for u := rng.Float64() * classes; a.Class < len(s.work)-1 && u >= s.work[a.Class].Share; a.Class++ {
				u -= s.work[a.Class].Share
			}
			a.Work = sizes[a.Class]()
			return a, true
		}
		return Arrival{}, false
	}
}

// request makes a client's request of an arrival and books it.
func (b *Book) request(a Arrival) *request {
	c := &b.s.Classes[a.Class]
	q := &request{class: a.Class, tenant: a.University, work: a.Work, came: a.At, until: a.At + sec(c.DeadlineS), left: b.s.load.Retries.Most}
	if b.number++; effects[c.Effect] == ivyfold.Keyed {
		q.key = b.number
	}
	q.within = b.buckets[q.tenant].take(a.At, b.s.Universities[q.tenant].PerSecS)
	b.res.asked(b.s, q)
	return q
}

// clients lets all requests come, one after the other.
func (d *day) clients(seed uint64) {
	arrivals := d.arrivals(seed)
	var next func()
	next = func() {
		a, ok := arrivals()
		if d.came = !ok; !ok {
			return
		}
		d.at(a.At-d.now, func() {
			q := d.book.request(a)
			q.came, q.node = d.now, d.nodes[a.Node]
			d.pending++
			next()
			q.node.take(q, false)
		})
	}
	next()
}

// bucket counts what a university may send within its share: two seconds of it at a time.
type bucket struct {
	used float64
	at   time.Duration
}

func (b *bucket) take(now time.Duration, perSec float64) bool {
	if perSec <= 0 {
		return true
	}
	b.used = max(b.used-perSec*(now-b.at).Seconds(), 0)
	b.at = now
	if b.used+1 > 2*perSec+1 {
		return false
	}
	b.used++
	return true
}

// end is a request's one final end, seen by its client.
func (d *day) end(q *request, verdict verdict) {
	if q.over {
		d.res.Broken["two answers"]++
		return
	}
	q.over = true
	d.pending--
	d.res.ended(d.site, q, verdict, d.now-q.came)
}

// again lets a client try once more, if it does; it tells whether.
func (d *day) again(q *request, after time.Duration) bool {
	wait := ms(d.load.Retries.WaitMs)
	if d.load.Retries.Honours {
		wait = max(wait, after)
	}
	if q.left <= 0 || d.now+wait >= q.until {
		return false
	}
	q.left--
	d.res.Repeats++
	d.at(wait, func() { q.node.take(q, true) })
	return true
}

// worker is one machine.
type worker struct {
	d       *day
	id      ivyfold.WorkerID
	k, zone int
	kind    *Kind
	speed   float64
	up      bool
	silent  bool // dead without a word
	drains  bool
	fallen  bool // pushed over while cold: down for good
	born    time.Duration
	warm    bool
	process int     // counts restarts
	taken   float64 // of the machine, by other programs
	each    float64 // service that every running job has got
	counted time.Duration
	plan    int // the planned next end; older ones are void
	running ends
	waiting []*attempt
	mute    []*attempt // lost without a word: reset once it is back
	conns   int
	sent    []sent // while cold
	view    [32]snapshot
	views   int
	every   time.Duration
	delay   time.Duration
	done    int // since the last snapshot
	busy    float64
}

type sent struct {
	at   time.Duration
	work float64
}

// run is what a worker group remembers of a key.
type run struct {
	at   time.Duration // when it was done
	done bool
	dups []*attempt // repeats that came while it ran
}

type snapshot struct {
	at   time.Duration
	load ivyfold.Load
}

// ends is a heap of running attempts by the service at which they are done.
type ends []*attempt

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, k int) bool { return e[i].finish < e[k].finish }
func (e ends) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *ends) Push(v any)        { *e = append(*e, v.(*attempt)) }
func (e *ends) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return last
}

func (d *day) addWorker(kind, zone int) {
	k := &d.Kinds[kind]
	id := ivyfold.WorkerID(uint32(len(d.workers)+1) * 2654435761)
	w := &worker{d: d, id: id, k: kind, kind: k, zone: zone, speed: k.Speed.Draw(d.draw), up: true, warm: true,
		every: sec(d.ReportEveryS.Draw(d.draw)), delay: sec(d.ReportDelayS.Draw(d.draw))}
	d.workers = append(d.workers, w)
}

// capacity is the share of its speed that a worker has since its start.
func (w *worker) capacity(at time.Duration) float64 {
	if w.warm || w.born == 0 {
		return 1
	}
	age := (at - w.born).Seconds() / max(w.kind.WarmS, 1e-9)
	return min(w.kind.ColdShare+(1-w.kind.ColdShare)*age, 1)
}

// rate is the service a second of each running job at a moment.
func (w *worker) rate(at time.Duration) float64 {
	n := float64(len(w.running))
	if n == 0 {
		return 0
	}
	return w.speed * w.capacity(at) * min(1, w.kind.Cores*(1-w.taken)/n)
}

// count brings the service up to now. Capacity grows evenly, so the middle of the time stands for it.
func (w *worker) count() {
	span := (w.d.now - w.counted).Seconds()
	if span > 0 {
		w.each += w.rate(w.counted+(w.d.now-w.counted)/2) * span
		w.busy += float64(len(w.running)) * span
	}
	w.counted = w.d.now
}

// replan sets the next end. It is called whenever the rate has changed, after count.
func (w *worker) replan() {
	w.plan++
	if len(w.running) == 0 {
		return
	}
	plan, r := w.plan, w.rate(w.d.now)
	left := w.running[0].finish - w.each
	wait := time.Duration(math.MaxInt64)
	if r > 0 {
		wait = sec(min(left/r, 1e6)) + 1
	}
	if !w.warm { // the rate grows meanwhile: look again soon
		wait = min(wait, 50*time.Millisecond)
	}
	if wait == math.MaxInt64 {
		return // nothing moves until something changes
	}
	w.d.at(wait, func() {
		if plan != w.plan {
			return
		}
		w.count()
		if !w.warm && w.capacity(w.d.now) >= 1 {
			w.warm = true
		}
		for len(w.running) > 0 && w.running[0].finish <= w.each+1e-9 {
			w.finish(heap.Pop(&w.running).(*attempt))
		}
		w.next()
		w.replan()
	})
}

// arrive is an attempt's last byte at the worker.
func (w *worker) arrive(a *attempt) {
	if !w.up || a.process != w.process {
		if w.silent {
			w.mute = append(w.mute, a)
		} else {
			a.back(ivyfold.Reset, nil)
		}
		return
	}
	if !w.warm && w.pushedOver(a.work) {
		return
	}
	if q := a.try.request; q.key != 0 {
		if r := w.d.repeats(q); r != nil {
			if r.done {
				a.back(ivyfold.OK, w)
			} else {
				r.dups = append(r.dups, a)
			}
			return
		}
	}
	w.count()
	switch {
	case len(w.running) < w.kind.Slots && len(w.waiting) == 0:
		w.start(a)
		w.replan()
	case len(w.waiting) < w.kind.Queue:
		w.waiting = append(w.waiting, a)
	default:
		w.d.res.Kinds[w.k].Full++
		w.d.forget(a.try.request)
		a.back(ivyfold.Full, w)
	}
}

// repeats gives the run of a key that has run or runs anywhere, as all workers know, and notes it if there is none.
func (d *day) repeats(q *request) *run {
	if r := d.ran[q.key]; r != nil && (!r.done || d.now-r.at < sec(d.Classes[q.class].WindowS)) {
		return r
	} else if r != nil {
		d.res.Broken["ran twice"]++
	}
	d.ran[q.key] = &run{}
	return nil
}

func (d *day) forget(q *request) {
	if q.key != 0 {
		delete(d.ran, q.key)
	}
}

// pushedOver notes work sent to a cold worker; beyond the rule's multiple of what it can do, it falls for good.
func (w *worker) pushedOver(work float64) bool {
	now, span := w.d.now, sec(w.d.Cold.SpanS)
	w.sent = append(w.sent, sent{now, work})
	for len(w.sent) > 0 && now-w.sent[0].at > span {
		w.sent = w.sent[1:]
	}
	total := 0.0
	for _, s := range w.sent {
		total += s.work
	}
	if total <= w.d.Cold.Multiple*w.kind.Cores*w.speed*w.capacity(now)*span.Seconds()+work {
		return false
	}
	w.d.res.Broken["cold worker pushed over"]++
	w.fallen = true
	w.die(false)
	return true
}

func (w *worker) start(a *attempt) {
	a.started = true
	a.finish = w.each + a.work
	heap.Push(&w.running, a)
	a.note(ivyfold.NoteStarted, 0)
	a.runsOn()
}

// runsOn tells progress once a second.
func (a *attempt) runsOn() {
	a.w.d.at(progress, func() {
		if a.started && !a.ended && a.w.up && a.process == a.w.process {
			a.w.count()
			a.note(ivyfold.NoteProgress, min(max(1-(a.finish-a.w.each)/a.work, 0), 1))
			a.runsOn()
		}
	})
}

func (w *worker) finish(a *attempt) {
	a.ended = true
	w.done++
	w.d.res.Kinds[w.k].Done++
	w.d.res.Worked += a.work
	a.back(ivyfold.OK, w)
	if q := a.try.request; q.key != 0 {
		if r := w.d.ran[q.key]; r != nil {
			r.done, r.at = true, w.d.now
			for _, dup := range r.dups {
				dup.back(ivyfold.OK, w)
			}
			r.dups = nil
		}
	}
}

// next lets waiting jobs in, in order.
func (w *worker) next() {
	for len(w.waiting) > 0 && len(w.running) < w.kind.Slots {
		a := w.waiting[0]
		w.waiting[0] = nil
		w.waiting = w.waiting[1:]
		w.start(a)
	}
}

// die ends the process. What it had is lost: its dispatchers see a reset, or nothing.
func (w *worker) die(silent bool) {
	if !w.up {
		return
	}
	w.count()
	w.up, w.silent, w.drains = false, silent, false
	lost := append(slices.Clone([]*attempt(w.running)), w.waiting...)
	w.running, w.waiting, w.conns, w.sent = nil, nil, 0, nil
	w.replan()
	for _, a := range lost {
		a.ended = true
		var dups []*attempt
		if q := a.try.request; q.key != 0 {
			if r := w.d.ran[q.key]; r != nil && !r.done {
				dups = r.dups
				w.d.forget(q)
			}
		}
		for _, a := range append(dups, a) {
			if silent {
				w.mute = append(w.mute, a)
			} else {
				a.back(ivyfold.Reset, nil)
			}
		}
	}
	for _, n := range w.d.nodes {
		delay := w.d.RosterS
		if !silent {
			n.cut(w)
		}
		if silent {
			delay = w.d.SilentS
		}
		n.learns(w, ivyfold.Gone, delay.Draw(w.d.net))
	}
}

// rise starts a new process, cold.
func (w *worker) rise() {
	if w.up || w.fallen {
		return
	}
	w.up, w.silent, w.drains, w.warm = true, false, false, w.kind.ColdShare >= 1
	w.process++
	w.born, w.counted, w.each = w.d.now, w.d.now, 0
	w.views = 0
	for _, a := range w.mute {
		a.back(ivyfold.Reset, nil)
	}
	w.mute = nil
	for _, n := range w.d.nodes {
		n.cut(w)
		n.learns(w, ivyfold.Ready, w.d.RosterS.Draw(w.d.net))
	}
}

// report looks at the worker now and then, as its load reports will show it later.
func (w *worker) report() {
	w.d.at(time.Duration(w.d.net.Float64()*float64(w.every)), func() { w.look() })
}

func (w *worker) look() {
	if w.up {
		w.view[w.views%len(w.view)] = snapshot{w.d.now, ivyfold.Load{N: reportFields, Values: [4]float64{
			float64(w.kind.Slots - len(w.running)), 0, float64(w.done) / w.every.Seconds(), float64(len(w.waiting))}}}
		w.views++
		w.done = 0
	}
	w.d.at(w.every, w.look)
}

// seen is the newest report that has had the time to come through.
func (w *worker) seen() ivyfold.Load {
	for i := w.views - 1; i >= 0 && i > w.views-len(w.view); i-- {
		if s := w.view[i%len(w.view)]; w.d.now-s.at >= w.delay+w.d.late {
			return s.load
		}
	}
	return ivyfold.Load{}
}

// troubles sets up what goes wrong.
func (d *day) troubles(rng *rand.Rand) {
	for _, t := range d.Troubles {
		var hit []*worker
		for _, w := range d.workers {
			if (t.Zone == "" || w.zone == d.zone[t.Zone]) && (t.Kind == "" || w.k == d.kind[t.Kind]) {
				hit = append(hit, w)
			}
		}
		rng.Shuffle(len(hit), func(i, k int) { hit[i], hit[k] = hit[k], hit[i] })
		if t.What != "zone_lost" {
			hit = hit[:int(math.Round(t.Part*float64(len(hit))))]
		}
		each := func(after float64, do func(*worker)) {
			d.at(sec(after), func() {
				for _, w := range hit {
					do(w)
				}
			})
		}
		end := t.AtS + t.ForS
		switch t.What {
		case "zone_lost":
			each(t.AtS, func(w *worker) { w.die(true) })
			each(end, func(w *worker) { w.rise() })
		case "deaths":
			each(t.AtS, func(w *worker) { w.die(false) })
			each(end, func(w *worker) { w.rise() })
		case "drain":
			each(t.AtS, func(w *worker) {
				if w.drains = w.up; w.drains {
					for _, n := range d.nodes {
						n.learns(w, ivyfold.Draining, d.RosterS.Draw(d.net))
					}
				}
			})
			each(end, func(w *worker) {
				if w.drains {
					w.die(false)
					w.rise()
				}
			})
		case "shared":
			set := func(share float64) func(*worker) {
				return func(w *worker) {
					w.count()
					w.taken = share
					w.replan()
				}
			}
			for at := t.AtS; at < end; at += max(t.OnS, 0.01) + t.OffS {
				each(at, set(t.Takes))
				each(min(at+max(t.OnS, 0.01), end), set(0))
			}
		case "reports_late":
			d.at(sec(t.AtS), func() { d.late += sec(t.Takes) })
			d.at(sec(end), func() { d.late -= sec(t.Takes) })
		}
	}
}
