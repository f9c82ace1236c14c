// These tests hold the simulation against queueing theory where there is one, and against
// the rules on random days: the decision module must keep them, and the simulation must see it where it does not.
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

func init() { // the same steps in every run, and no more than CI has time for
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.checks", "40")
}

// small is a fleet of the size in the brief.
func small() *Fleet {
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

func usual(seconds, perSec float64) *Load {
	return &Load{Seconds: seconds, Rate: []RatePoint{{0, perSec}}, Retries: Retries{Max: 1, WaitMs: 30, HonourRetryAfter: true},
		Classes: []ClassLoad{{"seat-check", 0.8, 200, 1}, {"enrol", 0.2, 120, 1}}}
}

func play(t testing.TB, f *Fleet, l *Load, seed uint64) *Result {
	t.Helper()
	r, err := Simulate(f, l, seed, nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// queue feeds one worker by hand and gives the mean wait, the mean time there, the mean number there and the rate.
func queue(t *testing.T, slots int, load, cv float64, jobs int, seed uint64) (wait, there, number, rate float64) {
	f := small()
	f.Kinds = []Kind{{Name: "one", Cores: float64(slots), Speed: Range{1, 1}, Slots: slots, Queue: 1 << 30}}
	f.Workers = []WorkerGroup{{Kind: "one", Zone: "montreal", Count: 1}}
	s, err := newScenario(f, usual(1, 1))
	if err != nil {
		t.Fatal(err)
	}
	d := newSimulation(s, seed)
	d.addWorker(0, 0)
	n, err := newDispatcher(d, 0, 1, s.Fleet.Dispatchers[0], 1)
	if err != nil {
		t.Fatal(err)
	}
	d.dispatchers = []*dispatcher{n}
	w := d.workers[0]
	rng := newStream(seed, arrivalStream)
	draw := rng.ExpFloat64 // of mean 1, and cv 1
	if cv != 1 {
		v := math.Log(1 + cv*cv)
		draw = distuv.LogNormal{Mu: -v / 2, Sigma: math.Sqrt(v), Src: rng}.Rand
	}
	var area float64
	var last time.Duration
	here := 0
	change := func(by int) {
		area += float64(here) * (d.now - last).Seconds()
		last, here = d.now, here+by
	}
	seen, all := 0, []*attempt{}
	came := map[*attempt]time.Duration{}
	var arrive func()
	arrive = func() {
		a := &attempt{worker: w, work: draw(), job: &job{request: &request{deadline: math.MaxInt64}, dispatcher: n, answered: true}}
		came[a] = d.now
		all = append(all, a)
		change(1)
		w.arrive(a)
		if seen++; seen < jobs {
			d.schedule(sec(rng.ExpFloat64()/(load*float64(slots))), arrive)
		}
	}
	arrive()
	began := map[*attempt]bool{}
	for len(d.queue) > 0 {
		d.step()
		for _, a := range all {
			if a.started && !began[a] {
				began[a] = true
				wait += (d.now - came[a]).Seconds()
			}
			if a.endedAtWorker {
				there += (d.now - came[a]).Seconds()
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
	return wait / float64(jobs), there / float64(jobs), area / end, float64(jobs) / end
}

// erlangC is the chance to wait in M/M/c (A. K. Erlang, 1917).
func erlangC(c int, load float64) float64 {
	a := load * float64(c)
	sum, term := 0.0, 1.0
	for k := range c {
		if k > 0 {
			term *= a / float64(k)
		}
		sum += term
	}
	last := term * a / float64(c) / (1 - load)
	return last / (sum + last)
}

// One worker alone is a queue that theory knows: M/M/c by Erlang's formula, M/G/1 by Pollaczek's and Khinchine's, and
// Little's law in any case.
func TestWorkersAreTheQueuesOfTheory(t *testing.T) {
	const jobs, days = 4000, 10
	for _, k := range []struct {
		slots    int
		load, cv float64
	}{{1, 0.6, 1}, {3, 0.75, 1}, {4, 0.5, 1}, {1, 0.5, 0.5}, {1, 0.6, 1.3}} {
		var want float64
		if k.cv == 1 {
			want = erlangC(k.slots, k.load) / (float64(k.slots) * (1 - k.load))
		} else {
			want = k.load * (1 + k.cv*k.cv) / (2 * (1 - k.load))
		}
		var waits []float64
		for day := range days {
			wait, there, number, rate := queue(t, k.slots, k.load, k.cv, jobs, uint64(day+1))
			waits = append(waits, wait)
			if little := rate * there; math.Abs(little-number) > 1e-3*number {
				t.Errorf("%+v: %v are there on average, Little's law says %v", k, number, little)
			}
		}
		mean, dev := stat.MeanStdDev(waits, nil)
		reach := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: days - 1}.Quantile(0.9995) * dev / math.Sqrt(days)
		if math.Abs(mean-want) > reach {
			t.Errorf("%+v: a wait of %.4f ± %.4f s, theory says %.4f", k, mean, reach, want)
		}
		t.Logf("%+v: wait %.4f ± %.4f s, theory %.4f", k, mean, reach, want)
	}
}

// Rules hold on random days, every request has one end, and the same seed gives the same day.
func TestRulesHoldOnRandomDays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, l := small(), usual(6, rapid.Float64Range(10, 220).Draw(rt, "rate"))
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
		r := play(t, f, l, seed)
		for rule, n := range r.Violations {
			rt.Errorf("%s: %d times", rule, n)
		}
		for _, y := range append(append([]Tally{r.Total}, r.Classes...), r.Seconds...) {
			if y.Jobs != y.InTime+y.Late+y.Failed || y.EarnedValue > y.OfferedValue+1e-6 || y.EarnedValue < 0 {
				rt.Errorf("it does not add up: %+v", y)
			}
		}
		outcomes := 0
		for _, n := range r.Outcomes {
			outcomes += n
		}
		if r.Requests != r.Total.Jobs+r.Retries || outcomes != r.AttemptsSent+r.Outcomes[8] && outcomes < r.AttemptsSent {
			rt.Errorf("%d tries of %d requests with %d repeats; %d sends with %d outcomes", r.Requests, r.Total.Jobs, r.Retries, r.AttemptsSent, outcomes)
		}
		one, _ := json.Marshal(r)
		if two, _ := json.Marshal(play(t, f, l, seed)); string(one) != string(two) {
			rt.Errorf("the same day came out differently:\n%s\n%s", one, two)
		}
	})
}

// A day gets worse with what is known to make it worse.
func TestDaysGetWorse(t *testing.T) {
	mean := func(change func(*Fleet, *Load)) (score float64) {
		for seed := range uint64(2) {
			f, l := small(), usual(20, 110)
			change(f, l)
			score += play(t, f, l, seed).Score / 2
		}
		return score
	}
	calm := mean(func(*Fleet, *Load) {})
	if calm < 0.9 {
		t.Errorf("a calm day scores %.3f", calm)
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
		if worse := mean(change); !(worse < calm-0.02) {
			t.Errorf("%s: %.3f after %.3f", name, worse, calm)
		}
	}
}

// Thousands of universities, most of which send next to nothing, are a day like any other.
func TestThousandsOfUniversities(t *testing.T) {
	f, l := small(), usual(3, 80)
	f.Tenants = nil
	for i := range 3000 {
		f.Tenants = append(f.Tenants, Tenant{fmt.Sprintf("univ-%d", i), 1. / 3000, 0.04})
	}
	l.Bursts = []Burst{{"univ-7", 3000, 1, 1}}
	r := play(t, f, l, 1)
	if len(r.Violations) > 0 || r.Total.Jobs < 200 || r.Total.Jobs != r.Total.InTime+r.Total.Late+r.Total.Failed || len(r.Tenants) != 3000 {
		t.Errorf("%+v, broken %v", r.Total, r.Violations)
	}
	// What the burst sends beyond its university's share is worth little: few jobs of it count as within.
	if within := r.Tenants[7].Jobs; within > 5 {
		t.Errorf("%d jobs of the burst count as within the share", within)
	}
}

func TestWhatDoesNotFitIsNamed(t *testing.T) {
	for says, change := range map[string]func(*Fleet, *Load){
		"key workers.1.kind: there is no \"fast\"": func(f *Fleet, l *Load) { f.Workers[1].Kind = "fast" },
		"key kinds.1.name":                         func(f *Fleet, l *Load) { f.Kinds[1].Name = "fast-3c" },
		"key troubles.0.zone":                      func(f *Fleet, l *Load) { f.Faults = []Fault{{Type: "zone_lost"}} },
		"key classes.0.effect":                     func(f *Fleet, l *Load) { f.Classes[0].Idempotency = "free" },
		"load: key seconds":                        func(f *Fleet, l *Load) { l.Seconds = math.NaN() },
		"load: key rate.1":                         func(f *Fleet, l *Load) { l.Rate = append(l.Rate, RatePoint{0, 1}) },
		"load: key classes: the sum of their shares must be above 0": func(f *Fleet, l *Load) { l.Classes = nil },
		"key dispatchers": func(f *Fleet, l *Load) { f.Dispatchers = nil },
	} {
		f, l := small(), usual(1, 10)
		change(f, l)
		if _, err := Simulate(f, l, 1, nil); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%v does not say %q", err, says)
		}
	}
}

// BenchmarkModel tells events a second and how much faster than the clock days go.
func BenchmarkModel(b *testing.B) {
	for _, size := range []struct{ workers, dispatchers int }{{14, 5}, {1000, 100}, {10000, 100}} {
		b.Run(fmt.Sprintf("%dx%d", size.dispatchers, size.workers), func(b *testing.B) {
			f := small()
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
			l := usual(60*14/float64(size.workers), 9*float64(size.workers))
			l.Seconds = max(l.Seconds, 1)
			events, span, decisions := 0, time.Duration(0), 0
			for i := range b.N {
				r := play(b, f, l, uint64(i))
				events, span, decisions = events+r.Events, span+r.Duration, decisions+r.Decisions
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(float64(decisions)/b.Elapsed().Seconds(), "decisions/s")
			b.ReportMetric(span.Seconds()/b.Elapsed().Seconds(), "simulated/real")
		})
	}
}
