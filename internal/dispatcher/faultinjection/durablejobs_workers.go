package faultinjection

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"gladepick/internal/dispatcher/config"
)

// workerCount is the number of workers of a run.
const workerCount = 4

// execution is the last execution of a key. All workers share it.
type execution struct {
	startedAt time.Time     // when the execution started
	done      chan struct{} // closed at its end
	result    string
}

func (d *DurableWorkload) workerAddress(w int) string {
	return fmt.Sprintf("127.%d.200.%d:6000", d.runner.Host, w+1)
}

func (d *DurableWorkload) discovery() string { return fmt.Sprintf("127.%d.201.1:8500", d.runner.Host) }

// accept serves each connection on a goroutine of its own until the listener closes.
func (d *DurableWorkload) accept(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		d.tasks.Go(func() {
			defer c.Close()
			serve(c)
		})
	}
}

// serveDiscovery is the discovery service. Its list of workers never changes; an open watch gets an empty line each
// second.
func (d *DurableWorkload) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	var all []config.Worker
	for k := range workerCount {
		all = append(all, config.Worker{ID: fmt.Sprintf("s-%08x", k+1), Address: d.workerAddress(k), Zone: []string{"montreal", "sherbrooke"}[k%2],
			Kind: "std-2c", State: "ready", Weight: 1})
	}
	json.NewEncoder(w).Encode(config.WorkerList{Generation: 1, Reset: true, Workers: all})
	for r.URL.Query().Has("watch") && r.Context().Err() == nil && !d.stopped.Load() {
		w.(http.Flusher).Flush()
		time.Sleep(time.Second)
		io.WriteString(w, "\n")
	}
}

// serveWorker answers the requests of one connection to worker w. Of 100 requests it refuses 3, drops 3 before they
// run, and drops 4 after they have run.
func (d *DurableWorkload) serveWorker(c net.Conn, w int) {
	in := bufio.NewReader(c)
	rng := rand.New(rand.NewPCG(rand.Uint64(), uint64(w)))
	for !d.stopped.Load() {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		id, key := r.Header.Get("X-Request-ID"), r.Header.Get("Idempotency-Key")
		name := fmt.Sprintf("s-%08x", w+1)
		draw, duration := rng.IntN(100), time.Duration(10+rng.IntN(60))*time.Millisecond
		if d.FaultFree {
			draw, duration = 100, 5*time.Millisecond
		}
		switch {
		case draw < 3:
			fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 2\r\n\r\nno")
			continue
		case draw < 6: // the connection breaks before the job runs; the dispatcher cannot tell whether it ran
			return
		}
		result := d.execute(key, duration)
		if draw < 10 { // the job ran, and its answer is lost
			return
		}
		line := func(state, extraFields string) string {
			s := fmt.Sprintf(`{"id":%q,"from":%q,"state":%q%s}`+"\n", id, name, state, extraFields)
			return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%s%s0\r\n\r\n", line("started", ""),
			line("done", fmt.Sprintf(`,"result":%q`, result))); err != nil {
			return
		}
	}
}

// execute executes a job and counts its effect. A repeat within DedupWindow has no effect: it waits for the earlier
// execution and returns that result. A job without a key has no effect.
func (d *DurableWorkload) execute(key string, duration time.Duration) string {
	if key == "" {
		time.Sleep(duration)
		return "looked"
	}
	d.mu.Lock()
	m := d.executions[key]
	if m != nil && time.Since(m.startedAt) < d.DedupWindow {
		d.mu.Unlock()
		<-m.done
		return m.result
	}
	d.EffectCounts[key]++
	m = &execution{startedAt: time.Now(), done: make(chan struct{}), result: fmt.Sprintf("%s took effect %d", key, d.EffectCounts[key])}
	d.executions[key] = m
	d.mu.Unlock()
	time.Sleep(duration)
	close(m.done)
	return m.result
}
