package decision

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// play runs a seeded sequence of legal events with scripted outcomes and returns the log of actions.
func play(t *testing.T, seed uint64, s Settings, keys uint64, jobs JobID) []string {
	c := newChecker(t, s, seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	list := fleet(24)
	c.event(Event{Kind: EventList, List: ListCached, Entries: list})
	for id := JobID(0); id < jobs; {
		for range rng.IntN(3) {
			id++
			c.event(Event{Kind: EventJob, Job: id, Class: rng.IntN(len(s.Classes)), Tenant: rng.IntN(7) - 1,
				Key: rng.Uint64N(40) * keys, Slots: float64(1 + rng.IntN(3)),
				Deadline: c.now + time.Duration(20+rng.IntN(3000))*time.Millisecond})
		}
		for _, job := range ids(c.jobs) {
			j := c.jobs[job]
			for i := range j.sends {
				switch o := rng.IntN(100); {
				case j.sends[i].done:
				case c.now >= j.deadline:
					c.outcome(job, i, TimedOut)
				case o < 25:
					if s.ReportsLoad {
						c.load = Load{Count: 2, Values: [4]float64{float64(rng.IntN(4)), float64(rng.IntN(5))}}
					}
					c.outcome(job, i, OK)
				case o < 40:
					c.outcome(job, i, Outcome(int(Error)+rng.IntN(7)))
				case o < 50:
					c.event(Event{Kind: EventJobProgress, Job: job, Attempt: i, Worker: j.sends[i].to.Worker, Progress: JobStarted})
				}
			}
			if !j.answered && rng.IntN(300) == 0 {
				j.answered = true
				c.event(Event{Kind: EventClientLeft, Job: job})
			}
			if !j.answered && c.now > j.deadline+20*time.Millisecond {
				t.Fatalf("seed %d, %v: job %d got no answer by %v", seed, c.now, job, j.deadline)
			}
			if j.answered && !slices.ContainsFunc(j.sends, func(s sent) bool { return !s.done }) {
				delete(c.jobs, job)
			}
		}
		if rng.IntN(40) == 0 {
			e := &list[rng.IntN(len(list))]
			e.State = State(rng.IntN(3))
			if e.State == Ready {
				e.Started = c.now
			}
			switch rng.IntN(4) {
			case 0:
				c.event(Event{Kind: EventList, List: ListFailed})
			case 1:
				full := slices.DeleteFunc(slices.Clone(list), func(e Entry) bool { return e.State == Gone })
				c.event(Event{Kind: EventList, List: ListFull, Entries: full})
			default:
				c.event(Event{Kind: EventList, List: ListDelta, Entries: []Entry{*e}})
			}
		}
		c.advance(10 * time.Millisecond)
	}
	return c.log
}

func ids(m map[JobID]*open) []JobID {
	var out []JobID
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func TestRulesHoldOnRandomEvents(t *testing.T) {
	variants := map[string]func(*Settings){
		"plain":            func(*Settings) {},
		"keys":             func(*Settings) {},
		"no parallel":      func(s *Settings) { s.ParallelAttempts = false },
		"no cancel":        func(s *Settings) { s.Cancel = false },
		"push, many tries": func(s *Settings) { s.Discovery, s.MaxAttempts = DiscoveryPush, 0 },
		"no tenants":       func(s *Settings) { s.Tenants = nil },
		"bound":            func(s *Settings) { s.Classes[0].AllowedKinds, s.Classes[1].AllowedZones = []int{1}, []int{0, 2} },
		"full unproven":    func(s *Settings) { s.RejectionUnproven = true },
		"closing":          func(s *Settings) { s.DrainCloseWithin = 300 * time.Millisecond },
		"all at once": func(s *Settings) {
			s.Classes[0].AllowedKinds, s.RejectionUnproven, s.DrainCloseWithin = []int{0}, true, 200*time.Millisecond
			s.HealthChecks, s.Report.FreeSlots, s.Cancel, s.ReportsLoad = true, 0, false, true
		},
		"many share": shared,
		"few, dear":  few,
		"probes":     func(s *Settings) { s.HealthChecks, s.Report.FreeSlots = true, 0 },
		"reports": func(s *Settings) {
			s.ReportsLoad, s.ParallelAttempts, s.Report = true, false, LoadReportLayout{0, -1, 1, -1, -1, -1}
		},
	}
	for name, change := range variants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := site()
				change(&s)
				keys := map[string]uint64{"keys": 1, "all at once": 1}[name]
				first := play(t, seed, s, keys, 3000)
				if !slices.Equal(first, play(t, seed, s, keys, 3000)) {
					t.Fatalf("seed %d: the same events gave other actions", seed)
				}
				if len(first) < 1000 {
					t.Fatalf("seed %d: only %d actions", seed, len(first))
				}
			}
		})
	}
}

// The rules hold at deployments that nobody has described yet: 80 settings, some 600 jobs and as many steps
// each, always the same ones. The budget for warming workers is not among what the checker sees; its tests
// are TestWarmingWorkerIsNotOverloaded and TestManyDispatchersShareAWarmingWorker.
func TestRulesHoldOnRandomSettings(t *testing.T) {
	sends, answers := 0, 0
	for seed := range uint64(80) {
		s := random(rand.New(rand.NewPCG(seed, 2)))
		for _, line := range play(t, seed, s, seed%2, 600) {
			sends += count(strings.Contains(line, fmt.Sprintf("{Kind:%d ", Send)))
			answers += count(strings.Contains(line, fmt.Sprintf("{Kind:%d ", Reject)) || strings.Contains(line, fmt.Sprintf("{Kind:%d ", Fail)))
		}
		if t.Failed() {
			t.Fatalf("seed %d: %+v", seed, s)
		}
	}
	if sends < 30000 || answers < 10000 {
		t.Errorf("%d sends and %d rejections and failures: the settings leave too little to see", sends, answers)
	}
}
