package instance_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// A job times out while its connection is being established, while its request is half written, or while the last line
// of its response is half read. The client is then answered, and nothing more of the request is sent to the worker. A
// job that may have run and may not run twice is answered as failed, never as rejected.
func TestJobTimesOutDuringConnectWriteOrRead(t *testing.T) {
	for _, idempotency := range []decision.Idempotency{decision.Idempotent, decision.NotIdempotent} {
		want := map[decision.Idempotency]string{decision.Idempotent: "503 refused: try again later", decision.NotIdempotent: "502 the job failed"}[idempotency]
		for _, stage := range []string{"connecting", "writing", "reading"} {
			f := newFixture(t, func(n *config.Node) { n.Module.Classes[0].Idempotency, n.Limits.ConnectTimeout = idempotency, maxWait })
			// The job times out in the core and in the dial at the same instant. If the dial reports first that the job
			// never ran, a rejection is correct for either class. So the dial ignores its time-out here, and only the
			// time-out of the core counts.
			f.holdDials, f.ignoreTimeouts = true, true
			f.start()
			client := f.newClient()
			client.send(jobHead("d1", "seat-check", 400*time.Millisecond, 2) + "go")
			dial := receive(t, "a dial", f.dials)
			worker := receive(t, "a connection to the worker", f.workerConns)
			switch stage {
			case "writing":
				half := &halfWriter{Conn: dial.real, halfWritten: make(chan bool), broken: make(chan struct{})}
				dial.release <- half
				receive(t, "the first half", half.halfWritten)
			case "reading":
				dial.release <- dial.real
				f.readRequest(worker)
				io.WriteString(worker, chunkedHead+doneChunk("d1")[:30])
			}
			if got := client.readAnswer(); got != want {
				t.Errorf("idempotency %v, %s: the client received %s", idempotency, stage, got)
			}
			if stage == "connecting" { // the connection is established now, and closed
				dial.real.Close()
				dial.release <- dial.real
			}
			worker.SetReadDeadline(time.Now().Add(maxWait))
			if text, err := io.ReadAll(worker); err != nil || strings.HasSuffix(string(text), "go") || stage == "connecting" && len(text) > 0 {
				t.Errorf("idempotency %v, %s: the worker received %q, %v", idempotency, stage, text, err)
			}
			if f.counter("sent") != 1 {
				t.Errorf("idempotency %v, %s: the job was not sent once: %s", idempotency, stage, f.core.CountersLine())
			}
		}
	}
}

// A worker begins to drain, or is missing from a full list, while a connection to it is being established. It receives
// no request, even if the list holds it as ready again by then.
func TestWorkerLeavesDuringConnect(t *testing.T) {
	for _, returns := range []bool{false, true} {
		for _, reason := range []string{"drains", "is missing"} {
			f := newFixture(t, func(n *config.Node) { n.Limits.ConnectTimeout = maxWait })
			f.holdDials = true
			f.start()
			client := f.newClient()
			client.send(jobRequest("v1"))
			dial := receive(t, "a dial", f.dials)
			worker := receive(t, "a connection to the worker", f.workerConns)
			if reason == "drains" {
				var draining []config.Worker
				for _, worker := range f.node.KnownWorkers.Workers {
					worker.State = "draining"
					draining = append(draining, worker)
				}
				f.core.UpdateWorkers(decision.ListDelta, draining)
				f.waitDraining(3)
			} else {
				f.core.UpdateWorkers(decision.ListFull, nil)
				f.waitUntil("no ready worker", func() bool { return f.core.WorkerCounts()[decision.Ready] == 0 })
			}
			if returns {
				f.core.UpdateWorkers(decision.ListFull, f.node.KnownWorkers.Workers)
				f.waitUntil("three ready workers", func() bool { return f.core.WorkerCounts()[decision.Ready] == 3 })
			}
			dial.release <- dial.real
			f.waitUntil("the attempt's end", func() bool { return f.counter("moot") == 1 })
			if returns { // another worker receives the job, on the connection that was kept
				if id := f.readRequest(worker); id != "v1" {
					t.Errorf("the worker received %s, want v1", id)
				}
				answerDone(worker, "v1")
			}
			got, want := client.readAnswer(), "503 refused: try again later"
			if returns {
				want = "200 of v1"
			}
			if got != want {
				t.Errorf("%s, returns %v: the client received %s; %s", reason, returns, got, f.core.CountersLine())
			}
		}
	}
}
