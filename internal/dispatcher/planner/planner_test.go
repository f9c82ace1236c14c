// These tests set fleets up so that it is known what must break, how many
// workers are needed and what cannot be reached, and hold the planner to it.
package planner

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"gladepick/internal/dispatcher/fleetsim"
)

// yard is one zone's machines of one kind, half loaded.
func yard() (*fleetsim.Fleet, *fleetsim.Load) {
	f := &fleetsim.Fleet{
		Zones:       []string{"montreal", "sherbrooke"},
		CrossZoneMs: 5,
		Kinds:       []fleetsim.Kind{{Name: "std-2c", Cores: 2, Speed: fleetsim.Range{1, 1}, Slots: 2, Queue: 24, SlowStartShare: 1, Cost: 1}},
		Workers:     []fleetsim.WorkerGroup{{Kind: "std-2c", Zone: "montreal", Count: 4}, {Kind: "std-2c", Zone: "sherbrooke", Count: 4}},
		Dispatchers: []fleetsim.DispatcherGroup{{Zone: "montreal", Count: 1, OpenJobs: 1000, Connections: 1000}},
		Classes: []fleetsim.Class{{Name: "seat-check", Idempotency: "safe", LatencyTargetSeconds: 0.15, Stretch: 1.75, DeadlineSeconds: 5, Value: 2, LateValue: 0.2},
			{Name: "enrol", Idempotency: "keyed", DedupWindowSeconds: 7.5, LatencyTargetSeconds: 0.15, Stretch: 2.5, DeadlineSeconds: 5, Value: 8, LateValue: 0.2}},
		Tenants: []fleetsim.Tenant{{Name: "univ-laurentie", Share: 0.6, RatePerSecond: 0}, {Name: "univ-gaspesie", Share: 0.4, RatePerSecond: 0}},
	}
	l := &fleetsim.Load{Seconds: 10, Rate: []fleetsim.RatePoint{{AtSeconds: 0, PerSecond: 70}}, Classes: []fleetsim.ClassLoad{{Name: "seat-check", Share: 0.8, WorkMs: 100, CV: 0.5}, {Name: "enrol", Share: 0.2, WorkMs: 80, CV: 0.5}}}
	return f, l
}

func planner(t testing.TB, f *fleetsim.Fleet, l *fleetsim.Load, goal string, o Options) *Planner {
	t.Helper()
	g, err := ParseGoal(goal)
	if err != nil {
		t.Fatal(err)
	}
	p, err := New(f, l, g, o)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// What was made scarce is what breaks first.
func TestTheScarceResourceIsNamed(t *testing.T) {
	for first, set := range map[string]func(*fleetsim.Fleet, *fleetsim.Load){
		"slots of the workers":         func(f *fleetsim.Fleet, l *fleetsim.Load) {},
		"open jobs of the dispatchers": func(f *fleetsim.Fleet, l *fleetsim.Load) { f.Dispatchers[0].OpenJobs = 10 },
		"worker connections of dispatchers": func(f *fleetsim.Fleet, l *fleetsim.Load) {
			f.Dispatchers[0].Connections = 9
		},
		"connections that workers accept": func(f *fleetsim.Fleet, l *fleetsim.Load) { f.Kinds[0].Connections = 1 },
		"the cost of new connections": func(f *fleetsim.Fleet, l *fleetsim.Load) {
			f.Kinds[0].ConnectionMs, f.ConnectionIdleSeconds = 400, 0.05
		},
		"the running time itself": func(f *fleetsim.Fleet, l *fleetsim.Load) {
			f.Classes[0].LatencyTargetSeconds, f.Classes[1].LatencyTargetSeconds, f.Classes[0].Stretch, f.Classes[1].Stretch = 0.5, 0.5, 0, 0
			f.Workers[0].Count, f.Workers[1].Count = 100, 100
			l.Classes[0].WorkMs, l.Classes[1].WorkMs, l.Rate[0].PerSecond = 430, 430, 20
		},
		"the cold budget after a start": func(f *fleetsim.Fleet, l *fleetsim.Load) {
			f.Kinds[0].SlowStartShare, f.Kinds[0].SlowStartSeconds, f.SlowStart = 0.05, 12, fleetsim.SlowStart{Share: 0.05, DurationSeconds: 12, OverloadMultiple: 3, OverloadSpanSeconds: 1}
			f.DiscoveryDelaySeconds = fleetsim.Range{0.1, 0.1}
			f.Faults = []fleetsim.Fault{{Type: "deaths", Fraction: 1, StartSeconds: 3, DurationSeconds: 0.05}}
			l.Rate[0].PerSecond = 60
		},
	} {
		t.Run(first, func(t *testing.T) {
			f, l := yard()
			set(f, l)
			b, err := planner(t, f, l, "service >= 0.9", Options{MaxDays: 6}).FindBreakingPoint()
			if err != nil || b.FirstLimit != first {
				t.Errorf("%v; %q breaks first at %.2f, after %.2f: %+v", err, b.FirstLimit, b.BreaksAtFactor, b.HoldsAtFactor, b.LimitEffects[:min(3, len(b.LimitEffects))])
			}
			if len(b.Failing) == 0 || b.HoldsAtFactor >= b.BreaksAtFactor {
				t.Errorf("it holds at %v, breaks at %v, with %v", b.HoldsAtFactor, b.BreaksAtFactor, b.Failing)
			}
		})
	}
}

// The mix found holds the goal, and none that is a step cheaper does.
func TestTheCheapestMix(t *testing.T) {
	f, l := yard()
	f.Kinds = append(f.Kinds, fleetsim.Kind{Name: "fast-2c", Cores: 2, Speed: fleetsim.Range{2, 2}, Slots: 2, Queue: 24, SlowStartShare: 1, Cost: 1.5})
	f.Workers = append(f.Workers, fleetsim.WorkerGroup{Kind: "fast-2c", Zone: "montreal", Count: 1}, fleetsim.WorkerGroup{Kind: "fast-2c", Zone: "sherbrooke", Count: 1})
	p := planner(t, f, l, "service >= 0.95 and late(enrol) <= 5%", Options{MaxDays: 6})
	n, err := p.FindSizing()
	if err != nil || !n.Reached {
		t.Fatal(err, n)
	}
	for _, x := range n.Findings {
		if !x.Holds {
			t.Errorf("%+v", x)
		}
	}
	best := *f
	best.Workers = n.Workers
	price := map[string]float64{"std-2c": 1, "fast-2c": 1.5}
	for _, cheaper := range cheaperFleets(&best, price) {
		if e, err := p.evaluate(cheaper, l); err != nil || e.holds {
			_, c := fleetCost(cheaper)
			t.Errorf("%v at %v holds too, found was %v at %v", cheaper.Workers, c, n.Workers, n.Cost)
		}
	}
	for name, v := range n.Limits {
		if v < 1 || v >= 4096 {
			t.Errorf("%s: %d", name, v)
		}
	}
}

// A goal that no number of workers meets is said to be one, with what stands in its way.
func TestGoalsOutOfReach(t *testing.T) {
	for why, set := range map[string]func(*fleetsim.Fleet, *fleetsim.Load){
		"the running time itself": func(f *fleetsim.Fleet, l *fleetsim.Load) {
			f.Classes[0].Stretch, f.Classes[1].Stretch = 0, 0
			l.Classes[0].WorkMs, l.Classes[1].WorkMs, l.Rate[0].PerSecond = 140, 140, 10
		},
		"open jobs of the dispatchers": func(f *fleetsim.Fleet, l *fleetsim.Load) { f.Dispatchers[0].OpenJobs = 4 },
	} {
		f, l := yard()
		set(f, l)
		n, err := planner(t, f, l, "service >= 0.9", Options{MaxDays: 4, MaxFactor: 6}).FindSizing()
		if err != nil || n.Reached || len(n.LimitEffects) == 0 || n.LimitEffects[0].Resource != why {
			t.Errorf("%v, %q was set up: %+v", err, why, n.LimitEffects[:min(2, len(n.LimitEffects))])
		}
	}
}

// Losing the zone with most of the machines costs most, and spare machines elsewhere make up for some of it.
func TestWhatAZoneCosts(t *testing.T) {
	f, l := yard()
	f.Workers[0].Count = 7
	f.Workers = append(f.Workers, fleetsim.WorkerGroup{Kind: "std-2c", Zone: "sherbrooke", Count: 4, Spare: true})
	all, err := planner(t, f, l, "service >= 0.9", Options{MaxDays: 6}).ZoneLosses()
	if err != nil || len(all) != 4 {
		t.Fatal(err, len(all))
	}
	big, small, spared := all[0], all[1], all[2]
	if big.Total.Mean-big.Total.HalfWidth <= small.Total.Mean || spared.Total.Mean+spared.Total.HalfWidth >= big.Total.Mean {
		t.Errorf("montreal costs %v, sherbrooke %v, montreal with spares %v", big.Total, small.Total, spared.Total)
	}
	if big.During.Mean+big.During.HalfWidth <= big.Total.Mean || len(big.Classes) != 2 || len(big.Tenants) != 2 || len(big.Seconds) != 10 {
		t.Errorf("%+v", big)
	}
}

// The same seed gives the same answer, whatever the number of cores; another seed gives another.
func TestCoresChangeNothing(t *testing.T) {
	f, l := yard()
	all := map[string]int{}
	for _, o := range []Options{{Parallelism: 1}, {Parallelism: 7}, {Parallelism: 7, Seed: 5}} {
		o.MaxDays = 5
		p := planner(t, f, l, "service >= 0.97 with 25% dead", o)
		b, err := p.FindBreakingPoint()
		if err != nil {
			t.Fatal(err)
		}
		z, err := p.ZoneLosses()
		if err != nil {
			t.Fatal(err)
		}
		text, _ := json.Marshal([]any{b, z, p.DaysSimulated()})
		all[string(text)]++
	}
	if len(all) != 2 {
		t.Errorf("%d answers", len(all))
	}
}

// A search that is ended gives what it knows.
func TestStoppedEarly(t *testing.T) {
	f, l := yard()
	var played atomic.Int64
	p := planner(t, f, l, "service >= 0.9", Options{MaxDays: 4, Parallelism: 2})
	p.OnDaySimulated = func(n int) { played.Add(int64(n)) }
	p.Stop = func() bool { return played.Load() > 12 }
	b, err := p.FindBreakingPoint()
	if !errors.Is(err, ErrStopped) || b == nil || len(b.Baseline) == 0 || b.HoldsAtFactor < 1 {
		t.Errorf("%v, %+v", err, b)
	}
}

func TestGoalsThatAreWrong(t *testing.T) {
	f, _ := yard()
	for text, says := range map[string]string{
		"":                                     "column 1",
		"service":                              "column 8",
		"service > 0.9":                        "column 9",
		"service >= 95":                        "column 1: 95 is more than all",
		"service >= 0.9 and speed >= 0.2":      "column 20: \"speed\" is no measure",
		"score(enrol) >= 0.5":                  "column 1: score is of the whole day",
		"service(univ-quebec) >= 0.9":          "column 1: \"univ-quebec\" is neither",
		"service >= 0.9 with zone laval lost":  "column 21: there is no zone \"laval\"",
		"service >= 0.9 with zone montreal":    "column 34",
		"service >= 0.9 with univ-x times 5":   "column 21: \"univ-x\" is neither",
		"service >= 0.9 with 250% dead":        "column 21: more than all",
		"late <= 5% and\nservice(nobody) >= 1": "line 2, column 1: \"nobody\"",
		"service >= 0.9; late":                 "column 21",
	} {
		g, err := ParseGoal(text)
		if err == nil {
			err = g.Check(f)
		}
		if err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%q: %v; %q is wanted", text, err, says)
		}
	}
	g, err := ParseGoal("service >= 0.95 and late(enrol) <= 2% with zone montreal lost at 5 for 6 and load times 1.4; score >= 0.5 with 25% dead and univ-gaspesie times 5")
	if err != nil || g.Check(f) != nil || len(g.Clauses) != 2 || g.Clauses[0].Tests[1].Bound != 0.02 || g.Clauses[0].Conditions[0].ForSeconds != 6 {
		t.Errorf("%v, %+v", err, g)
	}
	_, l := yard()
	lf, ll := g.Clauses[0].apply(*f, *l)
	if len(lf.Faults) != 1 || lf.Faults[0].StartSeconds != 5 || ll.Factor != 1.4 || len(f.Faults) != 0 {
		t.Errorf("%+v, %+v", lf.Faults, ll.Factor)
	}
}

func FuzzGoal(f *testing.F) {
	for _, s := range []string{"service >= 0.95", "late(enrol) <= 2% with zone montreal lost", "a;b", "service >= 1e400", "((((", "service >= 0.9 with 1 % dead at 2 for 3", "\x00"} {
		f.Add(s)
	}
	fleet, load := yard()
	f.Fuzz(func(t *testing.T, text string) {
		g, err := ParseGoal(text)
		if err != nil {
			if !strings.Contains(err.Error(), "column") {
				t.Errorf("%q: %v names no column", text, err)
			}
			return
		}
		if g.Check(fleet) == nil {
			for _, c := range g.Clauses {
				c.apply(*fleet, *load)
				if slices.ContainsFunc(c.Tests, func(t *Test) bool { return t.Bound < 0 || t.Bound > 1 }) {
					t.Errorf("%q has a bound out of range", text)
				}
			}
		}
	})
}
