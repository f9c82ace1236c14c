package testenv

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gladepick/internal/dispatcher/capture"
	"gladepick/internal/dispatcher/fleetsim"
	"gladepick/internal/dispatcher/planner"
)

// actualFleet describes the fleet that runs on loopback. The planner gets only a part of it (operatorView) and fits the
// rest from a capture.
func actualFleet(fast, std, slow int) *fleetsim.Fleet {
	zones := []string{"montreal", "quebec-city", "sherbrooke"}
	f := &fleetsim.Fleet{
		Zones: zones, SameZoneMs: 0.3, CrossZoneMs: 14, Jitter: 0.15,
		Kinds: []fleetsim.Kind{
			{Name: "fast-3c", Cores: 3, Speed: fleetsim.Range{1.45, 1.75}, Slots: 3, Queue: 36, SlowStartShare: 0.4, SlowStartSeconds: 6, ConnectionMs: 3, Connections: 2000, Cost: 3},
			{Name: "std-2c", Cores: 2, Speed: fleetsim.Range{0.88, 1.08}, Slots: 2, Queue: 24, SlowStartShare: 0.4, SlowStartSeconds: 6, ConnectionMs: 3, Connections: 1400, Cost: 1.3},
			{Name: "slow-4c", Cores: 4, Speed: fleetsim.Range{0.53, 0.67}, Slots: 4, Queue: 50, SlowStartShare: 0.4, SlowStartSeconds: 6, ConnectionMs: 3, Connections: 2800, Cost: 1.6}},
		Dispatchers: []fleetsim.DispatcherGroup{{Zone: "montreal", Count: 2, Share: 1.5}, {Zone: "quebec-city", Count: 2, Share: 1}, {Zone: "sherbrooke", Count: 1, Share: 1}},
		Classes: []fleetsim.Class{{Name: "seat-check", Idempotency: "safe", LatencyTargetSeconds: 0.15, Stretch: 1.75, DeadlineSeconds: 5, Value: 2, LateValue: 0.2},
			{Name: "enrol", Idempotency: "keyed", DedupWindowSeconds: 7.5, LatencyTargetSeconds: 0.15, Stretch: 2.5, DeadlineSeconds: 5, Value: 8, LateValue: 0.2}},
	}
	for _, u := range []struct {
		name  string
		share float64
	}{{"univ-laurentie", 0.3}, {"univ-saint-fleuve", 0.16}, {"univ-estrie-nord", 0.13}, {"univ-outaouais-ouest", 0.11}, {"univ-mauricie", 0.11}, {"univ-bas-fleuve", 0.08}, {"univ-gaspesie", 0.06}, {"univ-abitibi-lac", 0.05}} {
		f.Tenants = append(f.Tenants, fleetsim.Tenant{Name: u.name, Share: u.share, RatePerSecond: 150 * u.share})
	}
	for i, n := range []int{fast, std, slow} {
		for z, zone := range zones {
			f.Workers = append(f.Workers, fleetsim.WorkerGroup{Kind: f.Kinds[i].Name, Zone: zone, Count: (n + 2 - z) / 3})
		}
	}
	return f
}

// traffic is a load of constant rate in requests per second.
func traffic(seconds, perSec float64) *fleetsim.Load {
	return &fleetsim.Load{Seconds: seconds, Rate: []fleetsim.RatePoint{{AtSeconds: 0, PerSecond: perSec}}, Retries: fleetsim.Retries{Max: 1, WaitMs: 30, HonourRetryAfter: true},
		Classes: []fleetsim.ClassLoad{{Name: "seat-check", Share: 0.8, WorkMs: 200, CV: 1}, {Name: "enrol", Share: 0.2, WorkMs: 140, CV: 1}}}
}

// scenario is a fleet and a load to predict.
type scenario struct {
	name  string
	fleet *fleetsim.Fleet
	load  *fleetsim.Load
}

// scenarios returns the scenarios to predict, each lasting so many seconds.
func scenarios(seconds float64) (out []scenario) {
	add := func(name string, fast, std, slow int, perSec float64, change func(*fleetsim.Fleet, *fleetsim.Load)) {
		f, l := actualFleet(fast, std, slow), traffic(seconds, perSec)
		change(f, l)
		out = append(out, scenario{name, f, l})
	}
	withFault := func(t fleetsim.Fault) func(*fleetsim.Fleet, *fleetsim.Load) {
		t.StartSeconds, t.DurationSeconds = 0.3*seconds, 0.35*seconds
		return func(f *fleetsim.Fleet, _ *fleetsim.Load) { f.Faults = []fleetsim.Fault{t} }
	}
	add("12 workers, calm", 4, 4, 4, 110, func(*fleetsim.Fleet, *fleetsim.Load) {})
	add("12 workers, busy", 4, 4, 4, 160, func(*fleetsim.Fleet, *fleetsim.Load) {})
	add("12 workers, overload", 4, 4, 4, 230, func(*fleetsim.Fleet, *fleetsim.Load) {})
	add("montreal lost and back cold", 4, 4, 4, 120, withFault(fleetsim.Fault{Type: "deaths", Zone: "montreal", Fraction: 1}))
	add("25 % dead at once", 4, 4, 4, 130, withFault(fleetsim.Fault{Type: "deaths", Fraction: 0.25}))
	add("univ-laurentie times 5", 4, 4, 4, 100, func(_ *fleetsim.Fleet, l *fleetsim.Load) {
		l.Bursts = []fleetsim.Burst{{Tenant: "univ-laurentie", Factor: 5, StartSeconds: 0.3 * seconds, DurationSeconds: 0.35 * seconds}}
	})
	add("half the machines shared", 4, 4, 4, 120, withFault(fleetsim.Fault{Type: "shared", Fraction: 0.5, Amount: 0.7, OnSeconds: 2.5, OffSeconds: 1.5}))
	add("25 % drained and restarted", 4, 4, 4, 130, withFault(fleetsim.Fault{Type: "drain", Fraction: 0.25}))
	add("reports 3 s late", 4, 4, 4, 150, withFault(fleetsim.Fault{Type: "reports_late", Amount: 3}))
	add("mostly slow workers", 2, 1, 9, 130, func(*fleetsim.Fleet, *fleetsim.Load) {})
	add("a dispatcher with a third", 4, 4, 4, 150, func(f *fleetsim.Fleet, _ *fleetsim.Load) {
		f.Dispatchers[2].Share = 3
	})
	return out
}

// operatorView returns a fleet as an operator would describe it: the speed of the first kind as the reference, without
// the other speeds, slots, queues and network delays.
func operatorView(f *fleetsim.Fleet) *fleetsim.Fleet {
	out := *f
	out.Kinds = slices.Clone(f.Kinds)
	out.SameZoneMs, out.CrossZoneMs, out.Jitter = 0, 0, 0
	for i := range out.Kinds {
		k := &out.Kinds[i]
		if k.Slots, k.Queue = 0, 0; i > 0 {
			k.Speed = fleetsim.Range{}
		}
	}
	return &out
}

// TestPredictions runs a calm fleet of 8 workers on sockets and fits the model to its capture. It predicts other
// fleets, loads and faults, runs those on sockets too, and prints the table in docs/planner-design.md. It takes minutes
// of real time: `make bench-plan` runs it, CI does not.
func TestPredictions(t *testing.T) {
	if os.Getenv("PLAN_BENCH") == "" {
		t.Skip("runs in real time on real sockets: use make bench-plan")
	}
	program, err := filepath.Abs(cmp.Or(os.Getenv("PLAN_PROGRAM"), "../../../bin/gladepick"))
	if err != nil {
		t.Fatal(err)
	}
	const seconds, seeds = 20, 3
	concurrency := 4
	if text := os.Getenv("PLAN_LANES"); text != "" {
		concurrency, _ = strconv.Atoi(text)
	}
	dir := t.TempDir()
	calm := actualFleet(3, 2, 3)
	if _, err := RunOnSockets(calm, traffic(40, 75), 999, program, dir, 100); err != nil {
		t.Fatal(err)
	}
	dirs, _ := filepath.Glob(filepath.Join(dir, "capture-?"))
	set, err := capture.Read(dirs...)
	if err != nil {
		t.Fatal(err)
	}
	fit, err := planner.FitCapture(set, operatorView(calm))
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range fit.Figures {
		fmt.Printf("fitted: %-55s %8.3f ± %.3f (%d rows)\n", x.Name, x.Value, x.HalfWidth, x.Rows)
	}
	for _, w := range fit.Warnings {
		fmt.Println("warning:", w)
	}
	only := os.Getenv("PLAN_ONLY")
	all := slices.DeleteFunc(scenarios(seconds), func(s scenario) bool { return only != "" && !strings.Contains(s.name, only) })
	measured := make([][seeds]*fleetsim.Result, len(all))
	var mu sync.Mutex
	var wait sync.WaitGroup
	// Each run has its own addresses, because a process that forks may hold a closed port for a moment.
	semaphore := make(chan bool, concurrency)
	for i, s := range all {
		for seed := range seeds {
			semaphore <- true
			wait.Go(func() {
				defer func() { <-semaphore }()
				sub := filepath.Join(dir, fmt.Sprintf("%d-%d", i, seed))
				os.MkdirAll(sub, 0o700)
				r, err := RunOnSockets(s.fleet, s.load, uint64(seed+1), program, sub, 101+i*seeds+seed)
				if err != nil {
					t.Error(s.name, err)
					return
				}
				mu.Lock()
				measured[i][seed] = r
				mu.Unlock()
			})
		}
	}
	wait.Wait()
	if t.Failed() {
		return
	}
	fmt.Println("| day | predicted | 1 | 2 | 3 | mean | off by | worst seed off by |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for i, s := range all {
		described := fit.FillFleet(operatorView(s.fleet))
		load := *s.load
		load.Classes, load.Tenants = fit.Load.Classes, fit.Load.Tenants
		predicted := 0.0
		const days = 12
		var whole, class, worst float64
		for d := range uint64(days) {
			r, err := fleetsim.Simulate(described, &load, 5000+d, nil)
			if err != nil {
				t.Fatal(err)
			}
			predicted += r.Score / days
			whole += r.Total.Service() / days
			class += r.Classes[0].Service() / days
			worst += r.WorstTenSeconds / days
		}
		mean, worstError := 0.0, 0.0
		for _, r := range measured[i] {
			mean += r.Score / seeds
		}
		for _, r := range measured[i] {
			worstError = max(worstError, math.Abs(predicted/r.Score-1))
		}
		fmt.Printf("| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %+.1f %% | %.1f %% |\n", s.name, predicted, measured[i][0].Score, measured[i][1].Score, measured[i][2].Score,
			mean, 100*(predicted/mean-1), 100*worstError)
		if os.Getenv("PLAN_MORE") != "" {
			fmt.Printf("  model: whole %.3f, seat-check %.3f, worst 10 s %.3f\n", whole, class, worst)
			for _, r := range measured[i] {
				fmt.Printf("  socket: whole %.3f, seat-check %.3f, worst 10 s %.3f, %+v\n", r.Total.Service(), r.Classes[0].Service(), r.WorstTenSeconds, r.Total)
			}
		}
		if math.Abs(predicted/mean-1) > 0.1 {
			t.Errorf("%s: predicted %.3f, measured %.3f", s.name, predicted, mean)
		}
	}
}
