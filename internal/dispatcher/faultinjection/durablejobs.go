package faultinjection

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// DurableWorkload is the workload of a run with durable jobs: workers that deduplicate by key for a limited time
// (durablejobs_workers.go), clients that retry a job under its key (durablejobs_clients.go), and the links over which
// replicas exchange records (durablejobs_links.go). It records by key which jobs took effect and which outcomes the
// clients received. Violations checks that record: no key takes effect twice, no two clients receive different
// outcomes, and after the quiet span every key has an outcome.
//
// The caller sets the fields of the first block before the run and reads those of the second block after it.
type DurableWorkload struct {
	Jobs           int            // number of keys
	Rate           float64        // new keys per second
	DedupWindow    time.Duration  // how long workers deduplicate a key; the class in the settings has the same window
	CrashPoints    map[int]string // by node: "point:n:action", kill or stop at its n-th pass of the point
	MembershipOnly bool           // cost baseline: membership without durable jobs, with the same clients
	NoMembership   bool           // cost baseline: neither membership nor durable jobs
	FaultFree      bool           // workers always answer after 5 ms, and no client sends parallel requests

	EffectCounts    map[string]int      // by key: how often the job took effect
	Outcomes        map[string][]string // by key: the distinct outcomes that clients received
	RequestCounts   map[string]int      // by key: requests sent
	Unresolved      []string            // keys without an outcome after the quiet span
	CrashCounts     map[string]int      // by crash point: crashes in the dispatchers' event logs
	Foundings       int                 // assignments of groups that dispatchers founded, by their event logs
	Requests        int                 // requests sent
	RefusedRequests int                 // requests answered by 503
	FailedRequests  int                 // requests without a complete answer, or with an unexpected status
	Latencies       []time.Duration     // from a client's first request to its outcome
	Failed          int                 // keys whose first outcome is "failed"; set by Violations
	FinishedKeys    int                 // keys with an outcome; set by Violations

	runner        *Runner
	mu            sync.Mutex
	executions    map[string]*execution
	closers       []io.Closer
	tasks         sync.WaitGroup
	stopped       atomic.Bool
	rng           *rand.Rand
	lastRequestID atomic.Int64
	client        *http.Client
	keys          []string
}

// ReplicaCount returns the number of replicas of each group in a fleet of n dispatchers.
func ReplicaCount(n int) int {
	if n >= 9 {
		return 5
	}
	return 3
}

// start starts the workers, the discovery service, the links between dispatchers, and the clients.
func (d *DurableWorkload) start(r *Runner) error {
	d.runner, d.executions, d.rng = r, map[string]*execution{}, rand.New(rand.NewPCG(r.timeline.Seed, 99))
	d.EffectCounts, d.Outcomes, d.RequestCounts, d.CrashCounts = map[string]int{}, map[string][]string{}, map[string]int{}, map[string]int{}
	d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50, DisableCompression: true}, Timeout: 17 * time.Second}
	for w := range workerCount {
		l, err := net.Listen("tcp", d.workerAddress(w))
		if err != nil {
			return err
		}
		d.closers = append(d.closers, l)
		d.tasks.Go(func() { d.accept(l, func(c net.Conn) { d.serveWorker(c, w) }) })
	}
	l, err := net.Listen("tcp", d.discovery())
	if err != nil {
		return err
	}
	d.closers = append(d.closers, l)
	d.tasks.Go(func() { http.Serve(l, http.HandlerFunc(d.serveDiscovery)) })
	n := r.timeline.Nodes
	for i := range n {
		for k := range n {
			if i == k {
				continue
			}
			l, err := net.Listen("tcp", d.replicationAddress(i, k))
			if err != nil {
				return err
			}
			d.closers = append(d.closers, l)
			d.tasks.Go(func() { d.accept(l, func(c net.Conn) { d.forwardConnection(c, i, k) }) })
		}
	}
	d.tasks.Go(d.runClients)
	return nil
}

// stop closes all listeners and tells the clients and connections to stop. It does not wait for them.
func (d *DurableWorkload) stop() {
	d.stopped.Store(true)
	for _, c := range d.closers {
		c.Close()
	}
	d.client.CloseIdleConnections()
}

// environment writes the durable-jobs file of dispatcher i and returns the environment variables that name the file
// and the discovery service.
func (d *DurableWorkload) environment(i int) (env []string) {
	if d.NoMembership {
		os.WriteFile(d.runner.events(i), nil, 0o600)
		return []string{"NODE_DISCOVERY=" + d.discovery(), "NODE_MEMBERS="}
	} else if d.MembershipOnly {
		return []string{"NODE_DISCOVERY=" + d.discovery()}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[promises]\nlisten = %q\ncopies = %d\ngroups = 8\nkeep_s = 600\nskew_ms = 100\nevents = %q\n", d.replicationAddress(i, i), ReplicaCount(d.runner.timeline.Nodes), filepath.Join(d.runner.Dir, fmt.Sprintf("promises-%d.jsonl", i)))
	if crash := d.CrashPoints[i]; crash != "" && d.runner.nodes[i].starts == 0 {
		part := strings.Split(crash, ":")
		fmt.Fprintf(&b, "crash_at = %q\ncrash_on = %s\ncrash_by = %q\n", part[0], part[1], part[2])
	}
	for k, other := range d.runner.nodes {
		if k != i {
			fmt.Fprintf(&b, "[[promises.peer]]\nname = %q\naddress = %q\n", other.name, d.replicationAddress(i, k))
		}
	}
	path := filepath.Join(d.runner.Dir, fmt.Sprintf("promises-%d.toml", i))
	os.WriteFile(path, []byte(b.String()), 0o600)
	return []string{"NODE_PROMISES=" + path, "NODE_DISCOVERY=" + d.discovery()}
}

// Violations returns the rules that the record violates, sorted. It also sets Failed and FinishedKeys, so it is called
// once.
func (d *DurableWorkload) Violations() (violations []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, n := range d.EffectCounts {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("%s took effect %d times", key, n))
		}
	}
	for key, outcomes := range d.Outcomes {
		if len(outcomes) > 1 {
			violations = append(violations, fmt.Sprintf("clients received different outcomes for %s: %q", key, outcomes))
		}
		if outcomes[0] == "failed" {
			d.Failed++
		}
		if outcomes[0] != "failed" && d.EffectCounts[key] == 0 {
			violations = append(violations, key+" was answered as served but never took effect")
		}
	}
	for _, key := range d.Unresolved {
		violations = append(violations, key+" has no outcome after the quiet span")
	}
	if d.FinishedKeys = len(d.Outcomes); len(d.keys) < d.Jobs {
		violations = append(violations, fmt.Sprintf("only %d of %d clients ran", len(d.keys), d.Jobs))
	}
	slices.Sort(violations)
	return violations
}
