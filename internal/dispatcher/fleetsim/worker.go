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
	sim                  *simulation
	id                   decision.WorkerID
	kindIndex, zone      int
	kind                 *Kind
	speed                float64
	up                   bool
	unresponsive         bool // dead without a word
	draining             bool
	overloaded           bool // pushed over while cold: down for good
	startedAt            time.Duration
	warmedUp             bool
	incarnation          int     // counts restarts
	externalShare        float64 // of the machine, by other programs
	servedEach           float64 // service that every running job has got
	servedUntil          time.Duration
	planNumber           int // the planned next end; older ones are void
	running              priorityqueue.Queue[*attempt]
	waiting              []*attempt
	unreported           []*attempt // lost without a word: reset once it is back
	connections          int
	sentWhileCold        []sentWork // while cold
	reports              [32]loadReport
	reportCount          int
	reportInterval       time.Duration
	reportDelay          time.Duration
	completedSinceReport int // since the last snapshot
	busySlotSeconds      float64
}

type sentWork struct {
	at   time.Duration
	work float64
}

// run is what a worker group remembers of a key.
type dedupRun struct {
	doneAt     time.Duration // when it was done
	done       bool
	duplicates []*attempt // repeats that came while it ran
}

type loadReport struct {
	at   time.Duration
	load decision.Load
}

// Before orders running attempts by the service at which they are done.
func (a *attempt) Before(other *attempt) bool { return a.completesAt < other.completesAt }

func (d *simulation) addWorker(kind, zone int) {
	k := &d.Kinds[kind]
	id := decision.WorkerID(uint32(len(d.workers)+1) * 2654435761)
	w := &worker{sim: d, id: id, kindIndex: kind, kind: k, zone: zone, speed: k.Speed.Draw(d.workerRandom), up: true, warmedUp: true,
		reportInterval: sec(d.ReportIntervalSeconds.Draw(d.workerRandom)), reportDelay: sec(d.ReportDelaySeconds.Draw(d.workerRandom))}
	d.workers = append(d.workers, w)
}

// capacity is the share of its speed that a worker has since its start.
func (w *worker) speedShare(at time.Duration) float64 {
	if w.warmedUp || w.startedAt == 0 {
		return 1
	}
	age := (at - w.startedAt).Seconds() / max(w.kind.SlowStartSeconds, 1e-9)
	return min(w.kind.SlowStartShare+(1-w.kind.SlowStartShare)*age, 1)
}

// rate is the service a second of each running job at a moment.
func (w *worker) rate(at time.Duration) float64 {
	n := float64(len(w.running))
	if n == 0 {
		return 0
	}
	return w.speed * w.speedShare(at) * min(1, w.kind.Cores*(1-w.externalShare)/n)
}

// count brings the service up to now. Capacity grows evenly, so the middle of the time stands for it.
func (w *worker) advance() {
	span := (w.sim.now - w.servedUntil).Seconds()
	if span > 0 {
		w.servedEach += w.rate(w.servedUntil+(w.sim.now-w.servedUntil)/2) * span
		w.busySlotSeconds += float64(len(w.running)) * span
	}
	w.servedUntil = w.sim.now
}

// replan sets the next end. It is called whenever the rate has changed, after count.
func (w *worker) planNextCompletion() {
	w.planNumber++
	if len(w.running) == 0 {
		return
	}
	plan, r := w.planNumber, w.rate(w.sim.now)
	left := w.running[0].completesAt - w.servedEach
	wait := time.Duration(math.MaxInt64)
	if r > 0 {
		wait = sec(min(left/r, 1e6)) + 1
	}
	if !w.warmedUp { // the rate grows meanwhile: look again soon
		wait = min(wait, 50*time.Millisecond)
	}
	if wait == math.MaxInt64 {
		return // nothing moves until something changes
	}
	w.sim.schedule(wait, func() {
		if plan != w.planNumber {
			return
		}
		w.advance()
		if !w.warmedUp && w.speedShare(w.sim.now) >= 1 {
			w.warmedUp = true
		}
		for len(w.running) > 0 && w.running[0].completesAt <= w.servedEach+1e-9 {
			w.complete(w.running.Pop())
		}
		w.startWaiting()
		w.planNextCompletion()
	})
}

// arrive is an attempt's last byte at the worker.
func (w *worker) arrive(a *attempt) {
	if !w.up || a.incarnation != w.incarnation {
		if w.unresponsive {
			w.unreported = append(w.unreported, a)
		} else {
			a.sendOutcome(decision.Reset, nil)
		}
		return
	}
	if !w.warmedUp && w.overload(a.work) {
		return
	}
	if q := a.job.request; q.dedupKey != 0 {
		if r := w.sim.dedup(q); r != nil {
			if r.done {
				a.sendOutcome(decision.OK, w)
			} else {
				r.duplicates = append(r.duplicates, a)
			}
			return
		}
	}
	w.advance()
	switch {
	case len(w.running) < w.kind.Slots && len(w.waiting) == 0:
		w.start(a)
		w.planNextCompletion()
	case len(w.waiting) < w.kind.Queue:
		w.waiting = append(w.waiting, a)
	default:
		w.sim.result.Kinds[w.kindIndex].RejectedJobs++
		w.sim.forgetRun(a.job.request)
		a.sendOutcome(decision.Rejected, w)
	}
}

// repeats gives the run of a key that has run or runs anywhere, as all workers know, and notes it if there is none.
func (d *simulation) dedup(q *request) *dedupRun {
	if r := d.dedupRuns[q.dedupKey]; r != nil && (!r.done || d.now-r.doneAt < sec(d.Classes[q.class].DedupWindowSeconds)) {
		return r
	} else if r != nil {
		d.result.Violations["ran twice"]++
	}
	d.dedupRuns[q.dedupKey] = &dedupRun{}
	return nil
}

func (d *simulation) forgetRun(q *request) {
	if q.dedupKey != 0 {
		delete(d.dedupRuns, q.dedupKey)
	}
}

// pushedOver notes work sent to a cold worker; beyond the rule's multiple of what it can do, it falls for good.
func (w *worker) overload(work float64) bool {
	now, span := w.sim.now, sec(w.sim.SlowStart.OverloadSpanSeconds)
	w.sentWhileCold = append(w.sentWhileCold, sentWork{now, work})
	for len(w.sentWhileCold) > 0 && now-w.sentWhileCold[0].at > span {
		w.sentWhileCold = w.sentWhileCold[1:]
	}
	total := 0.0
	for _, s := range w.sentWhileCold {
		total += s.work
	}
	if total <= w.sim.SlowStart.OverloadMultiple*w.kind.Cores*w.speed*w.speedShare(now)*span.Seconds()+work {
		return false
	}
	w.sim.result.Violations["cold worker pushed over"]++
	w.overloaded = true
	w.stop(false)
	return true
}

func (w *worker) start(a *attempt) {
	a.started = true
	a.completesAt = w.servedEach + a.work
	w.running.Push(a)
	a.sendProgress(decision.JobStarted, 0)
	a.reportProgress()
}

// runsOn tells progress once a second.
func (a *attempt) reportProgress() {
	a.worker.sim.schedule(progressInterval, func() {
		if a.started && !a.endedAtWorker && a.worker.up && a.incarnation == a.worker.incarnation {
			a.worker.advance()
			a.sendProgress(decision.JobAdvanced, min(max(1-(a.completesAt-a.worker.servedEach)/a.work, 0), 1))
			a.reportProgress()
		}
	})
}

func (w *worker) complete(a *attempt) {
	a.endedAtWorker = true
	w.completedSinceReport++
	w.sim.result.Kinds[w.kindIndex].Completed++
	w.sim.result.WorkSeconds += a.work
	a.sendOutcome(decision.OK, w)
	if q := a.job.request; q.dedupKey != 0 {
		if r := w.sim.dedupRuns[q.dedupKey]; r != nil {
			r.done, r.doneAt = true, w.sim.now
			for _, dup := range r.duplicates {
				dup.sendOutcome(decision.OK, w)
			}
			r.duplicates = nil
		}
	}
}

// next lets waiting jobs in, in order.
func (w *worker) startWaiting() {
	for len(w.waiting) > 0 && len(w.running) < w.kind.Slots {
		a := w.waiting[0]
		w.waiting[0] = nil
		w.waiting = w.waiting[1:]
		w.start(a)
	}
}

// die ends the process. What it had is lost: its dispatchers see a reset, or nothing.
func (w *worker) stop(silent bool) {
	if !w.up {
		return
	}
	w.advance()
	w.up, w.unresponsive, w.draining = false, silent, false
	lost := append(slices.Clone([]*attempt(w.running)), w.waiting...)
	w.running, w.waiting, w.connections, w.sentWhileCold = nil, nil, 0, nil
	w.planNextCompletion()
	for _, a := range lost {
		a.endedAtWorker = true
		var dups []*attempt
		if q := a.job.request; q.dedupKey != 0 {
			if r := w.sim.dedupRuns[q.dedupKey]; r != nil && !r.done {
				dups = r.duplicates
				w.sim.forgetRun(q)
			}
		}
		for _, a := range append(dups, a) {
			if silent {
				w.unreported = append(w.unreported, a)
			} else {
				a.sendOutcome(decision.Reset, nil)
			}
		}
	}
	for _, n := range w.sim.dispatchers {
		delay := w.sim.DiscoveryDelaySeconds
		if !silent {
			n.loseConnections(w)
		}
		if silent {
			delay = w.sim.UnresponsiveDelaySeconds
		}
		n.learnState(w, decision.Gone, delay.Draw(w.sim.networkRandom))
	}
}

// rise starts a new process, cold.
func (w *worker) restart() {
	if w.up || w.overloaded {
		return
	}
	w.up, w.unresponsive, w.draining, w.warmedUp = true, false, false, w.kind.SlowStartShare >= 1
	w.incarnation++
	w.startedAt, w.servedUntil, w.servedEach = w.sim.now, w.sim.now, 0
	w.reportCount = 0
	for _, a := range w.unreported {
		a.sendOutcome(decision.Reset, nil)
	}
	w.unreported = nil
	for _, n := range w.sim.dispatchers {
		n.loseConnections(w)
		n.learnState(w, decision.Ready, w.sim.DiscoveryDelaySeconds.Draw(w.sim.networkRandom))
	}
}

// report looks at the worker now and then, as its load reports will show it later.
func (w *worker) scheduleReports() {
	w.sim.schedule(time.Duration(w.sim.networkRandom.Float64()*float64(w.reportInterval)), func() { w.takeReport() })
}

func (w *worker) takeReport() {
	if w.up {
		w.reports[w.reportCount%len(w.reports)] = loadReport{w.sim.now, decision.Load{Count: reportFields, Values: [4]float64{
			float64(w.kind.Slots - len(w.running)), 0, float64(w.completedSinceReport) / w.reportInterval.Seconds(), float64(len(w.waiting))}}}
		w.reportCount++
		w.completedSinceReport = 0
	}
	w.sim.schedule(w.reportInterval, w.takeReport)
}

// seen is the newest report that has had the time to come through.
func (w *worker) latestReport() decision.Load {
	for i := w.reportCount - 1; i >= 0 && i > w.reportCount-len(w.reports); i-- {
		if s := w.reports[i%len(w.reports)]; w.sim.now-s.at >= w.reportDelay+w.sim.extraReportDelay {
			return s.load
		}
	}
	return decision.Load{}
}
