// Lists of workers and the watches that bring them.

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

// Nothing new goes to a worker once it drains, and a watch that breaks or goes silent is asked for again.
func TestDrainsAndBrokenWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{})
		time.Sleep(5 * time.Second)
		if calls := r.discoveryServer.Calls(); len(calls) != 1 || calls[0] != "/discovery/hosts?watch=1&after=7" {
			t.Fatalf("calls %v", calls)
		}
		r.discoveryServer.Changes <- `{"generation":9,"reset":false,"instances":[{"instanceId":"s-0badcafe","lifecycle":"gone"},` +
			`{"instanceId":"s-1ce9565e","hostPort":"127.0.1.1:5000","zone":"montreal","machineType":"std-2c","lifecycle":"draining","weight":1}]}`
		synctest.Wait()
		if w := r.core.WorkerCounts(); w != [3]int{0, 2, 1} {
			t.Errorf("workers by state: %v", w)
		}
		for i := range 30 {
			id := fmt.Sprint("d", i)
			r.post(task{id, "seat-check", "", "done/30ms", 5 * time.Second})
			for _, to := range r.workers.Sent(id) {
				if to == names[0] || to == names[1] {
					t.Errorf("%s was sent to %s", id, to)
				}
			}
		}
		r.discoveryServer.mu.Lock()
		r.discoveryServer.Status, r.discoveryServer.OmitsReady = http.StatusServiceUnavailable, true
		r.discoveryServer.mu.Unlock()
		time.Sleep(20 * time.Second) // no line for so long: silent, and the next calls fail
		failed := len(r.discoveryServer.Calls())
		if failed < 3 || !strings.HasSuffix(r.discoveryServer.Calls()[1], "after=9") {
			t.Errorf("calls %v", r.discoveryServer.Calls())
		}
		r.discoveryServer.mu.Lock()
		r.discoveryServer.Status, r.discoveryServer.OmitsReady = 0, false
		r.discoveryServer.mu.Unlock()
		time.Sleep(10 * time.Second)
		if len(r.discoveryServer.Calls()) <= failed || r.core.WorkerCounts() != [3]int{0, 4, 0} {
			t.Errorf("calls %v, workers %v", r.discoveryServer.Calls(), r.core.WorkerCounts())
		}
	})
}

// A line that breaks off: its whole entries count at once, nobody else is taken as gone, and discovery is called again
// well within the grace of a drain, however often that happens in a row.
func TestLineOfTheWatchBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{})
		for n := range 6 {
			time.Sleep(time.Second)
			r.discoveryServer.Changes <- `{"generation":9,"reset":true,"instances":[{"instanceId":"s-0badcafe","hostPort":"127.0.1.0:5000",` +
				`"zone":"montreal","machineType":"std-2c","lifecycle":"draining","weight":1},{"instanceId":"s-1ce9565e","lifecy` + "\x00"
			synctest.Wait()
			if w := r.core.WorkerCounts(); w != [3]int{0, 3, 1} {
				t.Errorf("break %d: workers by state %v", n, w)
			}
			time.Sleep(r.node.Module.DrainGrace / 2)
			if calls := r.discoveryServer.Calls(); len(calls) != n+2 || !strings.HasSuffix(calls[n+1], "&after=0") {
				t.Errorf("break %d: calls %v", n, calls)
			}
			if w := r.core.WorkerCounts(); w != [3]int{0, 4, 0} {
				t.Errorf("after break %d: workers by state %v", n, w)
			}
		}
	})
}

// Where lists are pushed nobody asks for them: the agent on the dispatcher's machine is called at the start, and again
// whenever a watch at it ends. Before, it was not called at all, and a dispatcher knew what its start had told it.
func TestPushedListsAreHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t)
		r.pushed = true
		r.start(options{})
		if calls := r.discoveryServer.Calls(); len(calls) != 1 {
			t.Fatalf("calls %v", calls)
		}
		const drains = `{"generation":9,"reset":false,"instances":[{"instanceId":"s-0badcafe","hostPort":"127.0.1.0:5000",` +
			`"zone":"montreal","machineType":"std-2c","lifecycle":"draining","weight":1}]}`
		r.discoveryServer.Changes <- drains
		synctest.Wait()
		if w := r.core.WorkerCounts(); w != [3]int{0, 3, 1} {
			t.Errorf("workers by state: %v", w)
		}
		r.discoveryServer.update(func() { r.discoveryServer.OmitsReady = true; r.discoveryServer.closeWatches() }) // discovery is down: the agent says what it holds, then nothing
		time.Sleep(30 * time.Second)
		if calls := len(r.discoveryServer.Calls()); calls < 3 || calls > 20 || r.core.WorkerCounts() != [3]int{0, 4, 0} {
			t.Errorf("%d calls in half a minute of silence, workers %v", calls, r.core.WorkerCounts())
		}
		r.discoveryServer.Changes <- drains
		synctest.Wait()
		if w := r.core.WorkerCounts(); w != [3]int{0, 3, 1} {
			t.Errorf("after the silence: workers by state %v", w)
		}
	})
}

// A list of another deployment, or one older than what the same watch has said, leaves the last good one in use; only
// who leaves by an older list is not sent to any more.
func TestForeignAndOldLists(t *testing.T) {
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
				t.Errorf("%s: workers by state %v, not %v", step.line, w, step.want)
			}
		}
		if calls := r.discoveryServer.Calls(); len(calls) != 1 {
			t.Errorf("calls %v: the watch did not hold", calls)
		}
	})
}

// Discovery at another address: the old watch ends at once, the new one asks for everything whatever version the old
// address was at, nothing that the old one says counts any more, and the job that is out goes on.
func TestDiscoveryMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{})
		l := r.net.Listen("127.0.0.1:8600")
		next := &DiscoveryServer{Changes: make(chan string), Complete: config.WorkerList{Generation: 3, Reset: true, Workers: r.discoveryServer.Complete.Workers[:3]}}
		srv := &http.Server{Handler: next}
		go srv.Serve(l)
		r.ends = append(r.ends, func() { srv.Close() })
		slow := make(chan receivedAnswer)
		go func() { slow <- r.post(task{"m1", "seat-check", "", "done/2s", 5 * time.Second}) }()
		time.Sleep(time.Second)
		began := time.Now()
		r.watch.SetAddress("127.0.0.1:8600")
		synctest.Wait()
		if calls := next.Calls(); len(calls) != 1 || !strings.HasSuffix(calls[0], "&after=0") || time.Since(began) != 0 {
			t.Errorf("calls %v after %v", calls, time.Since(began))
		}
		if w := r.core.WorkerCounts(); w[decision.Ready] != 3 {
			t.Errorf("workers by state: %v", w)
		}
		select {
		case r.discoveryServer.Changes <- `{"generation":99,"reset":true,"instances":[]}`:
			t.Error("somebody still watches at the old address")
		case <-time.After(100 * time.Millisecond):
		}
		if c := <-slow; c.verdict != "served" || len(r.workers.Sent("m1")) != 1 {
			t.Errorf("the job that was out: %+v, sent to %v", c, r.workers.Sent("m1"))
		}
		r.watch.SetAddress("127.0.0.1:8600") // a reload that changes nothing disturbs nothing
		time.Sleep(time.Second)
		if calls := next.Calls(); len(calls) != 1 || len(r.discoveryServer.Calls()) != 1 {
			t.Errorf("calls %v there, %v at the old address", calls, r.discoveryServer.Calls())
		}
	})
}
