package decision

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// answerGrace is how long after its deadline a job may be answered.
const answerGrace = 20 * time.Millisecond

// scriptedRun draws valid events and outcomes from one source. The recorded hashes of the actions depend on
// the order of the draws.
type scriptedRun struct {
	*checker
	rng  *rand.Rand
	list []Entry
	keys uint64 // 1 if jobs have keys, otherwise 0
	last JobID  // the last job that has arrived
}

// runScript runs a seeded sequence of valid events and returns the log of the actions.
func runScript(t *testing.T, seed uint64, s Settings, keys uint64, jobs JobID) []string {
	p := &scriptedRun{
		checker: newChecker(t, s, seed),
		rng:     rand.New(rand.NewPCG(seed, 1)),
		list:    testWorkers(24),
		keys:    keys,
	}
	p.event(Event{Kind: EventList, List: ListCached, Entries: p.list})
	for p.last < jobs {
		for range p.rng.IntN(3) {
			p.sendRandomJob()
		}
		for _, id := range sortedIDs(p.jobs) {
			p.advanceJob(id)
			job := p.jobs[id]
			if !job.answered && p.now > job.deadline+answerGrace {
				t.Fatalf("seed %d, %v: job %d got no answer by %v", seed, p.now, id, job.deadline)
			}
			if job.answered && !slices.ContainsFunc(job.sends, func(s trackedAttempt) bool { return !s.done }) {
				delete(p.jobs, id)
			}
		}
		if p.rng.IntN(40) == 0 {
			p.changeList()
		}
		p.advance(10 * time.Millisecond)
	}
	return p.log
}

func (p *scriptedRun) sendRandomJob() {
	p.last++
	p.event(Event{
		Kind:     EventJob,
		Job:      p.last,
		Class:    p.rng.IntN(len(p.settings.Classes)),
		Tenant:   p.rng.IntN(7) - 1,
		Key:      p.rng.Uint64N(40) * p.keys,
		Slots:    float64(1 + p.rng.IntN(3)),
		Deadline: p.now + time.Duration(20+p.rng.IntN(3000))*time.Millisecond,
	})
}

// advanceJob draws events for each attempt of a job and whether the client leaves.
func (p *scriptedRun) advanceJob(id JobID) {
	job := p.jobs[id]
	for attempt := range job.sends {
		p.advanceAttempt(id, attempt)
	}
	if !job.answered && p.rng.IntN(300) == 0 {
		job.answered = true
		p.event(Event{Kind: EventClientLeft, Job: id})
	}
}

func (p *scriptedRun) advanceAttempt(id JobID, attempt int) {
	job := p.jobs[id]
	switch chance := p.rng.IntN(100); {
	case job.sends[attempt].done:
	case p.now >= job.deadline:
		p.outcome(id, attempt, TimedOut)
	case chance < 25:
		if p.settings.ReportsLoad {
			free := float64(p.rng.IntN(4))
			queue := float64(p.rng.IntN(5))
			p.load = Load{Count: 2, Values: [4]float64{free, queue}}
		}
		p.outcome(id, attempt, OK)
	case chance < 40:
		p.outcome(id, attempt, Outcome(int(Error)+p.rng.IntN(7)))
	case chance < 50:
		to := job.sends[attempt].to.Worker
		p.event(Event{Kind: EventJobProgress, Job: id, Attempt: attempt, Worker: to, Progress: JobStarted})
	}
}

// changeList changes the state of one worker and sends a delta, the full list, or a failed call that hides
// the change.
func (p *scriptedRun) changeList() {
	entry := &p.list[p.rng.IntN(len(p.list))]
	entry.State = State(p.rng.IntN(3))
	if entry.State == Ready {
		entry.Started = p.now
	}
	switch p.rng.IntN(4) {
	case 0:
		p.event(Event{Kind: EventList, List: ListFailed})
	case 1:
		full := slices.DeleteFunc(slices.Clone(p.list), func(e Entry) bool { return e.State == Gone })
		p.event(Event{Kind: EventList, List: ListFull, Entries: full})
	default:
		p.event(Event{Kind: EventList, List: ListDelta, Entries: []Entry{*entry}})
	}
}

// sortedIDs returns the IDs of the jobs in ascending order.
func sortedIDs(jobs map[JobID]*trackedJob) []JobID { return slices.Sorted(maps.Keys(jobs)) }

// The rules of the deployment must hold for random events, and the same events must give the same actions.
func TestRulesHoldOnRandomEvents(t *testing.T) {
	variants := map[string]func(*Settings){
		"plain":            func(*Settings) {},
		"keys":             func(*Settings) {},
		"no parallel":      func(s *Settings) { s.ParallelAttempts = false },
		"no cancel":        func(s *Settings) { s.Cancel = false },
		"push, many tries": func(s *Settings) { s.Discovery, s.MaxAttempts = DiscoveryPush, 0 },
		"no tenants":       func(s *Settings) { s.Tenants = nil },
		"restricted kinds and zones": func(s *Settings) {
			s.Classes[0].AllowedKinds = []int{1}
			s.Classes[1].AllowedZones = []int{0, 2}
		},
		"unproven rejections": func(s *Settings) { s.RejectionUnproven = true },
		"closing":             func(s *Settings) { s.DrainCloseWithin = 300 * time.Millisecond },
		"all at once": func(s *Settings) {
			s.Classes[0].AllowedKinds, s.RejectionUnproven, s.DrainCloseWithin = []int{0}, true, 200*time.Millisecond
			s.HealthChecks, s.Report.FreeSlots, s.Cancel, s.ReportsLoad = true, 0, false, true
		},
		"many dispatchers": sharedFleetSettings,
		"expensive zones":  costlyZoneSettings,
		"health checks":    func(s *Settings) { s.HealthChecks, s.Report.FreeSlots = true, 0 },
		"reports": func(s *Settings) {
			loadReportSettings(s)
		},
	}
	for name, change := range variants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := testSettings()
				change(&s)
				keys := map[string]uint64{"keys": 1, "all at once": 1}[name]
				first := runScript(t, seed, s, keys, 3000)
				if !slices.Equal(first, runScript(t, seed, s, keys, 3000)) {
					t.Fatalf("seed %d: the same events gave different actions", seed)
				}
				if len(first) < 1000 {
					t.Fatalf("seed %d: only %d actions", seed, len(first))
				}
			}
		})
	}
}

// The rules must hold at arbitrary settings: 80 random deployments with about 600 jobs and as many steps
// each, the same in every run. The checker does not cover the budget for warming-up workers, which
// TestWarmingWorkerIsNotOverloaded and TestManyDispatchersShareAWarmingWorker test.
func TestRulesHoldOnRandomSettings(t *testing.T) {
	sends, answers := 0, 0
	for seed := range uint64(80) {
		s := randomSettings(rand.New(rand.NewPCG(seed, 2)))
		for _, line := range runScript(t, seed, s, seed%2, 600) {
			sends += boolToInt(strings.Contains(line, fmt.Sprintf("{Kind:%d ", Send)))
			rejected := strings.Contains(line, fmt.Sprintf("{Kind:%d ", Reject))
			failed := strings.Contains(line, fmt.Sprintf("{Kind:%d ", Fail))
			answers += boolToInt(rejected || failed)
		}
		if t.Failed() {
			t.Fatalf("seed %d: %+v", seed, s)
		}
	}
	if sends < 30000 || answers < 10000 {
		t.Errorf("only %d sends and %d rejections and failures, too few to check the rules", sends, answers)
	}
}
