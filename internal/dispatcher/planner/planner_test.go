// These tests describe fleets with known answers (which limit breaks first, how many workers are needed, which goals
// cannot be reached) and compare the planner's answers with them.
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

// halfLoadedFleet returns a fleet of 8 workers of one kind in two zones, and a load that uses about half of their
// slots.
func halfLoadedFleet() (*fleetsim.Fleet, *fleetsim.Load) {
	fleet := &fleetsim.Fleet{
		Zones:       []string{"montreal", "sherbrooke"},
		CrossZoneMs: 5,
		Kinds:       []fleetsim.Kind{{Name: "std-2c", Cores: 2, Speed: fleetsim.Range{1, 1}, Slots: 2, Queue: 24, SlowStartShare: 1, Cost: 1}},
		Workers:     []fleetsim.WorkerGroup{{Kind: "std-2c", Zone: "montreal", Count: 4}, {Kind: "std-2c", Zone: "sherbrooke", Count: 4}},
		Dispatchers: []fleetsim.DispatcherGroup{{Zone: "montreal", Count: 1, OpenJobs: 1000, Connections: 1000}},
		Classes: []fleetsim.Class{{Name: "seat-check", Idempotency: "safe", LatencyTargetSeconds: 0.15, Stretch: 1.75, DeadlineSeconds: 5, Value: 2, LateValue: 0.2},
			{Name: "enrol", Idempotency: "keyed", DedupWindowSeconds: 7.5, LatencyTargetSeconds: 0.15, Stretch: 2.5, DeadlineSeconds: 5, Value: 8, LateValue: 0.2}},
		Tenants: []fleetsim.Tenant{{Name: "univ-laurentie", Share: 0.6, RatePerSecond: 0}, {Name: "univ-gaspesie", Share: 0.4, RatePerSecond: 0}},
	}
	load := &fleetsim.Load{Seconds: 10, Rate: []fleetsim.RatePoint{{AtSeconds: 0, PerSecond: 70}}, Classes: []fleetsim.ClassLoad{{Name: "seat-check", Share: 0.8, WorkMs: 100, CV: 0.5}, {Name: "enrol", Share: 0.2, WorkMs: 80, CV: 0.5}}}
	return fleet, load
}

func newPlanner(t testing.TB, fleet *fleetsim.Fleet, load *fleetsim.Load, goal string, options Options) *Planner {
	t.Helper()
	parsed, err := ParseGoal(goal)
	if err != nil {
		t.Fatal(err)
	}
	p, err := New(fleet, load, parsed, options)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestBreakingPointNamesTheTightLimit fails if the limit that was made tight is not reported as the one that breaks
// first.
func TestBreakingPointNamesTheTightLimit(t *testing.T) {
	for want, tighten := range map[string]func(*fleetsim.Fleet, *fleetsim.Load){
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
		t.Run(want, func(t *testing.T) {
			f, l := halfLoadedFleet()
			tighten(f, l)
			point, err := newPlanner(t, f, l, "service >= 0.9", Options{MaxDays: 6}).FindBreakingPoint()
			if err != nil || point.FirstLimit != want {
				t.Errorf("error %v; limit %q breaks first at a factor of %.2f, the goal holds at %.2f: %+v", err, point.FirstLimit, point.BreaksAtFactor, point.HoldsAtFactor, point.LimitEffects[:min(3, len(point.LimitEffects))])
			}
			if len(point.Failing) == 0 || point.HoldsAtFactor >= point.BreaksAtFactor {
				t.Errorf("the goal holds at a factor of %v and breaks at %v, failing tests: %v", point.HoldsAtFactor, point.BreaksAtFactor, point.Failing)
			}
		})
	}
}

// TestSizingFindsTheCheapestMix fails if the mix found does not hold the goal, or if one that is a step cheaper holds
// it, too.
func TestSizingFindsTheCheapestMix(t *testing.T) {
	f, l := halfLoadedFleet()
	f.Kinds = append(f.Kinds, fleetsim.Kind{Name: "fast-2c", Cores: 2, Speed: fleetsim.Range{2, 2}, Slots: 2, Queue: 24, SlowStartShare: 1, Cost: 1.5})
	f.Workers = append(f.Workers, fleetsim.WorkerGroup{Kind: "fast-2c", Zone: "montreal", Count: 1}, fleetsim.WorkerGroup{Kind: "fast-2c", Zone: "sherbrooke", Count: 1})
	p := newPlanner(t, f, l, "service >= 0.95 and late(enrol) <= 5%", Options{MaxDays: 6})
	sizing, err := p.FindSizing()
	if err != nil || !sizing.Reached {
		t.Fatal(err, sizing)
	}
	for _, finding := range sizing.Findings {
		if !finding.Holds {
			t.Errorf("a test does not hold with the mix found: %+v", finding)
		}
	}
	best := *f
	best.Workers = sizing.Workers
	costs := map[string]float64{"std-2c": 1, "fast-2c": 1.5}
	for _, cheaper := range cheaperFleets(&best, costs) {
		if e, err := p.evaluate(cheaper, l); err != nil || e.holds {
			_, cost := fleetCost(cheaper)
			t.Errorf("%v at a cost of %v holds the goal, too, or is not evaluated; the mix found is %v at %v", cheaper.Workers, cost, sizing.Workers, sizing.Cost)
		}
	}
	for name, value := range sizing.Limits {
		if value < 1 || value >= 4096 {
			t.Errorf("limit %s is %d, want 1 to 4095", name, value)
		}
	}
}

// TestSizingNamesTheLimitOfAnUnreachableGoal fails if a goal that no number of workers holds is reported as reached, or
// if the answer does not name the limit that prevents it.
func TestSizingNamesTheLimitOfAnUnreachableGoal(t *testing.T) {
	for want, tighten := range map[string]func(*fleetsim.Fleet, *fleetsim.Load){
		"the running time itself": func(f *fleetsim.Fleet, l *fleetsim.Load) {
			f.Classes[0].Stretch, f.Classes[1].Stretch = 0, 0
			l.Classes[0].WorkMs, l.Classes[1].WorkMs, l.Rate[0].PerSecond = 140, 140, 10
		},
		"open jobs of the dispatchers": func(f *fleetsim.Fleet, l *fleetsim.Load) { f.Dispatchers[0].OpenJobs = 4 },
	} {
		f, l := halfLoadedFleet()
		tighten(f, l)
		sizing, err := newPlanner(t, f, l, "service >= 0.9", Options{MaxDays: 4, MaxFactor: 6}).FindSizing()
		if err != nil || sizing.Reached || len(sizing.LimitEffects) == 0 || sizing.LimitEffects[0].Resource != want {
			t.Errorf("error %v, want the goal out of reach and limit %q first: %+v", err, want, sizing.LimitEffects[:min(2, len(sizing.LimitEffects))])
		}
	}
}

// TestLossOfTheLargestZoneCostsMost fails if the loss of the zone with most workers does not cost most, or if spare
// workers in another zone do not reduce that cost.
func TestLossOfTheLargestZoneCostsMost(t *testing.T) {
	f, l := halfLoadedFleet()
	f.Workers[0].Count = 7
	f.Workers = append(f.Workers, fleetsim.WorkerGroup{Kind: "std-2c", Zone: "sherbrooke", Count: 4, Spare: true})
	losses, err := newPlanner(t, f, l, "service >= 0.9", Options{MaxDays: 6}).ZoneLosses()
	if err != nil || len(losses) != 4 {
		t.Fatal(err, len(losses))
	}
	largest, smallest, withSpares := losses[0], losses[1], losses[2]
	if largest.Total.Mean-largest.Total.HalfWidth <= smallest.Total.Mean || withSpares.Total.Mean+withSpares.Total.HalfWidth >= largest.Total.Mean {
		t.Errorf("the loss of montreal costs %v, of sherbrooke %v, of montreal with spares %v", largest.Total, smallest.Total, withSpares.Total)
	}
	if largest.During.Mean+largest.During.HalfWidth <= largest.Total.Mean || len(largest.Classes) != 2 || len(largest.Tenants) != 2 || len(largest.Seconds) != 10 {
		t.Errorf("want more lost during the loss than over the day, and 2 classes, 2 tenants and 10 seconds: %+v", largest)
	}
}

// TestAnswersDoNotDependOnParallelism fails if the number of days simulated at a time changes the answers of a seed, or
// if another seed does not.
func TestAnswersDoNotDependOnParallelism(t *testing.T) {
	f, l := halfLoadedFleet()
	answers := map[string]int{}
	for _, options := range []Options{{Parallelism: 1}, {Parallelism: 7}, {Parallelism: 7, Seed: 5}} {
		options.MaxDays = 5
		p := newPlanner(t, f, l, "service >= 0.97 with 25% dead", options)
		point, err := p.FindBreakingPoint()
		if err != nil {
			t.Fatal(err)
		}
		losses, err := p.ZoneLosses()
		if err != nil {
			t.Fatal(err)
		}
		text, _ := json.Marshal([]any{point, losses, p.DaysSimulated()})
		answers[string(text)]++
	}
	if len(answers) != 2 {
		t.Errorf("%d different answers of two seeds, want 2", len(answers))
	}
}

// TestStoppedSearchReturnsPartialResults fails if a search that is stopped early does not return ErrStopped with the
// results found by then.
func TestStoppedSearchReturnsPartialResults(t *testing.T) {
	f, l := halfLoadedFleet()
	var simulated atomic.Int64
	p := newPlanner(t, f, l, "service >= 0.9", Options{MaxDays: 4, Parallelism: 2})
	p.OnDaySimulated = func(n int) { simulated.Add(int64(n)) }
	p.Stop = func() bool { return simulated.Load() > 12 }
	point, err := p.FindBreakingPoint()
	if !errors.Is(err, ErrStopped) || point == nil || len(point.Baseline) == 0 || point.HoldsAtFactor < 1 {
		t.Errorf("error %v, want ErrStopped; results %+v", err, point)
	}
}

// TestInvalidGoalErrorNamesPosition fails if the error of an invalid goal does not name the position and the fault, or
// if a valid goal is rejected.
func TestInvalidGoalErrorNamesPosition(t *testing.T) {
	f, _ := halfLoadedFleet()
	for text, want := range map[string]string{
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
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("goal %q: error %v, want one that contains %q", text, err, want)
		}
	}
	g, err := ParseGoal("service >= 0.95 and late(enrol) <= 2% with zone montreal lost at 5 for 6 and load times 1.4; score >= 0.5 with 25% dead and univ-gaspesie times 5")
	if err != nil || g.Check(f) != nil || len(g.Clauses) != 2 || g.Clauses[0].Tests[1].Bound != 0.02 || g.Clauses[0].Conditions[0].ForSeconds != 6 {
		t.Errorf("error %v, goal %+v", err, g)
	}
	_, l := halfLoadedFleet()
	appliedFleet, appliedLoad := g.Clauses[0].apply(*f, *l)
	if len(appliedFleet.Faults) != 1 || appliedFleet.Faults[0].StartSeconds != 5 || appliedLoad.Factor != 1.4 || len(f.Faults) != 0 {
		t.Errorf("apply gives faults %+v and load factor %v, or changes the fleet itself", appliedFleet.Faults, appliedLoad.Factor)
	}
}

// FuzzGoal fails if the error of an invalid goal names no column, or if a goal with a bound outside of 0 to 1 is
// accepted.
func FuzzGoal(f *testing.F) {
	for _, s := range []string{"service >= 0.95", "late(enrol) <= 2% with zone montreal lost", "a;b", "service >= 1e400", "((((", "service >= 0.9 with 1 % dead at 2 for 3", "\x00"} {
		f.Add(s)
	}
	fleet, load := halfLoadedFleet()
	f.Fuzz(func(t *testing.T, text string) {
		g, err := ParseGoal(text)
		if err != nil {
			if !strings.Contains(err.Error(), "column") {
				t.Errorf("goal %q: error %v names no column", text, err)
			}
			return
		}
		if g.Check(fleet) == nil {
			for _, c := range g.Clauses {
				c.apply(*fleet, *load)
				if slices.ContainsFunc(c.Tests, func(t *Test) bool { return t.Bound < 0 || t.Bound > 1 }) {
					t.Errorf("goal %q has a bound outside of 0 to 1", text)
				}
			}
		}
	})
}
