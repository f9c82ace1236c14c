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

// DurableJobsPlay is what a play of durable jobs needs beside dispatchers: workers that remember keys for a while
// (durablejobs_workers.go), clients that send a job again under its key (durablejobs_clients.go), and the links over which
// replicas exchange records (durablejobs_links.go). It counts what took effect and what clients were told, by key. The
// verdict comes from that record: no key takes effect twice, no two clients are told different outcomes, and after the quiet
// stretch every key has one.
//
// It is set up by its exported fields and read after the play.
type DurableJobsPlay struct {
	Jobs   int            // keys in all
	Rate   float64        // new ones a second
	Window time.Duration  // workers drop a repeat of a key for so long; the settings' class has it too
	Crash  map[int]string // by node: point, how often it is passed before, kill or stop
	Off    bool           // for the cost of it: nothing is kept, and the same clients come
	Bare   bool           // without the membership, too
	Calm   bool           // workers always answer, after 5 ms, and nobody tries twice at a time

	Effects  map[string]int
	Told     map[string][]string // different outcomes
	Asked    map[string]int
	Open     []string // keys without an outcome at the end
	Crashed  map[string]int
	Founded  int // foundings that the dispatchers' records tell of
	Tries    int
	Refused  int
	Broken   int
	Took     []time.Duration // from a client's first try to its outcome
	Failed   int             // keys whose outcome is failed
	Finished int

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

// ReplicasOf are as many as a fleet of n gets here.
func ReplicasOf(n int) int {
	if n >= 9 {
		return 5
	}
	return 3
}

// begin opens the workers and the links between dispatchers.
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

func (t *DurableJobsPlay) end() {
	t.over.Store(true)
	for _, c := range t.closers {
		c.Close()
	}
	t.client.CloseIdleConnections()
}

// environmentOf gives what a dispatcher is told: where discovery is, and the file for its promises.
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

// Violations is what the record breaks.
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
			out = append(out, fmt.Sprintf("of %s clients were told %q", key, told))
		}
		if told[0] == "failed" {
			t.Failed++
		}
		if told[0] != "failed" && t.Effects[key] == 0 {
			out = append(out, key+" was told as served and never took effect")
		}
	}
	for _, key := range t.Open {
		out = append(out, key+" has no outcome after the quiet stretch")
	}
	if t.Finished = len(t.Told); len(t.keys) < t.Jobs {
		out = append(out, fmt.Sprintf("only %d of %d clients came", len(t.keys), t.Jobs))
	}
	slices.Sort(out)
	return out
}
