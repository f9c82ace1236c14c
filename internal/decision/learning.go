// Learning: slots, times and load of workers, from starts, reports and full queues.

package decision

import (
	"cmp"
	"math"
	"time"
)

const sampleWeight, memory = 0.05, 10 * time.Second // weight of a sample in running means; span of arrivals

const reportAge, forgetAfter, meanSpan = 700 * time.Millisecond, 5 * time.Second, 2 * time.Second

const learn, errorWeight = 0.12, 0.4 // weight of a report, old and noisy; of an outcome among latest errors

const maxSlotsHeld, maxSlowness = 4, 32 // times its slots at a worker; times the measure, a kind

// decay is what is left of something since t, if most of it goes within span.
func (d *Dispatcher) decay(t, span time.Duration) float64 {
	return math.Exp(-(d.now - t).Seconds() / span.Seconds())
}

// hold takes slots at a worker, and keeps what own slots were a while ago, when the reports of now were made.
func (d *Dispatcher) hold(w *worker, slots float64) {
	w.pastSlots, w.pastAt = w.pastSlots+(w.out-w.pastSlots)*(1-d.decay(w.pastAt, reportAge)), d.now
	w.out += slots
}

// start learns from when a job began: a worker that begins it at once had room, one that is late had none.
func (d *Dispatcher) start(j *job, t *attempt) {
	w, aim, took := t.w, d.class(j).LatencyTarget, (d.now - t.sent).Seconds()
	t.started, w.startedAtOnce, w.running = d.now, d.now-t.sent <= d.tick, w.running+1
	if d.let = min(d.let+lateStartShed/4, 1); !d.sees && d.now-t.sent > aim/2 { // as good as full
		d.busy(j, w, true)
		d.let *= 1 - lateStartShed*float64(min((d.now-t.sent)/max(aim, 1), 1)) // if the aim is gone
	}
	if *t.way = 1.1 * cmp.Or(*t.way, took); took < *t.way { // a low quarter of the starts: few of those waited
		*t.way = max(*t.way*0.68, minRun)
	}
	d.slotCount[w.Kind] = max(d.slotCount[w.Kind], w.running)
	if took > t.lateAfter {
		d.learnLate(w, took-t.lateAfter)
		return
	}
	d.learn(w, max(min(d.others(w), d.slots(w.Kind)-w.out), 0), min(d.usual[d.place(w)], d.slots(w.Kind)-1))
}

// learnReport learns from a load report how many slots a worker has, and what others hold.
func (d *Dispatcher) learnReport(w *worker, l *Load) {
	r, n, room := d.set.Report, min(l.Count, len(l.Values)), &d.slotCount[w.Kind]
	if slots := r.TotalSlots(l); slots > 0 && slots < math.MaxInt32 {
		*room += max(sampleWeight, 1-*room) * (slots - *room)
	}
	if !d.sees || r.FreeSlots >= n || r.Queue >= n || *l == w.lastReport {
		return
	}
	w.lastReport = *l
	if free := math.Round(l.Values[r.FreeSlots]); free > *room && free < math.MaxInt32 {
		*room = free
	}
	held := max(d.slots(w.Kind)+r.QueuedSlots(l)-w.pastSlots, 0)
	d.learn(w, d.others(w)+learn*(held-d.others(w)), held)
}

// learnLate learns from a job that waits at a worker.
func (d *Dispatcher) learnLate(w *worker, wait float64) {
	held := d.slots(w.Kind) * (1 + wait/(d.meanRun*d.slow[w.Kind]))
	d.learn(w, max(d.others(w), d.slots(w.Kind)-w.out, 0), held)
}

// learn notes what others hold at a worker, and takes what they seem to hold there into the mean of its kind.
func (d *Dispatcher) learn(w *worker, others, held float64) {
	w.others, w.othersAt = others, d.now
	k := d.place(w)
	held = min(held, maxSlotsHeld*d.slots(w.Kind)) - d.usual[k]
	d.usual[k], d.usualAt[k] = d.usual[k]+(1-d.decay(d.usualAt[k], meanSpan))*held, d.now
}

// busy leaves a worker alone for about the time in which it frees a slot.
func (d *Dispatcher) busy(j *job, w *worker, strained bool) {
	d.spare = max(d.spare*math.Pow(excessBackoff, float64(count(strained))), leastSpare)
	w.pause = min(max(2*w.pause, d.tick), seconds(d.answerTime[j.Class])+d.tick)
	w.fullTill = d.now + w.pause
}
