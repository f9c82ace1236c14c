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

// load starts Jobs clients at Rate per second, each with its own key.
func (t *DurableJobsPlay) load() {
	time.Sleep(3 * time.Second) // until the dispatchers have found each other
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

// runClient sends the job of a key until it has an outcome, for at most 40 s, each time to a randomly chosen
// dispatcher. One client in seven also sends two parallel requests at the start.
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

// sendJob sends a job once and records its outcome. An empty outcome means that there is none yet, and that the client
// may retry.
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

// awaitIdle requests every key once more after the quiet span, up to 12 times each, and records the keys without an
// outcome in Open. It also counts the foundings and crashes in the dispatchers' records.
func (t *DurableJobsPlay) awaitIdle() {
	if t.Calm {
		return
	}
	time.Sleep(t.Window) // a repeat after this would take effect again at a worker
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
