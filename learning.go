// Learning: slots, times and load of workers, from starts, reports and full queues.

package ivyfold

import (
	"cmp"
	"math"
	"time"
)

const smooth, memory = 0.05, 10 * time.Second // weight of a sample in running means; span of arrivals

const ago, forget, blend = 0.7, 5, 2 // seconds: a report's age; until a worker counts as its kind; kind means

const learn, latest = 0.12, 0.4 // weight of a report, old and noisy; of an outcome among latest errors

const jammed, mostSlow = 4, 32 // times its slots a worker can seem to hold; times the measure, a kind

// fade is what is left of something since t, if most of it goes in s seconds.
func (d *Dispatcher) fade(t time.Duration, s float64) float64 {
	return math.Exp(-(d.now - t).Seconds() / s)
}

// hold takes slots at a worker, and keeps what own slots were a while ago, when the reports of now were made.
func (d *Dispatcher) hold(w *worker, slots float64) {
	w.past, w.mixed = w.past+(w.out-w.past)*(1-d.fade(w.mixed, ago)), d.now
	w.out += slots
}

// start learns from when a job began: a worker that begins it at once had room, one that is late had none.
func (d *Dispatcher) start(j *job, t *attempt) {
	w, aim, took := t.w, d.class(j).Aim, (d.now - t.sent).Seconds()
	t.started, w.prompt, w.runs = d.now, d.now-t.sent <= d.tick, w.runs+1
	if d.let = min(d.let+backUp/4, 1); !d.sees && d.now-t.sent > aim/2 { // as good as full
		d.busy(j, w, true)
		d.let *= 1 - backUp*float64(min((d.now-t.sent)/max(aim, 1), 1)) // if the aim is gone
	}
	if *t.way = 1.1 * cmp.Or(*t.way, took); took < *t.way { // a low quarter of the starts: few of those waited
		*t.way = max(*t.way*0.68, leastRun)
	}
	d.room[w.Kind] = max(d.room[w.Kind], w.runs)
	if took > t.due {
		d.late(w, took-t.due)
		return
	}
	d.learn(w, max(min(d.others(w), d.slots(w.Kind)-w.out), 0), min(d.usual[d.place(w)], d.slots(w.Kind)-1))
}

// report learns from a load report how many slots a worker has, and what others hold.
func (d *Dispatcher) report(w *worker, l *Load) {
	r, n, room := d.set.Report, min(l.N, len(l.Values)), &d.room[w.Kind]
	if slots := r.Slots(l); slots > 0 && slots < math.MaxInt32 {
		*room += max(smooth, 1-*room) * (slots - *room)
	}
	if !d.sees || r.FreeSlots >= n || r.Queue >= n || *l == w.last {
		return
	}
	w.last = *l
	if free := math.Round(l.Values[r.FreeSlots]); free > *room && free < math.MaxInt32 {
		*room = free
	}
	held := max(d.slots(w.Kind)+r.Waiting(l)-w.past, 0)
	d.learn(w, d.others(w)+learn*(held-d.others(w)), held)
}

// late learns from a job that waits at a worker.
func (d *Dispatcher) late(w *worker, wait float64) {
	held := d.slots(w.Kind) * (1 + wait/(d.mean*d.slow[w.Kind]))
	d.learn(w, max(d.others(w), d.slots(w.Kind)-w.out, 0), held)
}

// learn notes what others hold at a worker, and takes what they seem to hold there into the mean of its kind.
func (d *Dispatcher) learn(w *worker, others, held float64) {
	w.others, w.told = others, d.now
	k := d.place(w)
	held = min(held, jammed*d.slots(w.Kind)) - d.usual[k]
	d.usual[k], d.news[k] = d.usual[k]+(1-d.fade(d.news[k], blend))*held, d.now
}

// busy leaves a worker alone for about the time in which it frees a slot.
func (d *Dispatcher) busy(j *job, w *worker, strained bool) {
	d.spare = max(d.spare*math.Pow(strain, float64(count(strained))), leastSpare)
	w.fullFor = min(max(2*w.fullFor, d.tick), seconds(d.took[j.Class])+d.tick)
	w.fullTill = d.now + w.fullFor
}
