package decision

import (
	"slices"
	"testing"
	"time"
)

// A worker that has just started gets no more from one dispatcher than its part, whatever the rest of
// the fleet rejects.
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
		cold := Entry{Worker: 777, Kind: 0, Zone: 0, Started: c.now, State: Ready}
		c.event(Event{Kind: EventList, List: ListDelta, Entries: []Entry{cold}})
		start := c.now
		serve(2, func(to WorkerID) Outcome {
			if to == cold.Worker {
				return OK
			}
			return Rejected
		})
		// A warm worker takes a twelfth of 20 jobs a second from here; cold it surely does a fifth of that.
		limit := c.settings.OverloadMultiple * c.settings.SlowStartShare * 20 / 12 * c.settings.OverloadSpan.Seconds()
		n := 0
		for _, at := range c.warmingSends[cold.Worker] {
			if at < start+c.settings.OverloadSpan {
				n++
			}
		}
		if float64(n) > limit {
			t.Errorf("%d dispatchers: %d jobs to a warming worker within %v, over its part of the budget, %.1f",
				dispatchers, n, c.settings.OverloadSpan, limit)
		}
	}
}

// Found by a search over random days: 156 dispatchers that had looked at a warming worker with a long job
// let short ones through at once, and what each had saved while nobody wanted to go there came in the same
// second. All together stay within the budget.
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
			for range 10 { // within one span everybody wants to send there
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

// Each of 80 dispatchers saved up for a whole job before it sent one to a warming worker: 80 s with its part
// of what such a worker bears, so that 36 new workers were idle for seconds while a third of all jobs was
// rejected. All together use it well now, and stay within the rule's budget.
func TestManyDispatchersShareAWarmingWorker(t *testing.T) {
	checkSharedWarmingWorker(t, 4, 2, 0, 8)  // its warm peers have 13 jobs a second each; it surely bears 4 of that
	checkSharedWarmingWorker(t, 1, 8, 0, 5)  // what mostly idle ones do says little of what it bears: their slots do
	checkSharedWarmingWorker(t, 1, 8, 8, 14) // and where these are all held, it need not wait for its peers to do more
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
		cold := Entry{Worker: 777, Started: time.Minute + 10*time.Second, State: Ready}
		for ; now < time.Minute+13*time.Second; now += time.Second / time.Duration(perSecond) {
			if now >= cold.Started && d.workers.byID[cold.Worker] == nil {
				d.Handle(now, &Event{Kind: EventList, List: ListDelta, Entries: []Entry{cold}}, nil)
			}
			id++
			arrival := Event{Kind: EventJob, Job: id, Tenant: int(id) % 5, Slots: 1, Deadline: now + time.Second}
			for _, a := range d.Handle(now, &arrival, nil) {
				if a.Kind != Send {
					continue
				} else if a.Worker == cold.Worker {
					sends = append(sends, now-cold.Started)
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
	each := max(float64(n*perSecond)/24, slots/run.Seconds()) // jobs a second that a warm worker bears
	for i := range sends {
		last, _ := slices.BinarySearch(sends, sends[i]+time.Second)
		share := 0.3 + 0.7*sends[i].Seconds()/9
		if got, most := float64(last-i), 3*share*each; got > most {
			t.Errorf("%.0f jobs within a second from %v on, the budget is %.1f", got, sends[i], most)
		}
	}
	if len(sends) < least {
		t.Errorf("%d dispatchers' jobs a second, %v slots: %d jobs in 3 s for a warming worker, not %d",
			n*perSecond, slots, len(sends), least)
	}
}
