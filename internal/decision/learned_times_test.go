package decision

import (
	"flag"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same steps in every run

// Estimates must stay finite if jobs seem to take no time and if the first kind has no workers. The messages
// of the start and the end of a job may arrive in one write. Each such job lowered the slowness of a kind by
// a factor and raised the run time of a class by a factor, until both were NaN and every job was rejected
// permanently.
func TestZeroRunTimesKeepEstimatesBounded(t *testing.T) {
	for _, kind := range []int{0, 1} {
		s := testSettings()
		s.ReportsLoad = true
		s.Report = LoadReportLayout{FreeSlots: 0, Queue: 3, FreeMemory: -1, InFlight: -1, Util: -1, Errors: -1}
		d, now := newTestDispatcher(t, s, 1), time.Minute
		list := testWorkers(12)
		for i := range list {
			list[i].Kind = kind
		}
		d.Handle(now, &Event{Kind: EventList, List: ListFull, Entries: list}, nil)
		for id := JobID(1); id <= 100_000; id++ {
			if now += 250 * time.Microsecond; id%64 == 0 {
				d.Handle(now, &Event{Kind: EventTimer, Token: checkToken}, nil)
			}
			var sent *Action
			for _, a := range d.Handle(now, &Event{Kind: EventJob, Job: id, Slots: 1, Deadline: now + 4*time.Second}, nil) {
				if a.Kind == Send {
					sent = &a
				}
			}
			if sent == nil {
				t.Fatalf("kind %d: job %d was not sent although all workers are idle", kind, id)
			}
			d.Handle(now, &Event{Kind: EventJobProgress, Progress: JobStarted, Job: id, Worker: sent.Worker}, nil)
			d.Handle(now, &Event{Kind: EventOutcome, Job: id, Worker: sent.Worker, Outcome: OK,
				Load: Load{Count: 4, Values: [4]float64{2, 0, 0, 0}}}, nil)
		}
		checkLearnedBounds(t, d)
	}
}

// checkLearnedBounds checks that the estimates of a dispatcher are within the bounds that its decisions need.
func checkLearnedBounds(t interface{ Errorf(string, ...any) }, d *Dispatcher) {
	within := func(what string, v, least, most float64) {
		if !(v >= least && v <= most) {
			t.Errorf("%s is %v, want %v to %v", what, v, least, most)
		}
	}
	const most = 1e6
	for k := range d.times.slowness {
		within("slowness of kind", d.times.slowness[k], 1./maxSlowness, maxSlowness)
		within("served work", d.budget.servedWork[k], 0, math.MaxFloat32)
		within("slots seen", d.load.slotsSeen[k], 0, math.MaxInt32)
	}
	for i := range d.times.runSeconds {
		within("run time", d.times.runSeconds[i], minRunSeconds/maxSlowness, most)
		within("answer time", d.times.answerSeconds[i], 0, most)
	}
	within("mean run time", d.times.meanRunSeconds, minRunSeconds/maxSlowness, most)
	within("over-quota share", d.shedder.overQuotaShare, minAdmittedShare, 1)
	for _, w := range d.workers.ordered {
		within("slowness of worker", w.slowness, 1e-9, most)
		within("peer slots", w.peerSlots, 0, math.MaxFloat32)
		within("wait time", d.forecasts.waitSeconds(w, 1, d.now), 0, math.MaxFloat32)
	}
}

// Estimates must stay finite and within their bounds for any run times, from 0 to days, and any reported
// values.
func TestLearnedEstimatesStayInBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := testSettings()
		s.ReportsLoad = true
		s.Report = LoadReportLayout{FreeSlots: 0, Queue: 3, FreeMemory: -1, InFlight: -1, Util: -1, Errors: -1}
		s.Classes[0].LatencyTarget, s.Classes[1].Value = time.Duration(rapid.IntRange(0, 1).Draw(rt, "aim"))*time.Second, 0
		d, now := newTestDispatcher(t, s, 1), time.Minute
		kind := rapid.IntRange(0, 2).Draw(rt, "kinds at work")
		list := testWorkers(6)
		for i := range list {
			if list[i].Kind = i % 2; kind < 2 {
				list[i].Kind = kind
			}
		}
		d.Handle(now, &Event{Kind: EventList, List: ListFull, Entries: list}, nil)
		spans := rapid.SliceOfN(rapid.SampledFrom([]time.Duration{0, 1, time.Microsecond, time.Millisecond, time.Second,
			time.Hour, 200 * time.Hour}), 1, 8).Draw(rt, "spans")
		anyFigure := rapid.SampledFrom([]float64{0, 1, -5, 1e300, math.Inf(1), math.Inf(-1), math.NaN()})
		figures := rapid.SliceOfN(anyFigure, 1, 8).Draw(rt, "figures")
		for id := JobID(1); id < 2000; id++ {
			if now += time.Millisecond; id%64 == 0 {
				d.Handle(now, &Event{Kind: EventTimer, Token: checkToken}, nil)
			}
			span, figure := spans[int(id)%len(spans)], figures[int(id)%len(figures)]
			acts := d.Handle(now, &Event{Kind: EventJob, Job: id, Class: int(id) % len(s.Classes), Slots: figure}, nil)
			for n := 0; n < len(acts); n++ {
				if a := acts[n]; a.Kind == Send {
					d.Handle(now, &Event{Kind: EventJobProgress, Progress: JobStarted, Job: a.Job, Attempt: a.Attempt,
						Worker: a.Worker}, nil)
					now += span
					d.Handle(now, &Event{Kind: EventOutcome, Job: a.Job, Attempt: a.Attempt, Worker: a.Worker, Outcome: OK, JobEnded: true,
						Load: Load{Count: 4, Values: [4]float64{figure, 0, 0, figure}}}, nil)
				}
			}
		}
		checkLearnedBounds(rt, d)
	})
}
