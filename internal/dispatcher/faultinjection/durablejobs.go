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

// DurableJobsPlay is the workload of a run with durable jobs: workers that deduplicate by key for a limited time
// (durablejobs_workers.go), clients that retry a job under its key (durablejobs_clients.go), and the links over which
// replicas exchange records (durablejobs_links.go). It records by key which jobs took effect and which outcomes the
// clients received. Violations checks that record: no key takes effect twice, no two clients receive different
// outcomes, and after the quiet span every key has an outcome.
//
// The caller sets the fields of the first block before the run and reads those of the second block after it.
type DurableJobsPlay struct {
	Jobs   int            // number of keys
	Rate   float64        // new keys per second
	Window time.Duration  // how long workers deduplicate a key; the class in the settings has the same window
	Crash  map[int]string // by node: "point:n:action", kill or stop at its n-th pass of the point
	Off    bool           // cost baseline: membership without durable jobs, with the same clients
	Bare   bool           // cost baseline: neither membership nor durable jobs
	Calm   bool           // workers always answer after 5 ms, and no client sends parallel requests

	Effects  map[string]int      // by key: how often the job took effect
	Told     map[string][]string // by key: the distinct outcomes that clients received
	Asked    map[string]int      // by key: requests sent
	Open     []string            // keys without an outcome after the quiet span
	Crashed  map[string]int      // by crash point: crashes in the dispatchers' records
	Founded  int                 // foundings of a new group in the dispatchers' records
	Tries    int                 // requests sent
	Refused  int                 // requests answered by 503
	Broken   int                 // requests without a complete answer, or with an unexpected status
	Took     []time.Duration     // from a client's first request to its outcome
	Failed   int                 // keys whose first outcome is "failed"; set by Violations
	Finished int                 // keys with an outcome; set by Violations

	play    *Play
	mu      sync.Mutex
	past    map[string]*memory
	closers []io.Closer
	all     sync.WaitGroup
	over    atomic.Bool
	rng     *rand.Rand
	ids     atomic.Int64
	client  *http.Client
	keys    []string
}

// ReplicasOf returns the number of replicas of each group in a fleet of n dispatchers.
func ReplicasOf(n int) int {
	if n >= 9 {
		return 5
	}
	return 3
}

// begin starts the workers, the discovery service, the links between dispatchers, and the clients.
func (t *DurableJobsPlay) begin(p *Play) error {
	t.play, t.past, t.rng = p, map[string]*memory{}, rand.New(rand.NewPCG(p.line.Seed, 99))
	t.Effects, t.Told, t.Asked, t.Crashed = map[string]int{}, map[string][]string{}, map[string]int{}, map[string]int{}
	t.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50, DisableCompression: true}, Timeout: 17 * time.Second}
	for w := range workers {
		l, err := net.Listen("tcp", t.worker(w))
		if err != nil {
			return err
		}
		t.closers = append(t.closers, l)
		t.all.Go(func() { t.accept(l, func(c net.Conn) { t.serve(c, w) }) })
	}
	l, err := net.Listen("tcp", t.discovery())
	if err != nil {
		return err
	}
	t.closers = append(t.closers, l)
	t.all.Go(func() { http.Serve(l, http.HandlerFunc(t.list)) })
	n := p.line.Nodes
	for i := range n {
		for k := range n {
			if i == k {
				continue
			}
			l, err := net.Listen("tcp", t.copies(i, k))
			if err != nil {
				return err
			}
			t.closers = append(t.closers, l)
			t.all.Go(func() { t.accept(l, func(c net.Conn) { t.link(c, i, k) }) })
		}
	}
	t.all.Go(t.load)
	return nil
}

// end closes all listeners and tells the clients and connections to stop. It does not wait for them.
func (t *DurableJobsPlay) end() {
	t.over.Store(true)
	for _, c := range t.closers {
		c.Close()
	}
	t.client.CloseIdleConnections()
}

// environmentOf writes the durable-jobs file of dispatcher i and returns the environment variables that name the file
// and the discovery service.
func (t *DurableJobsPlay) environmentOf(i int) (env []string) {
	if t.Bare {
		os.WriteFile(t.play.events(i), nil, 0o600)
		return []string{"NODE_DISCOVERY=" + t.discovery(), "NODE_MEMBERS="}
	} else if t.Off {
		return []string{"NODE_DISCOVERY=" + t.discovery()}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[promises]\nlisten = %q\ncopies = %d\ngroups = 8\nkeep_s = 600\nskew_ms = 100\nevents = %q\n", t.copies(i, i), ReplicasOf(t.play.line.Nodes), filepath.Join(t.play.Dir, fmt.Sprintf("promises-%d.jsonl", i)))
	if at := t.Crash[i]; at != "" && t.play.nodes[i].starts == 0 {
		part := strings.Split(at, ":")
		fmt.Fprintf(&b, "crash_at = %q\ncrash_on = %s\ncrash_by = %q\n", part[0], part[1], part[2])
	}
	for k, other := range t.play.nodes {
		if k != i {
			fmt.Fprintf(&b, "[[promises.peer]]\nname = %q\naddress = %q\n", other.name, t.copies(i, k))
		}
	}
	path := filepath.Join(t.play.Dir, fmt.Sprintf("promises-%d.toml", i))
	os.WriteFile(path, []byte(b.String()), 0o600)
	return []string{"NODE_PROMISES=" + path, "NODE_DISCOVERY=" + t.discovery()}
}

// Violations returns the rules that the record violates, sorted. It also sets Failed and Finished, so it is called
// once.
func (t *DurableJobsPlay) Violations() (out []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, n := range t.Effects {
		if n > 1 {
			out = append(out, fmt.Sprintf("%s took effect %d times", key, n))
		}
	}
	for key, told := range t.Told {
		if len(told) > 1 {
			out = append(out, fmt.Sprintf("clients received different outcomes for %s: %q", key, told))
		}
		if told[0] == "failed" {
			t.Failed++
		}
		if told[0] != "failed" && t.Effects[key] == 0 {
			out = append(out, key+" was answered as served but never took effect")
		}
	}
	for _, key := range t.Open {
		out = append(out, key+" has no outcome after the quiet span")
	}
	if t.Finished = len(t.Told); len(t.keys) < t.Jobs {
		out = append(out, fmt.Sprintf("only %d of %d clients ran", len(t.keys), t.Jobs))
	}
	slices.Sort(out)
	return out
}
