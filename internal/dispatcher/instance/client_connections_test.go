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

// Pipelined requests on a connection are answered in order, and none of their bytes are lost.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	f := newFixture(t, nil).start()
	client := f.newClient()
	large := jobHead("q2", "seat-check", 5*time.Second, 60<<10) + strings.Repeat("y", 60<<10)
	client.send(jobRequest("q1"))
	worker := receive(t, "a connection to the worker", f.workerConns)
	f.readRequest(worker)
	client.send(large + "GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	answerDone(worker, "q1")
	if got := client.readAnswer(); got != "200 of q1" {
		t.Errorf("the first response is %s", got)
	}
	if id := f.readRequest(worker); id != "q2" {
		t.Errorf("the worker received %s, want q2", id)
	}
	answerDone(worker, "q2")
	if got := client.readAnswer(); got != "200 of q2" {
		t.Errorf("the second response is %s", got)
	}
	if got := client.readAnswer(); got != "200 up" {
		t.Errorf("the third response is %s", got)
	}
}

// The dispatcher closes a connection that is idle between two requests, and one whose client does not read its
// response.
func TestIdleAndNonReadingClientsAreClosed(t *testing.T) {
	f := newFixture(t, func(n *config.Node) {
		n.Limits.ClientIdleTimeout, n.Limits.ReadTimeout = 150*time.Millisecond, 500*time.Millisecond
	})
	acceptedConns := make(chan *gatedConn, 64)
	f.wrapListener = func(l net.Listener) net.Listener { return &gatedListener{Listener: l, accepted: acceptedConns} }
	f.start()
	client, _ := f.idleClient(acceptedConns)
	if got := client.readAnswer(); got != io.EOF.Error() && got != io.ErrUnexpectedEOF.Error() {
		t.Errorf("an idle client received %s", got)
	}
	client = f.newClient()
	conn := receive(t, "a connection", acceptedConns)
	client.SetReadBuffer(1) // the kernel raises this to its minimum
	conn.SetWriteBuffer(1)
	client.send(jobRequest("i1"))
	worker := receive(t, "a connection to the worker", f.workerConns)
	f.readRequest(worker)
	io.WriteString(worker, chunkedHead+chunkOf(`{"id":"i1","from":"w","state":"done","result":"`+strings.Repeat("r", 100<<10)+"\"}\n")+"0\r\n\r\n")
	f.waitUntil("the answer", func() bool { return f.counter("served") == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	if err := f.server.Shutdown(ctx); err != nil { // it waits until every connection is closed
		t.Errorf("the connection with the unread response stays open: %v", err)
	}
	client.SetReadBuffer(1 << 20)
	if got := client.readAnswer(); !strings.Contains(got, io.ErrUnexpectedEOF.Error()) && !strings.Contains(got, "reset") {
		t.Errorf("a client that read too late received %.60s", got)
	}
}

// After a pause the process finds a request and its expired read deadline at once. The request arrived first, so it is
// served.
func TestRequestArrivesWithItsReadDeadline(t *testing.T) {
	f := newFixture(t, nil)
	expired := make(chan struct{})
	f.wrapListener = func(l net.Listener) net.Listener { return &gatedListener{Listener: l, readsExpired: expired} }
	f.start()
	client := f.newClient()
	client.send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	close(expired)
	if got := client.readAnswer(); got != "200 up" {
		t.Errorf("the response is %s", got)
	}
}

// A client that is rejected while it still sends receives the rejection, and its connection is not reset meanwhile.
func TestRejectedWhileSendingIsNotReset(t *testing.T) {
	f := newFixture(t, func(n *config.Node) { n.Limits.ClientConns, n.Limits.LingerTimeout = 1, maxWait }).start()
	busy := f.newClient()
	busy.send(jobRequest("w1"))
	worker := receive(t, "a connection to the worker", f.workerConns)
	f.readRequest(worker)
	client := f.newClient()
	client.send(jobHead("w2", "seat-check", 5*time.Second, 60<<10))
	if got := client.readAnswer(); got != "503 refused: no room for connections (closes)" {
		t.Errorf("the rejected client received %s", got)
	}
	for range 60 {
		client.send(strings.Repeat("x", 1<<10)) // an error of any of these fails the test
	}
	answerDone(worker, "w1")
	if got := busy.readAnswer(); got != "200 of w1" {
		t.Errorf("the client with the open job received %s", got)
	}
}

// The pool of worker connections is full, and the list has more workers than the limit. Open jobs continue, and a job
// that needs another connection is rejected at once.
func TestFullConnectionPoolAndWorkerTable(t *testing.T) {
	f := newFixture(t, func(n *config.Node) { n.Limits.WorkerConns, n.Limits.Workers = 1, 3 }).start()
	first, second := f.newClient(), f.newClient()
	first.send(jobRequest("f1"))
	worker := receive(t, "a connection to the worker", f.workerConns)
	f.readRequest(worker)
	second.send(jobHead("f2", "enrol", 5*time.Second, 2) + "go")
	if got := second.readAnswer(); got != "503 refused: try again later" || f.counter("dialled") != 1 {
		t.Errorf("with a full connection pool: the client received %s; %s", got, f.core.CountersLine())
	}
	more := append([]config.Worker{testenv.Worker("s-0000000f", "127.0.0.1:9", "ready")}, f.node.KnownWorkers.Workers...)
	f.core.UpdateWorkers(decision.ListDelta, more)
	f.waitUntil("the list", func() bool { return f.counter("roster_changes") == 2 })
	if n := f.core.WorkerCounts(); n != [3]int{0, 3, 0} {
		t.Errorf("workers by state (gone, ready, draining): %v", n)
	}
	answerDone(worker, "f1")
	if got := first.readAnswer(); got != "200 of f1" {
		t.Errorf("the first client received %s", got)
	}
}
