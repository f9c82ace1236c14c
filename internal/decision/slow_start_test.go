package decision

import (
	"slices"
	"testing"
	"time"
)

// A worker that has just started must get no more than its part of the jobs from a dispatcher, whatever other
// workers reject.
func TestWarmingWorkerIsNotOverloaded(t *testing.T) {
	for _, dispatchers := range []int{2, 4, 20} {
		c := newCheckerWithWorkers(t, 12, func(s *Settings) { s.Dispatchers = dispatchers })
		id := JobID(0)
		serve := func(seconds int, o func(to WorkerID) Outcome) {
			for range seconds * 20 {
				id++
				c.sendJob(id, int(id)%5)
				for n := 0; n < len(c.jobs[id].sends) && !c.jobs[id].answered; n++ {
					c.now += 40 * time.Millisecond
					c.outcome(id, n, o(c.jobs[id].sends[n].to.Worker))
				}
				c.advance(10 * time.Millisecond)
			}
		}
		serve(20, func(WorkerID) Outcome { return OK })
		warming := Entry{Worker: 777, Kind: 0, Zone: 0, Started: c.now, State: Ready}
		c.event(Event{Kind: EventList, List: ListDelta, Entries: []Entry{warming}})
		start := c.now
		serve(2, func(to WorkerID) Outcome {
			if to == warming.Worker {
				return OK
			}
			return Rejected
		})
		// A warm worker gets a twelfth of the 20 jobs per second of this dispatcher. A starting one can take a
		// fifth of that.
		limit := c.settings.OverloadMultiple * c.settings.SlowStartShare * 20 / 12 * c.settings.OverloadSpan.Seconds()
		n := 0
		for _, at := range c.warmingSends[warming.Worker] {
			if at < start+c.settings.OverloadSpan {
				n++
			}
		}
		if float64(n) > limit {
			t.Errorf("%d dispatchers: %d jobs to a warming-up worker within %v, the budget is %.1f",
				dispatchers, n, c.settings.OverloadSpan, limit)
		}
	}
}

// All dispatchers together must stay within the budget of a warming-up worker, and unused budget must not
// accumulate. In a search over random days, 156 dispatchers that had considered a warming-up worker for a
// long job sent short jobs at once, and the budget that each had accumulated while it had no jobs for the
// worker was used within the same second.
func TestSlowStartBudgetIsNotSavedUp(t *testing.T) {
	const n = 150
	for _, idle := range []time.Duration{0, 4 * time.Second} {
		work, limit := 0.0, 0.0
		for seed := range uint64(n) {
			s := testSettings()
			s.Dispatchers = n
			s.OverloadMultiple = 1.5
			s.OverloadSpan = time.Second
			s.SlowStartShare = 0.16
			d := newTestDispatcher(t, s, seed)
			d.now = time.Minute
			d.times.runSeconds[0] = 0.9
			d.times.runSeconds[1] = 0.15
			d.budget.servedWork[0] = 2.5
			d.pools.readyCount[0] = 10
			w := &workerState{
				Entry:        Entry{Worker: 1, Started: d.now - 2*time.Second, State: Ready},
				workerHealth: workerHealth{slowness: 1},
			}
			long := &jobState{Event: Event{Class: 0, Slots: 1}}
			short := &jobState{Event: Event{Class: 1, Slots: 1}}
			d.budget.allows(w, long, d.now)
			for range int(idle / (100 * time.Millisecond)) {
				d.now += 100 * time.Millisecond
				d.budget.allows(w, long, d.now)
			}
			share := d.slowStart.share(w, d.now)
			limit += s.OverloadMultiple * share * d.budget.servedWork[0] / rateMemory.Seconds() / d.pools.readyCount[0]
			for range 10 { // within one span all dispatchers send to the worker
				for d.budget.allows(w, short, d.now) {
					w.hasPermit = false
					work += 0.15
				}
				d.now += 100 * time.Millisecond
			}
		}
		if work > limit {
			t.Errorf("idle %v: %.2f slot seconds sent within a span, the budget is %.2f", idle, work, limit)
		}
	}
}

// Many dispatchers together must use a warming-up worker well and stay within its budget. Each of 80
// dispatchers waited until its part of the budget covered a whole job, which took 80 s at its part of what
// such a worker can take. Meanwhile 36 new workers were idle for seconds and a third of all jobs was
// rejected.
func TestManyDispatchersShareAWarmingWorker(t *testing.T) {
	// Each warm peer gets 13 jobs per second, and the worker can take 4 of these.
	checkSharedWarmingWorker(t, 4, 2, 0, 8)
	// The load of mostly idle peers says little about the capacity of the worker. Their slots count instead.
	checkSharedWarmingWorker(t, 1, 8, 0, 5)
	// All slots of the peers are in use: the worker gets jobs before the load of its peers grows.
	checkSharedWarmingWorker(t, 1, 8, 8, 14)
}

func checkSharedWarmingWorker(t *testing.T, perSecond int, slots, queue float64, least int) {
	const n, run = 80, 200 * time.Millisecond
	list := testWorkers(24)
	for i := range list {
		list[i].Kind = 0
	}
	var sends []time.Duration
	for seed := range uint64(n) {
		s := testSettings()
		sharedFleetSettings(&s)
		d := newTestDispatcher(t, s, seed)
		now := time.Minute + time.Duration(seed)*time.Millisecond
		id := JobID(0)
		d.Handle(now, &Event{Kind: EventList, List: ListFull, Entries: list}, nil)
		warming := Entry{Worker: 777, Started: time.Minute + 10*time.Second, State: Ready}
		for ; now < time.Minute+13*time.Second; now += time.Second / time.Duration(perSecond) {
			if now >= warming.Started && d.workers.byID[warming.Worker] == nil {
				d.Handle(now, &Event{Kind: EventList, List: ListDelta, Entries: []Entry{warming}}, nil)
			}
			id++
			arrival := Event{Kind: EventJob, Job: id, Tenant: int(id) % 5, Slots: 1, Deadline: now + time.Second}
			for _, a := range d.Handle(now, &arrival, nil) {
				if a.Kind != Send {
					continue
				} else if a.Worker == warming.Worker {
					sends = append(sends, now-warming.Started)
				}
				d.Handle(now, &Event{Kind: EventJobProgress, Job: id, Worker: a.Worker, Progress: JobStarted}, nil)
				free := slots * float64(boolToInt(queue == 0 || id < 3))
				queued := queue*float64(boolToInt(id >= 3)) + 0.01*float64(id)
				d.Handle(now+run, &Event{Kind: EventOutcome, Job: id, Worker: a.Worker, Outcome: OK, JobEnded: true,
					Load: Load{Count: 2, Values: [4]float64{free, queued}}}, nil)
			}
		}
	}
	slices.Sort(sends)
	each := max(float64(n*perSecond)/24, slots/run.Seconds()) // jobs per second at a warm worker
	for i := range sends {
		last, _ := slices.BinarySearch(sends, sends[i]+time.Second)
		share := 0.3 + 0.7*sends[i].Seconds()/9
		if got, most := float64(last-i), 3*share*each; got > most {
			t.Errorf("%.0f jobs within the second after %v, the budget is %.1f", got, sends[i], most)
		}
	}
	if len(sends) < least {
		t.Errorf("%d jobs per second in all, %v slots: %d jobs in 3 s to a warming-up worker, want %d",
			n*perSecond, slots, len(sends), least)
	}
}
