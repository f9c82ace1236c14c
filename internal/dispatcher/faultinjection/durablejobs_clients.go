package faultinjection

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gladepick/internal/dispatcher/config"
)

// runClients starts Jobs clients at Rate per second, each with its own key.
func (d *DurableWorkload) runClients() {
	time.Sleep(3 * time.Second) // until the dispatchers have found each other
	startedAt := time.Now()
	for n := range d.Jobs {
		if d.stopped.Load() {
			return
		}
		key := fmt.Sprintf("key-%d-%d", d.runner.timeline.Seed, n)
		d.keys = append(d.keys, key)
		d.tasks.Go(func() { d.runClient(key, uint64(n)) })
		time.Sleep(time.Until(startedAt.Add(time.Duration(float64(n+1) / d.Rate * float64(time.Second)))))
	}
}

// runClient sends the job of a key until it has an outcome, for at most 40 s, each time to a randomly chosen
// dispatcher. One client in seven also sends two parallel requests at the start.
func (d *DurableWorkload) runClient(key string, n uint64) {
	rng := rand.New(rand.NewPCG(d.runner.timeline.Seed, n))
	startedAt := time.Now()
	var parallel sync.WaitGroup
	if rng.IntN(7) == 0 && !d.FaultFree {
		for range 2 {
			at := rng.IntN(d.runner.timeline.Nodes)
			parallel.Go(func() { d.sendJob(key, at) })
		}
	}
	for time.Since(startedAt) < 40*time.Second && !d.stopped.Load() {
		if outcome := d.sendJob(key, rng.IntN(d.runner.timeline.Nodes)); outcome != "" {
			d.mu.Lock()
			d.Latencies = append(d.Latencies, time.Since(startedAt))
			d.mu.Unlock()
			break
		}
		time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
	}
	parallel.Wait()
}

// sendJob sends a job once and records its outcome. An empty outcome means that there is none yet, and that the client
// may retry.
func (d *DurableWorkload) sendJob(key string, node int) (outcome string) {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://127.%d.0.%d:5000/enrol/%016x", d.runner.Host, node+1, 77), bytes.NewReader([]byte("{}")))
	if err != nil {
		return ""
	}
	for name, v := range map[string]string{"X-Request-ID": fmt.Sprintf("%s-%d", key, d.lastRequestID.Add(1)), "X-Priority-Class": "enrol", "X-Tenant-Id": "univ-laurentie",
		"X-Timeout": "15", "Idempotency-Key": key} {
		r.Header.Set(name, v)
	}
	status, body := 0, []byte(nil)
	if response, err := d.client.Do(r); err == nil {
		status = response.StatusCode
		if body, err = io.ReadAll(response.Body); err != nil {
			status = 0
		}
		response.Body.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Requests++
	d.RequestCounts[key]++
	switch status {
	case http.StatusOK:
		outcome = string(body)
	case http.StatusBadGateway:
		outcome = "failed"
	case http.StatusServiceUnavailable:
		d.RefusedRequests++
		return ""
	default:
		d.FailedRequests++
		return ""
	}
	if !slices.Contains(d.Outcomes[key], outcome) {
		d.Outcomes[key] = append(d.Outcomes[key], outcome)
	}
	return outcome
}

// checkOutcomes requests every key once more after the quiet span, up to 12 times each, and records the keys without an
// outcome in Open. It also counts the foundings and crashes in the dispatchers' records.
func (d *DurableWorkload) checkOutcomes() {
	if d.FaultFree {
		return
	}
	time.Sleep(d.DedupWindow) // a repeat after this would take effect again at a worker
	semaphore := make(chan bool, 20)
	var all sync.WaitGroup
	for i, key := range d.keys {
		semaphore <- true
		all.Go(func() {
			defer func() { <-semaphore }()
			for k := range 12 {
				node := d.runner.nodes[(i+k)%len(d.runner.nodes)]
				if node.process == nil {
					continue
				}
				if d.sendJob(key, (i+k)%len(d.runner.nodes)) != "" {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
			d.mu.Lock()
			d.Unresolved = append(d.Unresolved, key)
			d.mu.Unlock()
		})
	}
	all.Wait()
	for i := range d.runner.nodes {
		text, _ := os.ReadFile(filepath.Join(d.runner.Dir, fmt.Sprintf("promises-%d.jsonl", i)))
		d.Foundings += strings.Count(string(text), `"notice":"founded`)
		for _, point := range config.CrashPoints {
			d.CrashCounts[point] += strings.Count(string(text), strconv.Quote("crash")+":"+strconv.Quote(point))
		}
	}
}
