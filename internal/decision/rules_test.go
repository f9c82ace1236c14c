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

// answerGrace is how long after its deadline the checker still takes a job's answer.
const answerGrace = 20 * time.Millisecond

// scriptedRun draws legal events with scripted outcomes from one source. The order of the draws is recorded with the
// hashes of the actions.
type scriptedRun struct {
	*checker
	rng  *rand.Rand
	list []Entry
	keys uint64 // 1 if jobs have keys, else 0
	last JobID  // the last one that has arrived
}

// runScript runs a seeded sequence of legal events with scripted outcomes and returns the log of actions.
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

// advanceJob draws what becomes of each attempt of a job, and whether its client leaves.
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

// changeList changes the state of one worker and tells it by a delta, by the whole list, or not at all.
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

// sortedIDs is the sortedIDs of jobs in their order.
func sortedIDs(jobs map[JobID]*trackedJob) []JobID { return slices.Sorted(maps.Keys(jobs)) }

func TestRulesHoldOnRandomEvents(t *testing.T) {
	variants := map[string]func(*Settings){
		"plain":            func(*Settings) {},
		"keys":             func(*Settings) {},
		"no parallel":      func(s *Settings) { s.ParallelAttempts = false },
		"no cancel":        func(s *Settings) { s.Cancel = false },
		"push, many tries": func(s *Settings) { s.Discovery, s.MaxAttempts = DiscoveryPush, 0 },
		"no tenants":       func(s *Settings) { s.Tenants = nil },
		"bound": func(s *Settings) {
			s.Classes[0].AllowedKinds = []int{1}
			s.Classes[1].AllowedZones = []int{0, 2}
		},
		"full unproven": func(s *Settings) { s.RejectionUnproven = true },
		"closing":       func(s *Settings) { s.DrainCloseWithin = 300 * time.Millisecond },
		"all at once": func(s *Settings) {
			s.Classes[0].AllowedKinds, s.RejectionUnproven, s.DrainCloseWithin = []int{0}, true, 200*time.Millisecond
			s.HealthChecks, s.Report.FreeSlots, s.Cancel, s.ReportsLoad = true, 0, false, true
		},
		"many share": sharedFleetSettings,
		"few, dear":  costlyZoneSettings,
		"probes":     func(s *Settings) { s.HealthChecks, s.Report.FreeSlots = true, 0 },
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
		t.Errorf("%d sends and %d rejections and failures: the settings leave too little to see", sends, answers)
	}
}
