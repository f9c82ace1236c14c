// Lists of workers and the watches that deliver them.

package testenv

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// A draining or gone worker receives no further jobs, and the dispatcher reopens a watch that breaks or stops
// sending lines.
func TestDrainingWorkerGetsNoJobsAndBrokenWatchIsReopened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{})
		time.Sleep(5 * time.Second)
		if calls := r.discoveryServer.Calls(); len(calls) != 1 || calls[0] != "/discovery/hosts?watch=1&after=7" {
			t.Fatalf("discovery calls %v, want one watch after generation 7", calls)
		}
		r.discoveryServer.Changes <- `{"generation":9,"reset":false,"instances":[{"instanceId":"s-0badcafe","lifecycle":"gone"},` +
			`{"instanceId":"s-1ce9565e","hostPort":"127.0.1.1:5000","zone":"montreal","machineType":"std-2c","lifecycle":"draining","weight":1}]}`
		synctest.Wait()
		if w := r.core.WorkerCounts(); w != [3]int{0, 2, 1} {
			t.Errorf("workers by state (gone, ready, draining): %v, want 0, 2, 1", w)
		}
		for i := range 30 {
			id := fmt.Sprint("d", i)
			r.post(task{id, "seat-check", "", "done/30ms", 5 * time.Second})
			for _, to := range r.workers.Sent(id) {
				if to == workerNames[0] || to == workerNames[1] {
					t.Errorf("%s was sent to %s, which is gone or draining", id, to)
				}
			}
		}
		r.discoveryServer.mu.Lock()
		r.discoveryServer.Status, r.discoveryServer.OmitsReady = http.StatusServiceUnavailable, true
		r.discoveryServer.mu.Unlock()
		time.Sleep(20 * time.Second) // without a line the watch counts as silent, and the next calls fail
		failed := len(r.discoveryServer.Calls())
		if failed < 3 || !strings.HasSuffix(r.discoveryServer.Calls()[1], "after=9") {
			t.Errorf("discovery calls %v, want 3 or more, the second after generation 9", r.discoveryServer.Calls())
		}
		r.discoveryServer.mu.Lock()
		r.discoveryServer.Status, r.discoveryServer.OmitsReady = 0, false
		r.discoveryServer.mu.Unlock()
		time.Sleep(10 * time.Second)
		if len(r.discoveryServer.Calls()) <= failed || r.core.WorkerCounts() != [3]int{0, 4, 0} {
			t.Errorf("discovery calls %v, workers by state %v; want a new call and 4 ready workers", r.discoveryServer.Calls(), r.core.WorkerCounts())
		}
	})
}

// A truncated line of the watch: its complete entries apply at once, no other worker counts as gone, and the dispatcher
// calls discovery again within half of the drain grace, however often this happens in a row.
func TestTruncatedWatchLineKeepsOtherWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{})
		for n := range 6 {
			time.Sleep(time.Second)
			r.discoveryServer.Changes <- `{"generation":9,"reset":true,"instances":[{"instanceId":"s-0badcafe","hostPort":"127.0.1.0:5000",` +
				`"zone":"montreal","machineType":"std-2c","lifecycle":"draining","weight":1},{"instanceId":"s-1ce9565e","lifecy` + "\x00"
			synctest.Wait()
			if w := r.core.WorkerCounts(); w != [3]int{0, 3, 1} {
				t.Errorf("break %d: workers by state %v, want 3 ready and 1 draining", n, w)
			}
			time.Sleep(r.node.Module.DrainGrace / 2)
			if calls := r.discoveryServer.Calls(); len(calls) != n+2 || !strings.HasSuffix(calls[n+1], "&after=0") {
				t.Errorf("break %d: discovery calls %v, want one more, after generation 0", n, calls)
			}
			if w := r.core.WorkerCounts(); w != [3]int{0, 4, 0} {
				t.Errorf("after break %d: workers by state %v, want 4 ready", n, w)
			}
		}
	})
}

// With pushed lists the dispatcher calls the agent on its machine at the start, and again whenever the watch ends. If
// it did not call the agent, it would know only the list of its configuration.
func TestPushedListsAreReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t)
		r.pushedLists = true
		r.start(options{})
		if calls := r.discoveryServer.Calls(); len(calls) != 1 {
			t.Fatalf("discovery calls %v, want one", calls)
		}
		const drains = `{"generation":9,"reset":false,"instances":[{"instanceId":"s-0badcafe","hostPort":"127.0.1.0:5000",` +
			`"zone":"montreal","machineType":"std-2c","lifecycle":"draining","weight":1}]}`
		r.discoveryServer.Changes <- drains
		synctest.Wait()
		if w := r.core.WorkerCounts(); w != [3]int{0, 3, 1} {
			t.Errorf("workers by state: %v, want 3 ready and 1 draining", w)
		}
		// Discovery is down: the agent sends its last list, then nothing.
		r.discoveryServer.update(func() { r.discoveryServer.OmitsReady = true; r.discoveryServer.closeWatches() })
		time.Sleep(30 * time.Second)
		if calls := len(r.discoveryServer.Calls()); calls < 3 || calls > 20 || r.core.WorkerCounts() != [3]int{0, 4, 0} {
			t.Errorf("%d calls within 30 s of silence, want 3 to 20; workers by state %v", calls, r.core.WorkerCounts())
		}
		r.discoveryServer.Changes <- drains
		synctest.Wait()
		if w := r.core.WorkerCounts(); w != [3]int{0, 3, 1} {
			t.Errorf("after the silence: workers by state %v, want 3 ready and 1 draining", w)
		}
	})
}

// A list of another deployment, or one older than the last list of the same watch, leaves the last good list in use.
// The exception: a worker that an older list shows as draining gets no further jobs.
func TestForeignAndOldListsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{})
		for _, step := range []struct {
			line string
			want [3]int // gone, ready, draining
		}{
			{`{"generation":20,"reset":false,"instances":[]}`, [3]int{0, 4, 0}},
			{`{"generation":30,"reset":true,"instances":[{"instanceId":"x-1","hostPort":"127.0.9.1:1","zone":"mars","machineType":"rover","lifecycle":"ready"}]}`, [3]int{0, 4, 0}},
			{`{"generation":9,"reset":true,"instances":[]}`, [3]int{0, 4, 0}},
			{`{"error":"no such list"}`, [3]int{0, 4, 0}},
			{`{"generation":9,"reset":false,"instances":[{"instanceId":"s-0badcafe","hostPort":"127.0.1.0:5000","zone":"montreal","machineType":"std-2c","lifecycle":"draining"}]}`, [3]int{0, 3, 1}},
			{`{"generation":8,"reset":false,"instances":[{"instanceId":"s-0badcafe","hostPort":"127.0.1.0:5000","zone":"montreal","machineType":"std-2c","lifecycle":"ready"}]}`, [3]int{0, 3, 1}},
			{`{"generation":21,"reset":false,"instances":[{"instanceId":"s-0badcafe","hostPort":"127.0.1.0:5000","zone":"montreal","machineType":"std-2c","lifecycle":"ready"}]}`, [3]int{0, 4, 0}},
			{`{"generation":22,"reset":true,"instances":[]}`, [3]int{0, 0, 0}},
		} {
			r.discoveryServer.Changes <- step.line
			synctest.Wait()
			if w := r.core.WorkerCounts(); w != step.want {
				t.Errorf("%s: workers by state %v, want %v", step.line, w, step.want)
			}
		}
		if calls := r.discoveryServer.Calls(); len(calls) != 1 {
			t.Errorf("calls %v: the watch did not stay open", calls)
		}
	})
}

// Discovery moves to another address: the old watch ends at once, and its lines no longer count. The new watch asks for
// the complete list, whatever generation the old address had. The job in flight continues.
func TestMovedDiscoveryReplacesWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{})
		l := r.net.Listen("127.0.0.1:8600")
		next := &DiscoveryServer{Changes: make(chan string), Complete: config.WorkerList{Generation: 3, Reset: true, Workers: r.discoveryServer.Complete.Workers[:3]}}
		srv := &http.Server{Handler: next}
		go srv.Serve(l)
		r.cleanups = append(r.cleanups, func() { srv.Close() })
		slow := make(chan receivedAnswer)
		go func() { slow <- r.post(task{"m1", "seat-check", "", "done/2s", 5 * time.Second}) }()
		time.Sleep(time.Second)
		began := time.Now()
		r.watch.SetAddress("127.0.0.1:8600")
		synctest.Wait()
		if calls := next.Calls(); len(calls) != 1 || !strings.HasSuffix(calls[0], "&after=0") || time.Since(began) != 0 {
			t.Errorf("calls at the new address: %v after %v, want one at once, after generation 0", calls, time.Since(began))
		}
		if w := r.core.WorkerCounts(); w[decision.Ready] != 3 {
			t.Errorf("workers by state: %v, want 3 ready", w)
		}
		select {
		case r.discoveryServer.Changes <- `{"generation":99,"reset":true,"instances":[]}`:
			t.Error("a watch at the old address is still open")
		case <-time.After(100 * time.Millisecond):
		}
		if c := <-slow; c.verdict != "served" || len(r.workers.Sent("m1")) != 1 {
			t.Errorf("the job in flight: %+v, sent to %v", c, r.workers.Sent("m1"))
		}
		r.watch.SetAddress("127.0.0.1:8600") // a reload without a change keeps the watch
		time.Sleep(time.Second)
		if calls := next.Calls(); len(calls) != 1 || len(r.discoveryServer.Calls()) != 1 {
			t.Errorf("calls %v at the new address, %v at the old one", calls, r.discoveryServer.Calls())
		}
	})
}
