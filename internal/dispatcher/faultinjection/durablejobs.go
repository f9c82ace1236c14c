// A Trial is what a play of promises needs besides dispatchers: workers that remember
// keys for a while, clients that come again with theirs, and the links over which copies
// go. It counts what took effect and what clients were told, by key. The verdict comes
// from that record: no key takes effect twice, no two clients are told different
// outcomes, and after the quiet stretch every key has one.

package faultinjection

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gladepick/internal/dispatcher/config"
)

// DurableJobsPlay is set up by its exported fields and read after the play.
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

// memory is what the workers know of a key.
type memory struct {
	ran    time.Time
	done   chan struct{}
	result string
}

const workers = 4

// ReplicasOf are as many as a fleet of n gets here.
func ReplicasOf(n int) int {
	if n >= 9 {
		return 5
	}
	return 3
}

func (t *DurableJobsPlay) worker(w int) string {
	return fmt.Sprintf("127.%d.200.%d:6000", t.play.Host, w+1)
}
func (t *DurableJobsPlay) discovery() string { return fmt.Sprintf("127.%d.201.1:8500", t.play.Host) }
func (t *DurableJobsPlay) copies(i, k int) string {
	return fmt.Sprintf("127.%d.%d.%d:7500", t.play.Host, i+1, k+1)
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

func (t *DurableJobsPlay) accept(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.all.Go(func() {
			defer c.Close()
			serve(c)
		})
	}
}

func (t *DurableJobsPlay) end() {
	t.over.Store(true)
	for _, c := range t.closers {
		c.Close()
	}
	t.client.CloseIdleConnections()
}

// link carries what node i sends to node k. While that way is cut nothing passes, and nothing is said.
func (t *DurableJobsPlay) link(from net.Conn, i, k int) {
	cut := func() bool {
		p := t.play
		return p.partitions[i*p.line.Nodes+k].Load() || p.deaf[k].Load()
	}
	wait := func() bool {
		for cut() && !t.over.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		return !t.over.Load()
	}
	if !wait() {
		return
	}
	to, err := net.DialTimeout("tcp", t.copies(k, k), time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	go func() { // the other end has gone
		io.Copy(io.Discard, to)
		from.Close()
	}()
	rng := rand.New(rand.NewPCG(t.play.line.Seed, uint64(i*1000+k)))
	buffer := make([]byte, 64<<10)
	for {
		from.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		n, err := from.Read(buffer)
		if n > 0 {
			if !wait() {
				return
			}
			if d := t.play.delay.Load(); d > 0 {
				low, high := d>>16, d&0xffff
				time.Sleep(time.Duration(low+rng.Int64N(high-low+1)) * time.Millisecond)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if ne, ok := err.(net.Error); err != nil && !(ok && ne.Timeout()) || t.over.Load() {
			return
		}
	}
}

// list is discovery: the workers never change.
func (t *DurableJobsPlay) list(w http.ResponseWriter, r *http.Request) {
	var all []config.Worker
	for k := range workers {
		all = append(all, config.Worker{ID: fmt.Sprintf("s-%08x", k+1), Address: t.worker(k), Zone: []string{"montreal", "sherbrooke"}[k%2],
			Kind: "std-2c", State: "ready", Weight: 1})
	}
	json.NewEncoder(w).Encode(config.WorkerList{Generation: 1, Reset: true, Workers: all})
	for r.URL.Query().Has("watch") && r.Context().Err() == nil && !t.over.Load() {
		w.(http.Flusher).Flush()
		time.Sleep(time.Second)
		io.WriteString(w, "\n")
	}
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

// serve is a worker's side of a connection.
func (t *DurableJobsPlay) serve(c net.Conn, w int) {
	in := bufio.NewReader(c)
	rng := rand.New(rand.NewPCG(rand.Uint64(), uint64(w)))
	for !t.over.Load() {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		id, key := r.Header.Get("X-Request-ID"), r.Header.Get("Idempotency-Key")
		name := fmt.Sprintf("s-%08x", w+1)
		luck, takes := rng.IntN(100), time.Duration(10+rng.IntN(60))*time.Millisecond
		if t.Calm {
			luck, takes = 100, 5*time.Millisecond
		}
		switch {
		case luck < 3:
			fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 2\r\n\r\nno")
			continue
		case luck < 6: // it breaks off, and nobody knows whether it ran: it did not
			return
		}
		result := t.run(key, takes)
		if luck < 10 { // it ran, and the answer is lost
			return
		}
		line := func(state, more string) string {
			s := fmt.Sprintf(`{"id":%q,"from":%q,"state":%q%s}`+"\n", id, name, state, more)
			return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%s%s0\r\n\r\n", line("started", ""),
			line("done", fmt.Sprintf(`,"result":%q`, result))); err != nil {
			return
		}
	}
}

// run does a job, or drops it as a repeat of one that ran or runs. An effect is what cannot be taken back.
func (t *DurableJobsPlay) run(key string, takes time.Duration) string {
	if key == "" {
		time.Sleep(takes)
		return "looked"
	}
	t.mu.Lock()
	m := t.past[key]
	if m != nil && time.Since(m.ran) < t.Window {
		t.mu.Unlock()
		<-m.done
		return m.result
	}
	t.Effects[key]++
	m = &memory{ran: time.Now(), done: make(chan struct{}), result: fmt.Sprintf("%s took effect %d", key, t.Effects[key])}
	t.past[key] = m
	t.mu.Unlock()
	time.Sleep(takes)
	close(m.done)
	return m.result
}

// load sends clients, each with a key of its own, until all have come.
func (t *DurableJobsPlay) load() {
	time.Sleep(3 * time.Second) // the dispatchers find each other
	began := time.Now()
	for n := range t.Jobs {
		if t.over.Load() {
			return
		}
		key := fmt.Sprintf("key-%d-%d", t.play.line.Seed, n)
		t.keys = append(t.keys, key)
		t.all.Go(func() { t.runClient(key, uint64(n)) })
		time.Sleep(time.Until(began.Add(time.Duration(float64(n+1) / t.Rate * float64(time.Second)))))
	}
}

// runClient is a client: it tries until it has an outcome, at a dispatcher of its choice each time, some at three at once.
func (t *DurableJobsPlay) runClient(key string, n uint64) {
	rng := rand.New(rand.NewPCG(t.play.line.Seed, n))
	began := time.Now()
	var side sync.WaitGroup
	if rng.IntN(7) == 0 && !t.Calm {
		for range 2 {
			at := rng.IntN(t.play.line.Nodes)
			side.Go(func() { t.sendJob(key, at) })
		}
	}
	for time.Since(began) < 40*time.Second && !t.over.Load() {
		if outcome := t.sendJob(key, rng.IntN(t.play.line.Nodes)); outcome != "" {
			t.mu.Lock()
			t.Took = append(t.Took, time.Since(began))
			t.mu.Unlock()
			break
		}
		time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
	}
	side.Wait()
}

// sendJob sends a job once, and notes what it was told. An empty outcome is none: it may come again.
func (t *DurableJobsPlay) sendJob(key string, node int) (outcome string) {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://127.%d.0.%d:5000/enrol/%016x", t.play.Host, node+1, 77), bytes.NewReader([]byte("{}")))
	if err != nil {
		return ""
	}
	for name, v := range map[string]string{"X-Request-ID": fmt.Sprintf("%s-%d", key, t.ids.Add(1)), "X-Priority-Class": "enrol", "X-Tenant-Id": "univ-laurentie",
		"X-Timeout": "15", "Idempotency-Key": key} {
		r.Header.Set(name, v)
	}
	status, body := 0, []byte(nil)
	if a, err := t.client.Do(r); err == nil {
		status = a.StatusCode
		if body, err = io.ReadAll(a.Body); err != nil {
			status = 0
		}
		a.Body.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Tries++
	t.Asked[key]++
	switch status {
	case http.StatusOK:
		outcome = string(body)
	case http.StatusBadGateway:
		outcome = "failed"
	case http.StatusServiceUnavailable:
		t.Refused++
		return ""
	default:
		t.Broken++
		return ""
	}
	if !slices.Contains(t.Told[key], outcome) {
		t.Told[key] = append(t.Told[key], outcome)
	}
	return outcome
}

// awaitIdle is called after the quiet stretch: every key is asked for once more, and has to have an outcome.
func (t *DurableJobsPlay) awaitIdle() {
	if t.Calm {
		return
	}
	time.Sleep(t.Window) // what a worker has forgotten would take effect again
	gate := make(chan bool, 20)
	var all sync.WaitGroup
	for i, key := range t.keys {
		gate <- true
		all.Go(func() {
			defer func() { <-gate }()
			for k := range 12 {
				node := t.play.nodes[(i+k)%len(t.play.nodes)]
				if node.process == nil {
					continue
				}
				if t.sendJob(key, (i+k)%len(t.play.nodes)) != "" {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
			t.mu.Lock()
			t.Open = append(t.Open, key)
			t.mu.Unlock()
		})
	}
	all.Wait()
	for i := range t.play.nodes {
		text, _ := os.ReadFile(filepath.Join(t.play.Dir, fmt.Sprintf("promises-%d.jsonl", i)))
		t.Founded += strings.Count(string(text), `"notice":"founded`)
		for _, point := range config.CrashPoints {
			t.Crashed[point] += strings.Count(string(text), strconv.Quote("crash")+":"+strconv.Quote(point))
		}
	}
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
