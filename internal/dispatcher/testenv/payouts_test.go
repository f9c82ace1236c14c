// The second deployment's features in a whole dispatcher: a class that must never run twice, deduplication within one
// zone only, cancellation that stops the work, and pushed lists of workers.

package testenv

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/discovery"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/workerhttp"
)

// newPayoutDispatcher starts a dispatcher of the second deployment with workers in two zones. It returns the zones by
// worker id.
func newPayoutDispatcher(t *testing.T, workers int, stopsOnCancel bool) (*dispatch.Core, *WorkerGroup, map[string]string) {
	c := &Network{Silent: map[string]bool{}}
	group, zones := &WorkerGroup{StopsOnCancel: stopsOnCancel}, map[string]string{}
	var known []config.Worker
	for i := range workers {
		w := Worker(fmt.Sprintf("s-%08x", (i+1)*0x1234567), fmt.Sprintf("127.0.1.%d:5000", i), "ready")
		w.Zone = []string{"montreal", "sherbrooke"}[i%2]
		zones[w.ID], known = w.Zone, append(known, w)
		l := c.Listen(w.Address)
		t.Cleanup(func() { l.Close() })
		go group.Worker(l, w.ID)
	}
	n := Node(t, known, "")
	m := &n.Module
	m.Discovery, m.CrossZoneCost, m.ValueByWork, m.Dispatchers, m.ParallelAttempts = decision.DiscoveryPush, 0.08, true, 4, true
	m.Classes[0] = decision.ClassSettings{LatencyTarget: 300 * time.Millisecond, Stretch: 2.5, Deadline: 6 * time.Second, Idempotency: decision.NotIdempotent, Value: 10, WorkerKind: -1}
	m.Classes[1] = decision.ClassSettings{LatencyTarget: 250 * time.Millisecond, Stretch: 2.5, Deadline: 12 * time.Second, Idempotency: decision.Deduplicated, DedupScope: decision.DedupByZone,
		DedupWindow: 20 * time.Second, Value: 8, WorkerKind: -1}
	srv := &http.Server{Handler: &DiscoveryServer{Changes: make(chan string), Complete: config.WorkerList{Generation: 8, Reset: true, Workers: known}}}
	go srv.Serve(c.Listen("127.0.0.1:8500"))
	counters := new(dispatch.Counters)
	f, watch := workerhttp.New(n, counters), discovery.New(n)
	f.Dial = c.Dial
	watch.Dial = dialContext(c)
	core, err := dispatch.New(n, counters, f, nil, watch, nil)
	if err != nil {
		t.Fatal(err)
	}
	watch.OnList = core.UpdateWorkers
	ctx, cancel := context.WithCancel(context.Background())
	go core.Run(ctx)
	go watch.Run(ctx)
	t.Cleanup(func() {
		cancel()
		core.Wait()
		for _, w := range known {
			f.CloseIdle(w)
		}
		srv.Close()
		time.Sleep(time.Minute)
	})
	time.Sleep(time.Second)
	return core, group, zones
}

// provesNotRun holds the script steps that prove that the job did not run.
var provesNotRun = []string{"returned", "503"}

func TestPayoutsNeverRunTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, group, zones := newPayoutDispatcher(t, 8, false)
		rng := rapid.SliceOfN(rapid.SampledFrom([]string{"done", "done", "done", "done", "done", "done", "done/200ms", "done/20ms", "failed", "lost", "truncated", "foreign", "returned", "503", "503-maybe", "500", "break", "silent"}), 4, 4)
		var mu sync.Mutex
		var all sync.WaitGroup
		answers := map[string]int{}
		for k := range 400 {
			id := fmt.Sprintf("p%d", k)
			steps := rng.Example(k)
			j := &dispatch.Job{ID: id, Target: "/payout/x", Body: []byte(strings.Join(steps, ",")), Class: k % 2, Slots: 1, Timeout: 6 * time.Second}
			if k%2 == 1 {
				j.IdempotencyKey, j.Timeout = "key-"+id, 12*time.Second
			}
			all.Add(1)
			j.Reply = func(a dispatch.Answer) {
				defer all.Done()
				mu.Lock()
				defer mu.Unlock()
				answers[id]++
				sent := group.Sent(id)
				ran := slices.ContainsFunc(steps[:len(sent)], func(s string) bool { return !slices.Contains(provesNotRun, s) })
				if a.Kind == dispatch.Rejected && ran {
					t.Errorf("%s, %v: refused, although it may have run", id, steps[:len(sent)])
				}
			}
			if err := core.Submit(j); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		all.Wait()
		resent := 0
		for k := range 400 {
			id := fmt.Sprintf("p%d", k)
			steps, sent, ran := rng.Example(k), group.Sent(id), ""
			for i, to := range sent {
				if ran != "" && (k%2 == 0 || zones[to] != zones[ran]) {
					t.Errorf("%s of class %d, %v: sent again after it may have run: %v", id, k%2, steps, sent)
				} else if ran != "" {
					resent++
				}
				if ran == "" && !slices.Contains(provesNotRun, steps[min(i, 3)]) {
					ran = to
				}
			}
			if answers[id] != 1 {
				t.Errorf("%s got %d answers, want 1", id, answers[id])
			}
		}
		if len(group.Violations) > 0 || resent < 10 {
			t.Errorf("%d jobs were sent again in their zone, want 10 or more; violations: %v", resent, group.Violations)
		}
	})
}

// The dispatcher cancels a payout that takes far longer than expected, and its work stops. As the job may have run, it
// fails finally, well before its client leaves, and is not sent to the other worker.
func TestCancelStopsTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, group, _ := newPayoutDispatcher(t, 2, true)
		for k := range 6 { // the dispatcher learns the usual duration of a payout, 0.2 s
			done := make(chan dispatch.Answer, 1)
			core.Submit(&dispatch.Job{ID: fmt.Sprint("w", k), Target: "/payout/x", Body: []byte("done/200ms"), Slots: 1, Timeout: 6 * time.Second, Reply: func(a dispatch.Answer) { done <- a }})
			if a := <-done; a.Kind != dispatch.Served {
				t.Fatalf("%+v", a)
			}
		}
		began, done := time.Now(), make(chan dispatch.Answer, 1)
		core.Submit(&dispatch.Job{ID: "long", Target: "/payout/x", Body: []byte("done/5s"), Slots: 1, Timeout: 6 * time.Second, Reply: func(a dispatch.Answer) { done <- a }})
		a := <-done
		time.Sleep(time.Second)
		if took := time.Since(began) - time.Second; a.Kind != dispatch.Failed || took < 300*time.Millisecond || took > 2*time.Second ||
			len(group.Sent("long")) != 1 || !slices.Contains(group.Stopped, "long") {
			t.Errorf("long payout: %+v after %v, sent to %v, stopped jobs %v; want failed within 0.3 s to 2 s, one send and stopped", a, took, group.Sent("long"), group.Stopped)
		}
	})
}
