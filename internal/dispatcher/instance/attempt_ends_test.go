package instance_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// A job's time ends while its connection comes up, while its request is half written, and while its last line is half
// read: it is answered then, and nothing more of it goes out. One that may have run is never called harmless where it may
// not run twice.
func TestTimeEndsOnTheWay(t *testing.T) {
	for _, effect := range []decision.Idempotency{decision.Idempotent, decision.NotIdempotent} {
		want := map[decision.Idempotency]string{decision.Idempotent: "503 refused: try again later", decision.NotIdempotent: "502 the job failed"}[effect]
		for _, at := range []string{"connecting", "writing", "reading"} {
			r := newFixture(t, func(n *config.Node) { n.Module.Classes[0].Idempotency, n.Limits.ConnectTimeout = effect, bound })
			// Its time ends in the core and at the dial at one instant. The dial's word would be that it never ran, and a
			// refusal is right then for either class: so the core's alone is asked for here.
			r.holdDials, r.ignoreTimeouts = true, true
			r.start()
			c := r.newClient()
			c.send(jobHead("d1", "seat-check", 400*time.Millisecond, 2) + "go")
			d := receive(t, "a connection", r.dials)
			w := receive(t, "the worker's side", r.workerConns)
			switch at {
			case "writing":
				s := &halfWriter{Conn: d.real, halfWritten: make(chan bool), broken: make(chan struct{})}
				d.up <- s
				receive(t, "the first half", s.halfWritten)
			case "reading":
				d.up <- d.real
				r.readRequest(w)
				io.WriteString(w, chunkedHead+doneChunk("d1")[:30])
			}
			if got := c.readAnswer(); got != want {
				t.Errorf("effect %v, %s: answered %s", effect, at, got)
			}
			if at == "connecting" { // it comes up now, and ends
				d.real.Close()
				d.up <- d.real
			}
			w.SetReadDeadline(time.Now().Add(bound))
			if text, err := io.ReadAll(w); err != nil || strings.HasSuffix(string(text), "go") || at == "connecting" && len(text) > 0 {
				t.Errorf("effect %v, %s: the worker got %q, %v", effect, at, text, err)
			}
			if r.counter("sent") != 1 {
				t.Errorf("effect %v, %s: %s", effect, at, r.core.CountersLine())
			}
		}
	}
}

// A worker that is told off, or is missing from the whole list, while a connection to it comes up gets nothing, also when
// it is back under its name by then.
func TestWorkerLeavesWhileAConnectionComesUp(t *testing.T) {
	for _, back := range []bool{false, true} {
		for _, how := range []string{"drains", "is missing"} {
			r := newFixture(t, func(n *config.Node) { n.Limits.ConnectTimeout = bound })
			r.holdDials = true
			r.start()
			c := r.newClient()
			c.send(jobRequest("v1"))
			d := receive(t, "a connection", r.dials)
			w := receive(t, "the worker's side", r.workerConns)
			if how == "drains" {
				var off []config.Worker
				for _, w := range r.node.Known.Workers {
					w.State = "draining"
					off = append(off, w)
				}
				r.core.UpdateWorkers(decision.ListDelta, off)
				r.waitDraining(3)
			} else {
				r.core.UpdateWorkers(decision.ListFull, nil)
				r.waitUntil("no ready worker", func() bool { return r.core.WorkerCounts()[decision.Ready] == 0 })
			}
			if back {
				r.core.UpdateWorkers(decision.ListFull, r.node.Known.Workers)
				r.waitUntil("three ready workers", func() bool { return r.core.WorkerCounts()[decision.Ready] == 3 })
			}
			d.up <- d.real
			r.waitUntil("the attempt's end", func() bool { return r.counter("moot") == 1 })
			if back { // another one of them has it, on the connection that was kept
				if id := r.readRequest(w); id != "v1" {
					t.Errorf("%s came", id)
				}
				answerDone(w, "v1")
			}
			got, want := c.readAnswer(), "503 refused: try again later"
			if back {
				want = "200 of v1"
			}
			if got != want {
				t.Errorf("%s, back %v: answered %s; %s", how, back, got, r.core.CountersLine())
			}
		}
	}
}
