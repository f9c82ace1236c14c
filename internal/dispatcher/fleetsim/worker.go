// The workers of a day: slots, queues, warming up, failing.

package fleetsim

import (
	"math"
	"slices"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/priorityqueue"
)

// worker is one machine.
type worker struct {
	d       *day
	id      decision.WorkerID
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
	running priorityqueue.Queue[*attempt]
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
	load decision.Load
}

// Before orders running attempts by the service at which they are done.
func (a *attempt) Before(other *attempt) bool { return a.finish < other.finish }

func (d *day) addWorker(kind, zone int) {
	k := &d.Kinds[kind]
	id := decision.WorkerID(uint32(len(d.workers)+1) * 2654435761)
	w := &worker{d: d, id: id, k: kind, kind: k, zone: zone, speed: k.Speed.Draw(d.draw), up: true, warm: true,
		every: sec(d.ReportIntervalSeconds.Draw(d.draw)), delay: sec(d.ReportDelaySeconds.Draw(d.draw))}
	d.workers = append(d.workers, w)
}

// capacity is the share of its speed that a worker has since its start.
func (w *worker) capacity(at time.Duration) float64 {
	if w.warm || w.born == 0 {
		return 1
	}
	age := (at - w.born).Seconds() / max(w.kind.SlowStartSeconds, 1e-9)
	return min(w.kind.SlowStartShare+(1-w.kind.SlowStartShare)*age, 1)
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
			w.finish(w.running.Pop())
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
			a.back(decision.Reset, nil)
		}
		return
	}
	if !w.warm && w.pushedOver(a.work) {
		return
	}
	if q := a.try.request; q.key != 0 {
		if r := w.d.repeats(q); r != nil {
			if r.done {
				a.back(decision.OK, w)
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
		w.d.res.Kinds[w.k].RejectedJobs++
		w.d.forget(a.try.request)
		a.back(decision.Rejected, w)
	}
}

// repeats gives the run of a key that has run or runs anywhere, as all workers know, and notes it if there is none.
func (d *day) repeats(q *request) *run {
	if r := d.ran[q.key]; r != nil && (!r.done || d.now-r.at < sec(d.Classes[q.class].DedupWindowSeconds)) {
		return r
	} else if r != nil {
		d.res.Violations["ran twice"]++
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
	now, span := w.d.now, sec(w.d.SlowStart.OverloadSpanSeconds)
	w.sent = append(w.sent, sent{now, work})
	for len(w.sent) > 0 && now-w.sent[0].at > span {
		w.sent = w.sent[1:]
	}
	total := 0.0
	for _, s := range w.sent {
		total += s.work
	}
	if total <= w.d.SlowStart.OverloadMultiple*w.kind.Cores*w.speed*w.capacity(now)*span.Seconds()+work {
		return false
	}
	w.d.res.Violations["cold worker pushed over"]++
	w.fallen = true
	w.die(false)
	return true
}

func (w *worker) start(a *attempt) {
	a.started = true
	a.finish = w.each + a.work
	w.running.Push(a)
	a.note(decision.JobStarted, 0)
	a.runsOn()
}

// runsOn tells progress once a second.
func (a *attempt) runsOn() {
	a.w.d.at(progress, func() {
		if a.started && !a.ended && a.w.up && a.process == a.w.process {
			a.w.count()
			a.note(decision.JobAdvanced, min(max(1-(a.finish-a.w.each)/a.work, 0), 1))
			a.runsOn()
		}
	})
}

func (w *worker) finish(a *attempt) {
	a.ended = true
	w.done++
	w.d.res.Kinds[w.k].Completed++
	w.d.res.WorkSeconds += a.work
	a.back(decision.OK, w)
	if q := a.try.request; q.key != 0 {
		if r := w.d.ran[q.key]; r != nil {
			r.done, r.at = true, w.d.now
			for _, dup := range r.dups {
				dup.back(decision.OK, w)
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
				a.back(decision.Reset, nil)
			}
		}
	}
	for _, n := range w.d.nodes {
		delay := w.d.DiscoveryDelaySeconds
		if !silent {
			n.cut(w)
		}
		if silent {
			delay = w.d.UnresponsiveDelaySeconds
		}
		n.learns(w, decision.Gone, delay.Draw(w.d.net))
	}
}

// rise starts a new process, cold.
func (w *worker) rise() {
	if w.up || w.fallen {
		return
	}
	w.up, w.silent, w.drains, w.warm = true, false, false, w.kind.SlowStartShare >= 1
	w.process++
	w.born, w.counted, w.each = w.d.now, w.d.now, 0
	w.views = 0
	for _, a := range w.mute {
		a.back(decision.Reset, nil)
	}
	w.mute = nil
	for _, n := range w.d.nodes {
		n.cut(w)
		n.learns(w, decision.Ready, w.d.DiscoveryDelaySeconds.Draw(w.d.net))
	}
}

// report looks at the worker now and then, as its load reports will show it later.
func (w *worker) report() {
	w.d.at(time.Duration(w.d.net.Float64()*float64(w.every)), func() { w.look() })
}

func (w *worker) look() {
	if w.up {
		w.view[w.views%len(w.view)] = snapshot{w.d.now, decision.Load{Count: reportFields, Values: [4]float64{
			float64(w.kind.Slots - len(w.running)), 0, float64(w.done) / w.every.Seconds(), float64(len(w.waiting))}}}
		w.views++
		w.done = 0
	}
	w.d.at(w.every, w.look)
}

// seen is the newest report that has had the time to come through.
func (w *worker) seen() decision.Load {
	for i := w.views - 1; i >= 0 && i > w.views-len(w.view); i-- {
		if s := w.view[i%len(w.view)]; w.d.now-s.at >= w.delay+w.d.late {
			return s.load
		}
	}
	return decision.Load{}
}
