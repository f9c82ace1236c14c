package instance_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/testenv"
)

// Two requests at once on a connection are answered in turn; what comes before its time is kept.
func TestRequestsBeforeTheirTime(t *testing.T) {
	r := newFixture(t, nil).start()
	c := r.newClient()
	large := jobHead("q2", "seat-check", 5*time.Second, 60<<10) + strings.Repeat("y", 60<<10)
	c.send(jobRequest("q1"))
	w := receive(t, "the worker's side", r.workerConns)
	r.readRequest(w)
	c.send(large + "GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	answerDone(w, "q1")
	if got := c.readAnswer(); got != "200 of q1" {
		t.Errorf("the first is answered %s", got)
	}
	if id := r.readRequest(w); id != "q2" {
		t.Errorf("then %s came", id)
	}
	answerDone(w, "q2")
	if got := c.readAnswer(); got != "200 of q2" {
		t.Errorf("the second is answered %s", got)
	}
	if got := c.readAnswer(); got != "200 up" {
		t.Errorf("the third is answered %s", got)
	}
}

// A client's connection ends between two requests after a time, and under an answer that the client does not read.
func TestIdleAndDeafClients(t *testing.T) {
	r := newFixture(t, func(n *config.Node) {
		n.Limits.ClientIdleTimeout, n.Limits.ReadTimeout = 150*time.Millisecond, 500*time.Millisecond
	})
	passed := make(chan *gatedConn, 64)
	r.wrapListener = func(l net.Listener) net.Listener { return &gatedListener{Listener: l, accepted: passed} }
	r.start()
	c, _ := r.idleClient(passed)
	if got := c.readAnswer(); got != io.EOF.Error() && got != io.ErrUnexpectedEOF.Error() {
		t.Errorf("an idle client hears %s", got)
	}
	c = r.newClient()
	s := receive(t, "a connection", passed)
	c.SetReadBuffer(1) // the kernel's least
	s.SetWriteBuffer(1)
	c.send(jobRequest("i1"))
	w := receive(t, "the worker's side", r.workerConns)
	r.readRequest(w)
	io.WriteString(w, chunkedHead+chunkOf(`{"id":"i1","from":"w","state":"done","result":"`+strings.Repeat("r", 100<<10)+"\"}\n")+"0\r\n\r\n")
	r.waitUntil("the answer", func() bool { return r.counter("served") == 1 })
	late, done := context.WithTimeout(context.Background(), bound)
	defer done()
	if err := r.server.Shutdown(late); err != nil { // it waits for every connection's end
		t.Errorf("the answer that nobody reads has no end: %v", err)
	}
	c.SetReadBuffer(1 << 20)
	if got := c.readAnswer(); !strings.Contains(got, io.ErrUnexpectedEOF.Error()) && !strings.Contains(got, "reset") {
		t.Errorf("a client that read too late hears %.60s", got)
	}
}

// A process that stood still finds a request and the end of its time at once: the request was there first.
func TestRequestThatMeetsItsTimeOut(t *testing.T) {
	r := newFixture(t, nil)
	late := make(chan struct{})
	r.wrapListener = func(l net.Listener) net.Listener { return &gatedListener{Listener: l, readsExpired: late} }
	r.start()
	c := r.newClient()
	c.send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	close(late)
	if got := c.readAnswer(); got != "200 up" {
		t.Errorf("it is answered %s", got)
	}
}

// Who is turned away while it still sends hears so, and is not reset under it.
func TestTurnedAwayWhileSending(t *testing.T) {
	r := newFixture(t, func(n *config.Node) { n.Limits.ClientConns, n.Limits.LingerTimeout = 1, bound }).start()
	busy := r.newClient()
	busy.send(jobRequest("w1"))
	w := receive(t, "the worker's side", r.workerConns)
	r.readRequest(w)
	c := r.newClient()
	c.send(jobHead("w2", "seat-check", 5*time.Second, 60<<10))
	if got := c.readAnswer(); got != "503 refused: no room for connections (closes)" {
		t.Errorf("it hears %s", got)
	}
	for range 60 {
		c.send(strings.Repeat("x", 1<<10)) // each of them reports an error
	}
	answerDone(w, "w1")
	if got := busy.readAnswer(); got != "200 of w1" {
		t.Errorf("who was there hears %s", got)
	}
}

// Full tables: no connection to a worker can be spared, more workers are listed than are kept. What was under way goes on,
// and who finds no room hears so at once.
func TestFullTables(t *testing.T) {
	r := newFixture(t, func(n *config.Node) { n.Limits.WorkerConns, n.Limits.Workers = 1, 3 }).start()
	first, second := r.newClient(), r.newClient()
	first.send(jobRequest("f1"))
	w := receive(t, "the worker's side", r.workerConns)
	r.readRequest(w)
	second.send(jobHead("f2", "enrol", 5*time.Second, 2) + "go")
	if got := second.readAnswer(); got != "503 refused: try again later" || r.counter("dialled") != 1 {
		t.Errorf("with no connection to spare: %s; %s", got, r.core.CountersLine())
	}
	more := append([]config.Worker{testenv.Worker("s-0000000f", "127.0.0.1:9", "ready")}, r.node.Known.Workers...)
	r.core.UpdateWorkers(decision.ListDelta, more)
	r.waitUntil("the list", func() bool { return r.counter("roster_changes") == 2 })
	if n := r.core.WorkerCounts(); n != [3]int{0, 3, 0} {
		t.Errorf("workers by state %v", n)
	}
	answerDone(w, "f1")
	if got := first.readAnswer(); got != "200 of f1" {
		t.Errorf("the first hears %s", got)
	}
}
