// Durable jobs on real processes: clients that retry under a key, workers that deduplicate for a limited time,
// dispatchers that lose their memory when they die. CI runs a short, fixed part. `make promises` runs the long set that
// PROMISES_KINDS, PROMISES_SIZES, PROMISES_SEEDS and PROMISES_JOBS select.

package faultinjection

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gladepick/internal/dispatcher/config"
)

const dedupWindow = 6 * time.Second

// durableKinds maps each kind to a function that generates its timeline and its crash points by node. All kinds except
// "all at once" keep a majority of the replicas of every group alive at any time.
var durableKinds = map[string]func(rng *rand.Rand, n int) (t Timeline, crash map[int]string){
	"calm": func(rng *rand.Rand, n int) (Timeline, map[int]string) { return Timeline{}, nil },
	// Three nodes are killed in turn. Each starts again once its replicas have been restored elsewhere.
	"killed in turns": func(rng *rand.Rand, n int) (t Timeline, _ map[int]string) {
		for k, i := range rng.Perm(n)[:3] {
			at := 1 + 7*float64(k)
			t.Steps = append(t.Steps, Step{AtS: at, Do: "kill", Nodes: []int{i}}, Step{AtS: at + 3.5, Do: "start", Nodes: []int{i}})
		}
		return t, nil
	},
	// With five replicas, two nodes are killed, the second one right after it could take over the leases of the first.
	"successors too": func(rng *rand.Rand, n int) (t Timeline, _ map[int]string) {
		nodes, at := rng.Perm(n), 1.0
		for k := range ReplicaCount(n) / 2 {
			t.Steps = append(t.Steps, Step{AtS: at, Do: "kill", Nodes: nodes[k : k+1]})
			at += 2.2 // until the first is declared failed and its leases move
		}
		for k := range ReplicaCount(n) / 2 {
			t.Steps = append(t.Steps, Step{AtS: at + 4 + 4*float64(k), Do: "start", Nodes: nodes[k : k+1]})
		}
		return t, nil
	},
	// All are killed and start empty: the replicated records are lost, the dispatchers report it, found the groups anew
	// and continue.
	"all at once": func(rng *rand.Rand, n int) (t Timeline, _ map[int]string) {
		nodes := rng.Perm(n)
		t.Steps = []Step{{AtS: 5, Do: "kill", Nodes: nodes}, {AtS: 6, Do: "start", Nodes: nodes}}
		return t, nil
	},
	// A killed node starts again before the failure timeout, under its name and without its state.
	"killed and back at once": func(rng *rand.Rand, n int) (t Timeline, _ map[int]string) {
		for k, i := range rng.Perm(n)[:3] {
			at := 1 + 7*float64(k)
			t.Steps = append(t.Steps, Step{AtS: at, Do: "kill", Nodes: []int{i}}, Step{AtS: at + 0.3, Do: "start", Nodes: []int{i}})
		}
		return t, nil
	},
	// Lease owners are stopped until others have taken over, and continue with answers in their buffers.
	"stopped and woken": func(rng *rand.Rand, n int) (t Timeline, _ map[int]string) {
		for k, i := range rng.Perm(n)[:2] {
			t.Steps = append(t.Steps, Step{AtS: 1 + 11*float64(k), Do: "stop", Nodes: []int{i}, ForS: 5})
		}
		return t, nil
	},
	"short stops": func(rng *rand.Rand, n int) (t Timeline, _ map[int]string) {
		for k := range 12 {
			t.Steps = append(t.Steps, Step{AtS: 1 + 1.5*float64(k), Do: "stop", Nodes: []int{rng.IntN(n)}, ForS: 0.2 + rng.Float64()})
		}
		return t, nil
	},
	"split": func(rng *rand.Rand, n int) (t Timeline, _ map[int]string) {
		nodes := rng.Perm(n)
		small, large := nodes[:(n-1)/2], nodes[(n-1)/2:]
		t.Steps = []Step{{AtS: 2, Do: "cut", Nodes: small, To: large, FaultBegins: small}, {AtS: 2, Do: "cut", Nodes: large, To: small}, {AtS: 10, Do: "heal", FaultEnds: small}}
		return t, nil
	},
	"one way": func(rng *rand.Rand, n int) (t Timeline, _ map[int]string) {
		for k := range 3 {
			nodes := rng.Perm(n)
			t.Steps = append(t.Steps, Step{AtS: 1 + 6*float64(k), Do: "cut", Nodes: nodes[:1], To: nodes[1:2]}, Step{AtS: 5 + 6*float64(k), Do: "heal"})
		}
		return t, nil
	},
	"one link": func(rng *rand.Rand, n int) (t Timeline, _ map[int]string) {
		for k := range 3 {
			nodes := rng.Perm(n)
			t.Steps = append(t.Steps, Step{AtS: 1 + 6*float64(k), Do: "cut", Nodes: nodes[:1], To: nodes[1:2]}, Step{AtS: 1 + 6*float64(k), Do: "cut", Nodes: nodes[1:2], To: nodes[:1]},
				Step{AtS: 5 + 6*float64(k), Do: "heal"})
		}
		return t, nil
	},
	"delays": func(rng *rand.Rand, n int) (t Timeline, _ map[int]string) {
		t.Steps = []Step{{AtS: 1, Do: "delay", Ms: [2]int{1, 60}}, {AtS: 14, Do: "delay"}}
		return t, nil
	},
	"rolling restart": func(rng *rand.Rand, n int) (t Timeline, _ map[int]string) {
		for i := range min(n, 5) {
			t.Steps = append(t.Steps, Step{AtS: 1 + 6*float64(i), Do: "term", Nodes: []int{i}}, Step{AtS: 5.5 + 6*float64(i), Do: "start", Nodes: []int{i}})
		}
		return t, nil
	},
	// Three nodes kill themselves at three crash points of a job, seconds apart, and are started again.
	"crash points": func(rng *rand.Rand, n int) (Timeline, map[int]string) { return crashTimeline(rng, n, "kill", 3) },
	// Three nodes stop at crash points, and continue after others have taken over.
	"stopped at points": func(rng *rand.Rand, n int) (Timeline, map[int]string) { return crashTimeline(rng, n, "stop", 10) },
}

// crashTimeline gives three nodes a crash point each and revives all nodes four times, at intervals of every seconds.
// by is the action at the point, kill or stop.
func crashTimeline(rng *rand.Rand, n int, by string, every float64) (t Timeline, crash map[int]string) {
	crash = map[int]string{}
	first := rng.IntN(len(config.CrashPoints))
	for k, i := range rng.Perm(n)[:3] {
		point := config.CrashPoints[(first+3*k)%len(config.CrashPoints)]
		if k == 0 && by == "stop" { // the critical pause lies between an intent and its send
			point = "intended"
		}
		crash[i] = fmt.Sprintf("%s:%d:%s", point, 2+45*k, by)
	}
	for k := range 4 {
		t.Steps = append(t.Steps, Step{AtS: 4 + every*float64(k), Do: "revive"})
	}
	return t, crash
}

// runWorkload runs a timeline with clients and workers, and fails the test for each violation.
func runWorkload(t *testing.T, kind string, n int, seed uint64, host, jobs int, rate float64) *DurableWorkload {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	timeline, crash := durableKinds[kind](rand.New(rand.NewPCG(seed, uint64(n))), n)
	timeline.Kind, timeline.Nodes, timeline.Seed, timeline.QuietS = kind, n, seed, 4
	for i := range timeline.Steps {
		timeline.Steps[i].AtS += 3.5
	}
	last := 3.5 + float64(jobs)/rate // the quiet span begins once all clients have started
	if k := len(timeline.Steps); k > 0 {
		last = max(last, timeline.Steps[k-1].AtS)
	}
	timeline.Steps = append(timeline.Steps, Step{AtS: last + 0.1, Do: "heal"})
	workload := &DurableWorkload{Jobs: jobs, Rate: rate, DedupWindow: dedupWindow, CrashPoints: crash}
	runner := &Runner{Program: path, Dir: t.TempDir(), Host: host, Settings: strings.Replace(settings, `"window":7500000000`, fmt.Sprintf(`"window":%d`, dedupWindow), 1),
		Period: period, FailureTimeout: failureTimeout, DurableJobs: workload}
	result, err := runner.Run(&timeline)
	if err != nil {
		t.Fatal(err)
	}
	violations := workload.Violations()
	if len(crash) == 0 { // crash points come at unknown times, so the audit cannot tell which suspicions are justified
		violations = append(violations, result.Violations...)
	}
	if kind == "all at once" { // records are lost here: only the new foundings and further progress are checked
		violations = slices.DeleteFunc(violations, func(s string) bool { return !strings.Contains(s, "no outcome") && !strings.Contains(s, "clients ran") })
		if workload.Foundings != 2 {
			violations = append(violations, fmt.Sprintf("the event logs tell of %d foundings, want 2", workload.Foundings))
		}
	}
	if len(violations) > 0 || os.Getenv("FAULTS_KEEP_ALL") != "" {
		text, _ := json.Marshal(timeline)
		t.Errorf("%s, %d nodes, seed %d: %d violations: %s\ntimeline: %s %v", kind, n, seed, len(violations), strings.Join(violations[:min(len(violations), 6)], "; "), text, crash)
		if dir := os.Getenv("FAULTS_KEEP"); dir != "" {
			exec.Command("cp", "-r", runner.Dir, filepath.Join(dir, fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(kind, " ", "-"), n, seed))).Run()
		}
	}
	return workload
}

// The part that CI runs: three kinds, five processes each, a fixed seed.
func TestDurableJobsSurviveProcessFaults(t *testing.T) {
	if os.Getenv("FAULTS_SEEDS") != "" || os.Getenv("FAULTS_FILE") != "" || os.Getenv("PROMISES_SEEDS") != "" {
		t.Skip("the variables select a long set")
	}
	var all sync.WaitGroup
	semaphore := make(chan bool, 3)
	for i, kind := range []string{"killed in turns", "stopped and woken", "crash points"} {
		all.Go(func() {
			semaphore <- true
			defer func() { <-semaphore }()
			t.Run(kind, func(t *testing.T) { runWorkload(t, kind, 5, 1, 60+i, 150, 15) })
		})
	}
	all.Wait()
}

// The long set logs a table with a row for each kind and size.
func TestPromisesLongSet(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("PROMISES_SEEDS"))
	if seeds == 0 {
		t.Skip("PROMISES_SEEDS is not set")
	}
	kinds := slices.Sorted(maps.Keys(durableKinds))
	if k := os.Getenv("PROMISES_KINDS"); k != "" {
		kinds = strings.Split(k, ",")
	}
	jobs, _ := strconv.Atoi(cmp.Or(os.Getenv("PROMISES_JOBS"), "1000"))
	concurrent, _ := strconv.Atoi(os.Getenv("FAULTS_AT_ONCE"))
	semaphore, host := make(chan bool, cmp.Or(concurrent, 3)), 0
	var mu sync.Mutex
	var table []string
	crashed := map[string]int{}
	t.Run("plays", func(t *testing.T) {
		for _, size := range strings.Split(cmp.Or(os.Getenv("PROMISES_SIZES"), "5"), ",") {
			n, err := strconv.Atoi(size)
			if err != nil || n < 3 {
				t.Fatalf("PROMISES_SIZES: %q", size)
			}
			for _, kind := range kinds {
				if durableKinds[kind] == nil {
					t.Fatalf("PROMISES_KINDS: %q is not one of %v", kind, slices.Sorted(maps.Keys(durableKinds)))
				}
				var took []time.Duration
				runs, violated, finished, failed, refused, requests := 0, 0, 0, 0, 0, 0
				for seed := range seeds {
					host++
					ownHost := host%140 + 100
					t.Run(fmt.Sprintf("%s/%d/%d", kind, n, seed), func(t *testing.T) {
						t.Parallel()
						semaphore <- true
						defer func() { <-semaphore }()
						workload := runWorkload(t, kind, n, uint64(seed+1), ownHost, jobs, 50)
						mu.Lock()
						defer mu.Unlock()
						runs, finished, failed, refused, requests = runs+1, finished+workload.FinishedKeys, failed+workload.Failed, refused+workload.RefusedRequests, requests+workload.Requests
						took = append(took, workload.Latencies...)
						if t.Failed() {
							violated++
						}
						for point, count := range workload.CrashCounts {
							crashed[point] += count
						}
						if runs == seeds {
							slices.Sort(took)
							table = append(table, fmt.Sprintf("| %s | %d | %d | %d | %d | %d | %d | %d | %d ms | %d ms |", kind, n, runs, violated, finished, failed, requests, refused,
								quantileMs(took, 0.5), quantileMs(took, 0.99)))
						}
					})
				}
			}
		}
	})
	slices.Sort(table)
	t.Logf("\n| kind | nodes | runs | with a violation | keys with an outcome | of them failed | requests | refused | first request to outcome, median | p99 |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n%s\ncrashes by crash point: %v",
		strings.Join(table, "\n"), crashed)
}

// quantileMs returns a quantile of sorted durations in ms, or -1 without any.
func quantileMs(sorted []time.Duration, q float64) int64 {
	if len(sorted) == 0 {
		return -1
	}
	return sorted[int(q*float64(len(sorted)-1))].Milliseconds()
}

// Measures what durability costs per job: runs without membership, with membership alone and with three replicas
// alternate. PROMISES_COST lists the rates in jobs per second.
func TestPromisesCost(t *testing.T) {
	if os.Getenv("PROMISES_COST") == "" {
		t.Skip("PROMISES_COST is not set")
	}
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	t.Log("| jobs per second | dispatchers | mode | jobs with an outcome | median | p99 | processor time per job |")
	host := 180
	for _, rate := range strings.Split(os.Getenv("PROMISES_COST"), ",") {
		perSec, err := strconv.ParseFloat(rate, 64)
		if err != nil {
			t.Fatalf("PROMISES_COST: %v", err)
		}
		for range 3 {
			for _, mode := range []string{"no membership", "membership alone", "3 copies in memory"} {
				host++
				workload := &DurableWorkload{Jobs: int(8 * perSec), Rate: perSec, DedupWindow: dedupWindow, MembershipOnly: mode == "membership alone", NoMembership: mode == "no membership", FaultFree: true}
				timeline := Timeline{Kind: "cost", Nodes: 3, Seed: 1, QuietS: 0.5, Steps: []Step{{AtS: 11.2, Do: "heal"}}}
				runner := &Runner{Program: path, Dir: t.TempDir(), Host: host, Settings: settings, Period: 500 * time.Millisecond, FailureTimeout: 3 * time.Second, DurableJobs: workload}
				if _, err := runner.Run(&timeline); err != nil {
					t.Fatal(err)
				}
				cpu := time.Duration(0)
				for _, n := range runner.nodes {
					cpu += n.process.ProcessState.UserTime() + n.process.ProcessState.SystemTime()
				}
				slices.Sort(workload.Latencies)
				t.Logf("| %s | 3 | %s | %d of %d | %.2f ms | %.2f ms | %d µs |", rate, mode, len(workload.Latencies), workload.Jobs,
					quantileMsExact(workload.Latencies, 0.5), quantileMsExact(workload.Latencies, 0.99), cpu.Microseconds()/int64(workload.Jobs))
			}
		}
	}
}

// quantileMsExact returns a quantile of sorted durations in ms, to the microsecond, or -1 without any.
func quantileMsExact(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return -1
	}
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds()) / 1000
}
