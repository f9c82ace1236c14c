// These tests compare the simulation with queueing theory if a formula exists, and check on random days that the
// decision module violates none of the rules that the simulation checks.
package fleetsim

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
	"pgregory.net/rapid"
)

func init() { // the same random cases in every run, and few enough for CI
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.checks", "40")
}

// smallFleet returns a fleet of 14 workers of three kinds and 5 dispatchers in three zones.
func smallFleet() *Fleet {
	return &Fleet{
		Zones: []string{"montreal", "quebec-city", "sherbrooke"}, Jitter: 0.2,
		Kinds: []Kind{
			{Name: "fast-3c", Cores: 3, Speed: Range{1.4, 1.8}, Slots: 3, Queue: 36, ConnectionMs: 3, Cost: 3},
			{Name: "std-2c", Cores: 2, Speed: Range{0.85, 1.1}, Slots: 2, Queue: 24, ConnectionMs: 3, Cost: 1.5},
			{Name: "slow-4c", Cores: 4, Speed: Range{0.51, 0.69}, Slots: 4, Queue: 50, ConnectionMs: 3, Cost: 1.6},
		},
		Workers: []WorkerGroup{
			{Kind: "fast-3c", Zone: "montreal", Count: 2}, {Kind: "fast-3c", Zone: "quebec-city", Count: 1}, {Kind: "fast-3c", Zone: "sherbrooke", Count: 2},
			{Kind: "std-2c", Zone: "montreal", Count: 1}, {Kind: "std-2c", Zone: "quebec-city", Count: 2}, {Kind: "std-2c", Zone: "sherbrooke", Count: 1},
			{Kind: "slow-4c", Zone: "montreal", Count: 2}, {Kind: "slow-4c", Zone: "quebec-city", Count: 2}, {Kind: "slow-4c", Zone: "sherbrooke", Count: 1},
		},
		Dispatchers: []DispatcherGroup{{Zone: "montreal", Count: 2, Share: 3}, {Zone: "quebec-city", Count: 2, Share: 1}, {Zone: "sherbrooke", Count: 1, Share: 1}},
		Classes: []Class{{Name: "seat-check", Idempotency: "safe", LatencyTargetSeconds: 0.15, Stretch: 1.75, DeadlineSeconds: 5, Value: 2, LateValue: 0.2},
			{Name: "enrol", Idempotency: "keyed", DedupWindowSeconds: 7.5, LatencyTargetSeconds: 0.15, Stretch: 2.5, DeadlineSeconds: 5, Value: 8, LateValue: 0.2}},
		Tenants: []Tenant{{"univ-laurentie", 0.3, 36}, {"univ-saint-fleuve", 0.16, 19}, {"univ-estrie-nord", 0.13, 16}, {"univ-outaouais-ouest", 0.11, 13},
			{"univ-mauricie", 0.11, 13}, {"univ-bas-fleuve", 0.08, 10}, {"univ-gaspesie", 0.06, 7}, {"univ-abitibi-lac", 0.05, 6}},
	}
}

// steadyLoad returns a load of two classes at a constant rate, whose clients retry once.
func steadyLoad(seconds, perSec float64) *Load {
	return &Load{Seconds: seconds, Rate: []RatePoint{{0, perSec}}, Retries: Retries{Max: 1, WaitMs: 30, HonourRetryAfter: true},
		Classes: []ClassLoad{{"seat-check", 0.8, 200, 1}, {"enrol", 0.2, 120, 1}}}
}

// simulate returns the result of a day, and ends the test on an error.
func simulate(t testing.TB, fleet *Fleet, load *Load, seed uint64) *Result {
	t.Helper()
	result, err := Simulate(fleet, load, seed, nil)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// simulateQueue sends jobs to one worker directly. It returns the mean wait and the mean time at the worker in seconds,
// the mean number of jobs at the worker, and the jobs per second.
func simulateQueue(t *testing.T, slots int, load, cv float64, jobs int, seed uint64) (wait, residence, number, rate float64) {
	fleet := smallFleet()
	fleet.Kinds = []Kind{{Name: "one", Cores: float64(slots), Speed: Range{1, 1}, Slots: slots, Queue: 1 << 30}}
	fleet.Workers = []WorkerGroup{{Kind: "one", Zone: "montreal", Count: 1}}
	s, err := newScenario(fleet, steadyLoad(1, 1))
	if err != nil {
		t.Fatal(err)
	}
	sim := newSimulation(s, seed)
	sim.addWorker(0, 0)
	sender, err := newDispatcher(sim, 0, 1, s.Fleet.Dispatchers[0], 1)
	if err != nil {
		t.Fatal(err)
	}
	sim.dispatchers = []*dispatcher{sender}
	w := sim.workers[0]
	rng := newStream(seed, arrivalStream)
	draw := rng.ExpFloat64 // mean 1, coefficient of variation 1
	if cv != 1 {
		variance := math.Log(1 + cv*cv)
		draw = distuv.LogNormal{Mu: -variance / 2, Sigma: math.Sqrt(variance), Src: rng}.Rand
	}
	var area float64
	var last time.Duration
	present := 0
	change := func(by int) {
		area += float64(present) * (sim.now - last).Seconds()
		last, present = sim.now, present+by
	}
	seen, all := 0, []*attempt{}
	arrivedAt := map[*attempt]time.Duration{}
	var arrive func()
	arrive = func() {
		a := &attempt{worker: w, work: draw(), job: &job{request: &request{deadline: math.MaxInt64}, dispatcher: sender, answered: true}}
		arrivedAt[a] = sim.now
		all = append(all, a)
		change(1)
		w.arrive(a)
		if seen++; seen < jobs {
			sim.schedule(sec(rng.ExpFloat64()/(load*float64(slots))), arrive)
		}
	}
	arrive()
	counted := map[*attempt]bool{}
	for len(sim.queue) > 0 {
		sim.step()
		for _, a := range all {
			if a.started && !counted[a] {
				counted[a] = true
				wait += (sim.now - arrivedAt[a]).Seconds()
			}
			if a.endedAtWorker {
				residence += (sim.now - arrivedAt[a]).Seconds()
				change(-1)
			}
		}
		k := 0
		for _, a := range all {
			if !a.endedAtWorker {
				all[k] = a
				k++
			}
		}
		all = all[:k]
	}
	end := last.Seconds()
	return wait / float64(jobs), residence / float64(jobs), area / end, float64(jobs) / end
}

// erlangC returns the probability to wait in an M/M/c queue (A. K. Erlang, 1917).
func erlangC(c int, load float64) float64 {
	offered := load * float64(c)
	sum, term := 0.0, 1.0
	for k := range c {
		if k > 0 {
			term *= offered / float64(k)
		}
		sum += term
	}
	last := term * offered / float64(c) / (1 - load)
	return last / (sum + last)
}

// TestMeanWaitMatchesQueueingTheory fails if the mean wait at one worker differs from that of the queue that it models:
// M/M/c by Erlang's formula, M/G/1 by that of Pollaczek and Khinchine. Little's law must hold in all cases.
func TestMeanWaitMatchesQueueingTheory(t *testing.T) {
	const jobs, days = 4000, 10
	for _, queue := range []struct {
		slots    int
		load, cv float64
	}{{1, 0.6, 1}, {3, 0.75, 1}, {4, 0.5, 1}, {1, 0.5, 0.5}, {1, 0.6, 1.3}} {
		var want float64
		if queue.cv == 1 {
			want = erlangC(queue.slots, queue.load) / (float64(queue.slots) * (1 - queue.load))
		} else {
			want = queue.load * (1 + queue.cv*queue.cv) / (2 * (1 - queue.load))
		}
		var waits []float64
		for day := range days {
			wait, residence, number, rate := simulateQueue(t, queue.slots, queue.load, queue.cv, jobs, uint64(day+1))
			waits = append(waits, wait)
			if little := rate * residence; math.Abs(little-number) > 1e-3*number {
				t.Errorf("%+v: %v jobs at the worker on average, want %v by Little's law", queue, number, little)
			}
		}
		mean, deviation := stat.MeanStdDev(waits, nil)
		halfWidth := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: days - 1}.Quantile(0.9995) * deviation / math.Sqrt(days)
		if math.Abs(mean-want) > halfWidth {
			t.Errorf("%+v: mean wait %.4f ± %.4f s, want %.4f s by theory", queue, mean, halfWidth, want)
		}
		t.Logf("%+v: mean wait %.4f ± %.4f s, %.4f s by theory", queue, mean, halfWidth, want)
	}
}

// TestRandomDaysViolateNoRule fails if a random day violates a rule, if a request does not end exactly once, or if the
// same seed gives a different result.
func TestRandomDaysViolateNoRule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, l := smallFleet(), steadyLoad(6, rapid.Float64Range(10, 220).Draw(rt, "rate"))
		l.Retries.Max = rapid.IntRange(0, 3).Draw(rt, "retries")
		for range rapid.IntRange(0, 4).Draw(rt, "troubles") {
			f.Faults = append(f.Faults, Fault{
				Type: rapid.SampledFrom([]string{"zone_lost", "deaths", "drain", "shared", "reports_late"}).Draw(rt, "what"),
				Zone: rapid.SampledFrom(f.Zones).Draw(rt, "zone"), Fraction: rapid.Float64Range(0, 1).Draw(rt, "part"),
				StartSeconds: rapid.Float64Range(0, 6).Draw(rt, "at"), DurationSeconds: rapid.Float64Range(0, 4).Draw(rt, "for"),
				Amount: rapid.Float64Range(0, 0.9).Draw(rt, "takes"), OnSeconds: 0.5, OffSeconds: 0.5})
		}
		if rapid.Bool().Draw(rt, "burst") {
			l.Bursts = []Burst{{"univ-gaspesie", 8, 1, 3}}
		}
		f.Dispatchers[0].OpenJobs = rapid.SampledFrom([]int{0, 4}).Draw(rt, "open")
		f.Dispatchers[1].Connections = rapid.SampledFrom([]int{0, 3}).Draw(rt, "links")
		seed := rapid.Uint64().Draw(rt, "seed")
		r := simulate(t, f, l, seed)
		for rule, n := range r.Violations {
			rt.Errorf("rule %q: %d violations, want none", rule, n)
		}
		for _, tally := range append(append([]Tally{r.Total}, r.Classes...), r.Seconds...) {
			if tally.Jobs != tally.InTime+tally.Late+tally.Failed || tally.EarnedValue > tally.OfferedValue+1e-6 || tally.EarnedValue < 0 {
				rt.Errorf("the jobs or values of a tally do not add up: %+v", tally)
			}
		}
		outcomes := 0
		for _, n := range r.Outcomes {
			outcomes += n
		}
		if r.Requests != r.Total.Jobs+r.Retries || outcomes != r.AttemptsSent+r.Outcomes[8] && outcomes < r.AttemptsSent {
			rt.Errorf("%d tries of %d requests with %d retries; %d attempts sent with %d outcomes", r.Requests, r.Total.Jobs, r.Retries, r.AttemptsSent, outcomes)
		}
		first, _ := json.Marshal(r)
		if second, _ := json.Marshal(simulate(t, f, l, seed)); string(first) != string(second) {
			rt.Errorf("two runs with the same seed differ:\n%s\n%s", first, second)
		}
	})
}

// TestScoreDropsUnderLoadAndFaults fails if the score does not drop under more load, faults or tight limits.
func TestScoreDropsUnderLoadAndFaults(t *testing.T) {
	meanScore := func(change func(*Fleet, *Load)) (score float64) {
		for seed := range uint64(2) {
			f, l := smallFleet(), steadyLoad(20, 110)
			change(f, l)
			score += simulate(t, f, l, seed).Score / 2
		}
		return score
	}
	calm := meanScore(func(*Fleet, *Load) {})
	if calm < 0.9 {
		t.Errorf("a day without faults scores %.3f, want at least 0.9", calm)
	}
	for name, change := range map[string]func(*Fleet, *Load){
		"three times the load": func(_ *Fleet, l *Load) { l.Factor = 3 },
		"a zone lost": func(f *Fleet, l *Load) {
			f.Faults = []Fault{{Type: "zone_lost", Zone: "montreal", StartSeconds: 7, DurationSeconds: 7}}
		},
		"a quarter dies": func(f *Fleet, l *Load) {
			f.Faults = []Fault{{Type: "deaths", Fraction: 0.25, StartSeconds: 7, DurationSeconds: 7}}
			l.Factor = 1.3
		},
		"shared machines": func(f *Fleet, l *Load) {
			f.Faults = []Fault{{Type: "shared", Fraction: 0.5, StartSeconds: 0, DurationSeconds: 30, Amount: 0.8, OnSeconds: 3, OffSeconds: 2}}
			l.Factor = 1.3
		},
		"few open jobs": func(f *Fleet, l *Load) {
			for i := range f.Dispatchers {
				f.Dispatchers[i].OpenJobs = 2
			}
		},
	} {
		if worse := meanScore(change); !(worse < calm-0.02) {
			t.Errorf("%s: score %.3f, want less than %.3f - 0.02", name, worse, calm)
		}
	}
}

// TestBurstAmongThousandsOfTenantsIsLimitedByQuota fails if a day with 3000 tenants, most of which send almost nothing,
// violates a rule, or if the burst of one of them counts as within its quota.
func TestBurstAmongThousandsOfTenantsIsLimitedByQuota(t *testing.T) {
	f, l := smallFleet(), steadyLoad(3, 80)
	f.Tenants = nil
	for i := range 3000 {
		f.Tenants = append(f.Tenants, Tenant{fmt.Sprintf("univ-%d", i), 1. / 3000, 0.04})
	}
	l.Bursts = []Burst{{"univ-7", 3000, 1, 1}}
	r := simulate(t, f, l, 1)
	if len(r.Violations) > 0 || r.Total.Jobs < 200 || r.Total.Jobs != r.Total.InTime+r.Total.Late+r.Total.Failed || len(r.Tenants) != 3000 {
		t.Errorf("total %+v, violations %v", r.Total, r.Violations)
	}
	// Jobs of the burst beyond the tenant's quota earn little: only a few count as within the quota.
	if within := r.Tenants[7].Jobs; within > 5 {
		t.Errorf("%d jobs of the burst count as within the quota, want at most 5", within)
	}
}

// TestInvalidDescriptionErrorNamesKey fails if the error of an invalid description does not name its key.
func TestInvalidDescriptionErrorNamesKey(t *testing.T) {
	for want, change := range map[string]func(*Fleet, *Load){
		"key workers.1.kind: there is no \"fast\"": func(f *Fleet, l *Load) { f.Workers[1].Kind = "fast" },
		"key kinds.1.name":                         func(f *Fleet, l *Load) { f.Kinds[1].Name = "fast-3c" },
		"key troubles.0.zone":                      func(f *Fleet, l *Load) { f.Faults = []Fault{{Type: "zone_lost"}} },
		"key classes.0.effect":                     func(f *Fleet, l *Load) { f.Classes[0].Idempotency = "free" },
		"load: key seconds":                        func(f *Fleet, l *Load) { l.Seconds = math.NaN() },
		"load: key rate.1":                         func(f *Fleet, l *Load) { l.Rate = append(l.Rate, RatePoint{0, 1}) },
		"load: key classes: the sum of their shares must be above 0": func(f *Fleet, l *Load) { l.Classes = nil },
		"key dispatchers": func(f *Fleet, l *Load) { f.Dispatchers = nil },
	} {
		f, l := smallFleet(), steadyLoad(1, 10)
		change(f, l)
		if _, err := Simulate(f, l, 1, nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that contains %q", err, want)
		}
	}
}

// BenchmarkModel measures events and decisions per second, and simulated time over real time.
func BenchmarkModel(b *testing.B) {
	for _, size := range []struct{ workers, dispatchers int }{{14, 5}, {1000, 100}, {10000, 100}} {
		b.Run(fmt.Sprintf("%dx%d", size.dispatchers, size.workers), func(b *testing.B) {
			f := smallFleet()
			f.Workers = nil
			for i, k := range f.Kinds {
				for z, zone := range f.Zones {
					f.Workers = append(f.Workers, WorkerGroup{Kind: k.Name, Zone: zone, Count: size.workers*(i*3+z+1)/9 - size.workers*(i*3+z)/9})
				}
			}
			f.Dispatchers = []DispatcherGroup{{Zone: "montreal", Count: size.dispatchers}}
			for i := range f.Tenants {
				f.Tenants[i].RatePerSecond *= float64(size.workers) / 14
			}
			l := steadyLoad(60*14/float64(size.workers), 9*float64(size.workers))
			l.Seconds = max(l.Seconds, 1)
			events, span, decisions := 0, time.Duration(0), 0
			for i := range b.N {
				r := simulate(b, f, l, uint64(i))
				events, span, decisions = events+r.Events, span+r.Duration, decisions+r.Decisions
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(float64(decisions)/b.Elapsed().Seconds(), "decisions/s")
			b.ReportMetric(span.Seconds()/b.Elapsed().Seconds(), "simulated/real")
		})
	}
}
