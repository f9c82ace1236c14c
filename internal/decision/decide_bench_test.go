package decision

import (
	"fmt"
	"testing"
	"time"
)

// sizes are the numbers of workers in the benchmarks. The largest exceeds every measured fleet.
var sizes = []int{10, 60, 200, 2000}

// warmedUpDispatcher returns a dispatcher, one of 300, that has served jobs with n workers, with its list,
// its clock and a function that serves one more job.
func warmedUpDispatcher(b *testing.B, n int) (*Dispatcher, []Entry, *time.Duration, func(id JobID)) {
	s := testSettings()
	loadReportSettings(&s)
	s.Dispatchers = 300
	d := newTestDispatcher(b, s, 1)
	list := testWorkers(n)
	now := time.Minute
	d.Handle(now, &Event{Kind: EventList, List: ListFull, Entries: list}, nil)
	var acts []Action
	job := func(id JobID) { // arrival, send, start and outcome of one job
		now += 200 * time.Millisecond
		acts = d.Handle(now, &Event{Kind: EventJob, Job: id, Tenant: int(id) % 5, Slots: 1,
			Deadline: now + 5*time.Second}, acts[:0])
		for _, a := range acts {
			if a.Kind == Send {
				d.Handle(now+time.Millisecond, &Event{Kind: EventJobProgress, Job: id, Worker: a.Worker,
					Progress: JobStarted}, nil)
				d.Handle(now+100*time.Millisecond, &Event{Kind: EventOutcome, Job: id, Worker: a.Worker, Outcome: OK,
					JobEnded: true,
					Load:     Load{Count: 2, Values: [4]float64{float64(id % 3), 0.01 * float64(id%97)}}}, nil)
			}
		}
		d.Handle(now+150*time.Millisecond, &Event{Kind: EventTimer, Token: checkToken}, nil)
	}
	for id := JobID(1); id <= 500; id++ {
		job(id)
	}
	return d, list, &now, job
}

// BenchmarkDecision measures the cost of one job from its arrival to its outcome.
func BenchmarkDecision(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			_, _, _, job := warmedUpDispatcher(b, n)
			id := JobID(1000)
			for b.Loop() {
				id++
				job(id)
			}
		})
	}
}

// BenchmarkListChange measures the cost of a change of the list.
func BenchmarkListChange(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, list, now, _ := warmedUpDispatcher(b, n)
			acts, change := []Action(nil), list[:1:1]
			for b.Loop() {
				*now += time.Millisecond
				change[0].State = Ready + Draining - change[0].State
				acts = d.Handle(*now, &Event{Kind: EventList, List: ListDelta, Entries: change}, acts[:0])
			}
		})
	}
}
