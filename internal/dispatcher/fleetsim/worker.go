package fleetsim

import (
	"math"
	"slices"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/priorityqueue"
)

// slowStartReplanInterval is the longest time between two plans of the next completion while a worker's speed grows.
const slowStartReplanInterval = 50 * time.Millisecond

// worker models one worker: slots that share its cores, a queue, slow start and failures. Service is counted in seconds
// on a core of speed 1.
type worker struct {
	sim                  *simulation
	id                   decision.WorkerID
	kindIndex, zone      int
	kind                 *Kind
	speed                float64
	up                   bool
	unresponsive         bool // stopped without closing its connections
	draining             bool
	overloaded           bool // stopped for good, as it got too much work during its slow start
	startedAt            time.Duration
	warmedUp             bool
	incarnation          int           // counts restarts
	externalShare        float64       // of the machine, used by other programs
	servedPerJob         float64       // service given so far to a job that has been running since the worker's start
	servedUntil          time.Duration // the time up to which servedPerJob is counted
	planNumber           int           // of the planned next completion; events of older plans do nothing
	running              priorityqueue.Queue[*attempt]
	waiting              []*attempt
	pendingResets        []*attempt // attempts lost without a response; reset when the worker restarts
	connections          int
	recentSlowStartWork  []sentWork // during slow start, within the last OverloadSpanSeconds
	reports              [32]loadReport
	reportCount          int
	reportInterval       time.Duration
	reportDelay          time.Duration
	completedSinceReport int
	busySlotSeconds      float64
}

// sentWork is the work of one attempt that arrived at a worker, in seconds on a core of speed 1.
type sentWork struct {
	at   time.Duration
	work float64
}

// dedupRun is the run of a deduplication key, as all workers know it.
type dedupRun struct {
	doneAt     time.Duration
	done       bool
	duplicates []*attempt // that arrived during the run and get its outcome
}

// loadReport is a worker's load at one time.
type loadReport struct {
	at   time.Duration
	load decision.Load
}

// Before reports whether the attempt completes before the other one at the same worker.
func (a *attempt) Before(other *attempt) bool { return a.completesAt < other.completesAt }

func (sim *simulation) addWorker(kind, zone int) {
	workerKind := &sim.Kinds[kind]
	id := decision.WorkerID(uint32(len(sim.workers)+1) * 2654435761)
	w := &worker{sim: sim, id: id, kindIndex: kind, kind: workerKind, zone: zone, speed: workerKind.Speed.Draw(sim.workerRandom), up: true, warmedUp: true,
		reportInterval: sec(sim.ReportIntervalSeconds.Draw(sim.workerRandom)), reportDelay: sec(sim.ReportDelaySeconds.Draw(sim.workerRandom))}
	sim.workers = append(sim.workers, w)
}

// speedShare returns the share of its full speed that a worker has at the given time. It grows linearly after a start.
func (w *worker) speedShare(at time.Duration) float64 {
	if w.warmedUp || w.startedAt == 0 {
		return 1
	}
	age := (at - w.startedAt).Seconds() / max(w.kind.SlowStartSeconds, 1e-9)
	return min(w.kind.SlowStartShare+(1-w.kind.SlowStartShare)*age, 1)
}

// rate returns the service per second that each running job gets at the given time.
func (w *worker) rate(at time.Duration) float64 {
	jobs := float64(len(w.running))
	if jobs == 0 {
		return 0
	}
	return w.speed * w.speedShare(at) * min(1, w.kind.Cores*(1-w.externalShare)/jobs)
}

// advance counts the service up to now. As the speed grows linearly, it uses the speed at the middle of the interval.
func (w *worker) advance() {
	span := (w.sim.now - w.servedUntil).Seconds()
	if span > 0 {
		w.servedPerJob += w.rate(w.servedUntil+(w.sim.now-w.servedUntil)/2) * span
		w.busySlotSeconds += float64(len(w.running)) * span
	}
	w.servedUntil = w.sim.now
}

// planNextCompletion schedules the next completion. It is called whenever the rate has changed, after advance.
func (w *worker) planNextCompletion() {
	w.planNumber++
	if len(w.running) == 0 {
		return
	}
	plan, currentRate := w.planNumber, w.rate(w.sim.now)
	remaining := w.running[0].completesAt - w.servedPerJob
	wait := time.Duration(math.MaxInt64)
	if currentRate > 0 {
		wait = sec(min(remaining/currentRate, 1e6)) + 1
	}
	if !w.warmedUp { // the rate grows in the meantime, so the completion is planned again soon
		wait = min(wait, slowStartReplanInterval)
	}
	if wait == math.MaxInt64 {
		return // no job advances until the rate changes
	}
	w.sim.schedule(wait, func() {
		if plan != w.planNumber {
			return
		}
		w.advance()
		if !w.warmedUp && w.speedShare(w.sim.now) >= 1 {
			w.warmedUp = true
		}
		for len(w.running) > 0 && w.running[0].completesAt <= w.servedPerJob+1e-9 {
			w.complete(w.running.Pop())
		}
		w.startWaiting()
		w.planNextCompletion()
	})
}

// arrive handles the arrival of an attempt's last byte at the worker.
func (w *worker) arrive(a *attempt) {
	if !w.up || a.incarnation != w.incarnation {
		if w.unresponsive {
			w.pendingResets = append(w.pendingResets, a)
		} else {
			a.sendOutcome(decision.Reset, nil)
		}
		return
	}
	if !w.warmedUp && w.overloadedBy(a.work) {
		return
	}
	if req := a.job.request; req.dedupKey != 0 {
		if run := w.sim.dedup(req); run != nil {
			if run.done {
				a.sendOutcome(decision.OK, w)
			} else {
				run.duplicates = append(run.duplicates, a)
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

// dedup returns the run of a request's deduplication key, at whichever worker it runs or ran. If there is none within
// the window, dedup records a new run and returns nil.
func (sim *simulation) dedup(req *request) *dedupRun {
	if run := sim.dedupRuns[req.dedupKey]; run != nil && (!run.done || sim.now-run.doneAt < sec(sim.Classes[req.class].DedupWindowSeconds)) {
		return run
	} else if run != nil {
		sim.result.Violations[violationRanTwice]++
	}
	sim.dedupRuns[req.dedupKey] = &dedupRun{}
	return nil
}

func (sim *simulation) forgetRun(req *request) {
	if req.dedupKey != 0 {
		delete(sim.dedupRuns, req.dedupKey)
	}
}

// overloadedBy records work that arrived during a worker's slow start, and reports whether the worker is overloaded by
// it. An overloaded worker stops for good.
func (w *worker) overloadedBy(work float64) bool {
	now, span := w.sim.now, sec(w.sim.SlowStart.OverloadSpanSeconds)
	w.recentSlowStartWork = append(w.recentSlowStartWork, sentWork{now, work})
	for len(w.recentSlowStartWork) > 0 && now-w.recentSlowStartWork[0].at > span {
		w.recentSlowStartWork = w.recentSlowStartWork[1:]
	}
	total := 0.0
	for _, sent := range w.recentSlowStartWork {
		total += sent.work
	}
	if total <= w.sim.SlowStart.OverloadMultiple*w.kind.Cores*w.speed*w.speedShare(now)*span.Seconds()+work {
		return false
	}
	w.sim.result.Violations[ViolationOverload]++
	w.overloaded = true
	w.stop(false)
	return true
}

// start runs an attempt in a slot.
func (w *worker) start(a *attempt) {
	a.started = true
	a.completesAt = w.servedPerJob + a.work
	w.running.Push(a)
	a.sendProgress(decision.JobStarted, 0)
	a.reportProgress()
}

// reportProgress reports progress every progressInterval while the attempt runs.
func (a *attempt) reportProgress() {
	a.worker.sim.schedule(progressInterval, func() {
		if a.started && !a.endedAtWorker && a.worker.up && a.incarnation == a.worker.incarnation {
			a.worker.advance()
			a.sendProgress(decision.JobAdvanced, min(max(1-(a.completesAt-a.worker.servedPerJob)/a.work, 0), 1))
			a.reportProgress()
		}
	})
}

// complete ends a running attempt, and the duplicates that wait for its run.
func (w *worker) complete(a *attempt) {
	a.endedAtWorker = true
	w.completedSinceReport++
	w.sim.result.Kinds[w.kindIndex].Completed++
	w.sim.result.WorkSeconds += a.work
	a.sendOutcome(decision.OK, w)
	if req := a.job.request; req.dedupKey != 0 {
		if run := w.sim.dedupRuns[req.dedupKey]; run != nil {
			run.done, run.doneAt = true, w.sim.now
			for _, duplicate := range run.duplicates {
				duplicate.sendOutcome(decision.OK, w)
			}
			run.duplicates = nil
		}
	}
}

// startWaiting starts waiting attempts in the order of their arrival while there are free slots.
func (w *worker) startWaiting() {
	for len(w.waiting) > 0 && len(w.running) < w.kind.Slots {
		a := w.waiting[0]
		w.waiting[0] = nil
		w.waiting = w.waiting[1:]
		w.start(a)
	}
}

// stop ends the process. Its attempts are lost: their dispatchers see a reset or, if the worker is unresponsive,
// nothing.
func (w *worker) stop(unresponsive bool) {
	if !w.up {
		return
	}
	w.advance()
	w.up, w.unresponsive, w.draining = false, unresponsive, false
	lost := append(slices.Clone([]*attempt(w.running)), w.waiting...)
	w.running, w.waiting, w.connections, w.recentSlowStartWork = nil, nil, 0, nil
	w.planNextCompletion()
	for _, a := range lost {
		a.endedAtWorker = true
		var lostDuplicates []*attempt
		if req := a.job.request; req.dedupKey != 0 {
			if run := w.sim.dedupRuns[req.dedupKey]; run != nil && !run.done {
				lostDuplicates = run.duplicates
				w.sim.forgetRun(req)
			}
		}
		for _, a := range append(lostDuplicates, a) {
			if unresponsive {
				w.pendingResets = append(w.pendingResets, a)
			} else {
				a.sendOutcome(decision.Reset, nil)
			}
		}
	}
	for _, d := range w.sim.dispatchers {
		delay := w.sim.DiscoveryDelaySeconds
		if !unresponsive {
			d.loseConnections(w)
		}
		if unresponsive {
			delay = w.sim.UnresponsiveDelaySeconds
		}
		d.learnState(w, decision.Gone, delay.Draw(w.sim.networkRandom))
	}
}

// restart starts a new process, which begins with its slow start. An overloaded worker stays stopped.
func (w *worker) restart() {
	if w.up || w.overloaded {
		return
	}
	w.up, w.unresponsive, w.draining, w.warmedUp = true, false, false, w.kind.SlowStartShare >= 1
	w.incarnation++
	w.startedAt, w.servedUntil, w.servedPerJob = w.sim.now, w.sim.now, 0
	w.reportCount = 0
	for _, a := range w.pendingResets {
		a.sendOutcome(decision.Reset, nil)
	}
	w.pendingResets = nil
	for _, d := range w.sim.dispatchers {
		d.loseConnections(w)
		d.learnState(w, decision.Ready, w.sim.DiscoveryDelaySeconds.Draw(w.sim.networkRandom))
	}
}

// scheduleReports schedules the worker's load reports, the first at a random time within its report interval.
func (w *worker) scheduleReports() {
	w.sim.schedule(time.Duration(w.sim.networkRandom.Float64()*float64(w.reportInterval)), func() { w.takeReport() })
}

// takeReport records the worker's load, and schedules the next report. A report reaches dispatchers later, with an
// outcome.
func (w *worker) takeReport() {
	if w.up {
		w.reports[w.reportCount%len(w.reports)] = loadReport{w.sim.now, decision.Load{Count: reportFields, Values: [4]float64{
			float64(w.kind.Slots - len(w.running)), 0, float64(w.completedSinceReport) / w.reportInterval.Seconds(), float64(len(w.waiting))}}}
		w.reportCount++
		w.completedSinceReport = 0
	}
	w.sim.schedule(w.reportInterval, w.takeReport)
}

// latestReport returns the newest report that is older than its delay, or an empty one.
func (w *worker) latestReport() decision.Load {
	for i := w.reportCount - 1; i >= 0 && i > w.reportCount-len(w.reports); i-- {
		if report := w.reports[i%len(w.reports)]; w.sim.now-report.at >= w.reportDelay+w.sim.extraReportDelay {
			return report.load
		}
	}
	return decision.Load{}
}
