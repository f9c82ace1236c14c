// The membership of real processes under faults. CI runs a short, fixed part. `make faults` runs the long set that the
// variables FAULTS_KINDS, FAULTS_SIZES, FAULTS_SEEDS and FAULTS_FILE select. The verdict comes from the event logs of
// the processes.

package faultinjection

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gladepick/internal/dispatcher/membership/transport"
	"gladepick/internal/dispatcher/testenv"
)

const (
	period         = 150 * time.Millisecond
	failureTimeout = 1200 * time.Millisecond
)

var settings = strings.Replace(testenv.Settings, `"cancelling":true`, `"cancelling":true,"peers":true`, 1)

// buildProgram builds the dispatcher once for all tests.
var buildProgram = sync.OnceValues(func() (string, error) {
	if path := os.Getenv("FAULTS_PROGRAM"); path != "" { // another build, such as one with a deliberate fault
		return filepath.Abs(path)
	}
	dir, err := os.MkdirTemp("", "faults")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "gladepick")
	output, err := exec.Command("go", "build", "-o", dir+"/", "gladepick/cmd/gladepick", "gladepick/cmd/gladepick-full").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildProgram(); err == nil && os.Getenv("FAULTS_PROGRAM") == "" {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// runTimeline runs a timeline and fails the test if its event logs violate an invariant or the nodes do not agree at
// the end.
func runTimeline(t *testing.T, timeline Timeline, host int) *Result {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	runner := &Runner{Program: path, Dir: t.TempDir(), Host: host, Settings: settings, Period: period, FailureTimeout: failureTimeout}
	result, err := runner.Run(&timeline)
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Violations) > 0 || !result.Agreed && timeline.Kind != "one name twice" {
		text, _ := json.Marshal(timeline)
		t.Errorf("%s, %d nodes, seed %d: agreed %v, %d violations: %s\ntimeline: %s", timeline.Kind, timeline.Nodes, timeline.Seed, result.Agreed, len(result.Violations),
			strings.Join(result.Violations[:min(len(result.Violations), 5)], "; "), text)
		for _, e := range result.World.Entries[max(0, len(result.World.Entries)-40):] {
			name := result.World.Nodes[e.Node].Name
			switch {
			case e.View != nil:
				t.Logf("%v %s view %v of %d", e.At.Round(time.Millisecond), name, e.View.ViewID, len(e.View.Members))
			case e.Change != nil:
				t.Logf("%v %s: %s %d %v, %s", e.At.Round(time.Millisecond), name, e.Change.Name, e.Change.Incarnation, e.Change.State, e.Change.Reason)
			case e.Notice != nil:
				t.Logf("%v %s: %s, %s", e.At.Round(time.Millisecond), name, e.Notice.Kind, e.Notice.Text)
			}
		}
		if os.Getenv("FAULTS_KEEP") != "" {
			exec.Command("cp", "-r", runner.Dir, os.Getenv("FAULTS_KEEP")).Run()
		}
	}
	return result
}

// The part that CI runs: each kind once, with five processes and a fixed seed.
func TestMembershipSurvivesProcessFaults(t *testing.T) {
	if os.Getenv("FAULTS_SEEDS") != "" || os.Getenv("FAULTS_FILE") != "" {
		t.Skip("the variables select the long set")
	}
	var all sync.WaitGroup // not t.Parallel, which runs as many at a time as there are cores
	semaphore := make(chan bool, 5)
	for i, kind := range slices.Sorted(maps.Keys(Kinds)) {
		all.Go(func() {
			semaphore <- true
			defer func() { <-semaphore }()
			t.Run(kind, func(t *testing.T) { runTimeline(t, NewTimeline(kind, 5, 1, failureTimeout.Seconds()), 100+i) })
		})
	}
	all.Wait()
}

// The members command, asking a dispatcher directly, lists every member with its state. Wrong use exits with code 2.
func TestMembersCommandShowsStates(t *testing.T) {
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	const host = 98
	runner := &Runner{Program: path, Dir: t.TempDir(), Host: host, Settings: settings, Period: period, FailureTimeout: failureTimeout}
	runner.OnQuiet = func() {
		from := fmt.Sprintf("127.%d.0.1:5000", host)
		text, err := exec.Command(path, "members", "--from", from, "--output", "json").Output()
		var s transport.Status
		if err == nil {
			err = json.Unmarshal(text, &s)
		}
		if err != nil || s.Name != "n0" || !s.Quorum || s.ViewSize != 3 || len(s.Members) != 4 {
			t.Errorf("%v: %s", err, text)
		}
		for _, m := range s.Members {
			if want := map[string]string{"n0": "alive", "n1": "left", "n2": "alive", "n3": "alive"}[m.Name]; m.State != want || m.InView != (want == "alive") {
				t.Errorf("%s is %s, in the view: %v", m.Name, m.State, m.InView)
			}
		}
		table, err := exec.Command(path, "members", "--from", from).Output()
		if err != nil || !strings.Contains(string(table), "quorum yes") || strings.Count(string(table), "\n") != 6 {
			t.Errorf("%v: %s", err, table)
		}
		for _, args := range [][]string{{"members", "--output", "xml"}, {"members", "--from", from, "n0"}} {
			var exit *exec.ExitError
			if _, err := exec.Command(path, args...).Output(); !errors.As(err, &exit) || exit.ExitCode() != 2 {
				t.Errorf("%v: %v, want exit code 2 for wrong use", args, err)
			}
		}
	}
	timeline := Timeline{Kind: "shown", Nodes: 4, Seed: 1, QuietS: 3, Steps: []Step{{AtS: 4, Do: "term", Nodes: []int{1}}}}
	result, err := runner.Run(&timeline)
	if err != nil || len(result.Violations) > 0 || !result.Agreed {
		t.Errorf("%v: %+v", err, result)
	}
}

// The long set logs a table with a row for each kind and size.
func TestLongSet(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("FAULTS_SEEDS"))
	if file := os.Getenv("FAULTS_FILE"); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var timeline Timeline
		if err := json.Unmarshal(text, &timeline); err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		result := runTimeline(t, timeline, 99)
		t.Logf("%s: %d nodes, agreed %v, %d false suspicions, %d views, detected after %v", file, timeline.Nodes, result.Agreed, result.FalseSuspicions, result.Views, result.DetectionTimes)
		return
	}
	if seeds == 0 {
		t.Skip("FAULTS_SEEDS and FAULTS_FILE are not set")
	}
	kinds := slices.Sorted(maps.Keys(Kinds))
	if k := os.Getenv("FAULTS_KINDS"); k != "" {
		kinds = strings.Split(k, ",")
	}
	concurrent, _ := strconv.Atoi(os.Getenv("FAULTS_AT_ONCE"))
	semaphore, host := make(chan bool, cmp.Or(concurrent, 4)), 0
	var mu sync.Mutex
	var table []string
	t.Run("plays", func(t *testing.T) {
		for _, size := range strings.Split(cmp.Or(os.Getenv("FAULTS_SIZES"), "5"), ",") {
			n, err := strconv.Atoi(size)
			if err != nil {
				t.Fatalf("FAULTS_SIZES: %v", err)
			}
			for _, kind := range kinds {
				if Kinds[kind] == nil {
					t.Fatalf("FAULTS_KINDS: %q is not one of %v", kind, slices.Sorted(maps.Keys(Kinds)))
				}
				var detected []time.Duration
				runs, falseSuspicions, views, violated := 0, 0, 0, 0
				for seed := range seeds {
					host++
					ownHost := host%140 + 100
					t.Run(fmt.Sprintf("%s/%d/%d", kind, n, seed), func(t *testing.T) {
						t.Parallel()
						semaphore <- true
						defer func() { <-semaphore }()
						result := runTimeline(t, NewTimeline(kind, n, uint64(seed+1), failureTimeout.Seconds()), ownHost)
						mu.Lock()
						defer mu.Unlock()
						runs, falseSuspicions, views, detected = runs+1, falseSuspicions+result.FalseSuspicions, views+result.Views, append(detected, result.DetectionTimes...)
						if violated += min(len(result.Violations), 1); runs == seeds {
							slices.Sort(detected)
							row := fmt.Sprintf("| %s | %d | %d | %d | %d | %.1f |", kind, n, runs, violated, falseSuspicions, float64(views)/float64(runs))
							if len(detected) > 0 {
								row += fmt.Sprintf(" %.2f s | %.2f s |", detected[len(detected)/2].Seconds(), detected[len(detected)-1].Seconds())
							} else {
								row += " | |"
							}
							table = append(table, row)
						}
					})
				}
			}
		}
	})
	slices.Sort(table)
	t.Logf("\n| kind | nodes | runs | with a violation | false suspicions | views per run | detected by all, median | worst |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n%s", strings.Join(table, "\n"))
}
