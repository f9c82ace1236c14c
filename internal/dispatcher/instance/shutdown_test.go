package instance_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gladepick/internal/dispatcher/config"
)

// An idle connection is chosen to be closed, to make room for others or on shutdown, just after a request has been read
// on it. The request is answered.
func TestRequestReadWhileItsConnectionCloses(t *testing.T) {
	for _, cause := range []string{"room", "end"} {
		f := newFixture(t, func(n *config.Node) { n.Limits.ClientConns, n.Limits.SpareClientConns = 4, 8 })
		acceptedConns, closing := make(chan *gatedConn, 64), make(chan struct{})
		f.wrapListener = func(l net.Listener) net.Listener {
			return &gatedListener{Listener: l, accepted: acceptedConns, deadlineSet: closing}
		}
		f.start()
		client, conn := f.idleClient(acceptedConns)
		conn.holdReads(true)
		client.send("GET /counters HTTP/1.1\r\nHost: b\r\n\r\n")
		receive(t, "the request", conn.readHeld)
		shutdownErr := make(chan error, 1)
		if cause == "room" {
			for range 6 { // the others are newer, so none of them is closed
				f.idleClient(acceptedConns)
			}
		} else {
			go func() { shutdownErr <- f.server.Shutdown(context.Background()) }()
			receive(t, "the deadline of the listener", closing)
			f.waitUntil("the closed listener", func() bool {
				client, err := net.Dial("tcp", f.address)
				if err == nil {
					client.Close()
				}
				return err != nil
			})
		}
		conn.holdReads(false)
		close(conn.proceed)
		if got := client.readAnswer(); !strings.HasPrefix(got, "200 [{") {
			t.Errorf("%s: the response to a request that was read is %s", cause, got)
		}
		if cause == "end" {
			if err := receive(t, "the result of Shutdown", shutdownErr); err != nil {
				t.Error(err)
			}
		}
	}
}

// During a shutdown a client receives its answer and sends the next request before the dispatcher has closed the
// connection. That request is not read, so the client sees the close without an answer and sends the request elsewhere.
// A request that was read and dropped would be lost.
func TestRequestAfterTheLastAnswerIsNotRead(t *testing.T) {
	f := newFixture(t, nil)
	acceptedConns := make(chan *gatedConn, 64)
	f.wrapListener = func(l net.Listener) net.Listener { return &gatedListener{Listener: l, accepted: acceptedConns} }
	f.start()
	client, conn := f.idleClient(acceptedConns)
	f.server.Drain()
	client.send(jobRequest("y1"))
	worker := receive(t, "a connection to the worker", f.workerConns)
	f.readRequest(worker)
	conn.mu.Lock()
	conn.writeHeld = make(chan bool)
	conn.mu.Unlock()
	answerDone(worker, "y1")
	receive(t, "the answer", conn.writeHeld)
	if got := client.readAnswer(); got != "200 of y1 (closes)" {
		t.Errorf("the first response is %s", got)
	}
	conn.holdReads(true)
	client.send(jobRequest("y2"))
	select {
	case text := <-conn.readHeld: // arrives at once if the request is read at all
		t.Errorf("%.30q was read on a connection that is being closed", text)
	case <-time.After(300 * time.Millisecond):
	}
	close(conn.proceed)
	if got := client.readAnswer(); strings.HasPrefix(got, "200") || f.counter("taken") != 1 {
		t.Errorf("the second response is %s; %s", got, f.core.CountersLine())
	}
}

// On shutdown, connections in the kernel's backlog are served before the listener closes, and so are requests that have
// already arrived on them.
func TestBacklogIsServedOnShutdown(t *testing.T) {
	f := newFixture(t, func(n *config.Node) { n.Limits.LastAcceptWindow = 300 * time.Millisecond })
	gateOpen, closing, acceptCalled := make(chan struct{}), make(chan struct{}), make(chan struct{})
	f.wrapListener = func(l net.Listener) net.Listener {
		return &gatedListener{Listener: l, gate: gateOpen, deadlineSet: closing, accepting: acceptCalled}
	}
	f.start()
	receive(t, "the call of Accept", acceptCalled) // a shutdown before that would find no listener
	client := f.newClient()
	client.send("GET /counters HTTP/1.1\r\nHost: b\r\n\r\n")
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- f.server.Shutdown(context.Background()) }()
	receive(t, "the deadline of the listener", closing)
	close(gateOpen)
	if got := client.readAnswer(); !strings.HasPrefix(got, "200 [{") || !strings.HasSuffix(got, "(closes)") {
		t.Errorf("the response is %s", got)
	}
	if err := receive(t, "the result of Shutdown", shutdownErr); err != nil {
		t.Error(err)
	}
}

// On shutdown, idle connections are closed, and those with open jobs stay open until the jobs are answered.
func TestShutdownWithOpenJobsAndIdleConnections(t *testing.T) {
	f := newFixture(t, nil).start()
	idle, busy := f.newClient(), f.newClient()
	idle.send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	if got := idle.readAnswer(); got != "200 up" {
		t.Fatal(got)
	}
	busy.send(jobRequest("l1"))
	worker := receive(t, "a connection to the worker", f.workerConns)
	f.readRequest(worker)
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- f.server.Shutdown(context.Background()) }()
	if got := idle.readAnswer(); got != io.EOF.Error() && got != io.ErrUnexpectedEOF.Error() {
		t.Errorf("an idle client received %s", got)
	}
	select {
	case err := <-shutdownErr:
		t.Errorf("the shutdown ended with a job open: %v", err)
	default:
	}
	answerDone(worker, "l1")
	if got := busy.readAnswer(); got != "200 of l1 (closes)" {
		t.Errorf("the response to the open job is %s", got)
	}
	if err := receive(t, "the result of Shutdown", shutdownErr); err != nil {
		t.Error(err)
	}
}

// A job that arrives during a shutdown is answered before the platform kills the process, whatever time-out its client
// requests.
func TestLateJobIsAnsweredBeforeTheKill(t *testing.T) {
	f := newFixture(t, func(n *config.Node) { n.Limits.DrainDelay, n.Limits.LastAnswerWindow = 0, 700*time.Millisecond }).start()
	client := f.newClient()
	f.server.Drain()
	began := time.Now()
	client.send(jobHead("s1", "seat-check", 300*time.Second, 2) + "go")
	f.readRequest(receive(t, "a connection to the worker", f.workerConns)) // the worker never answers
	if got := client.readAnswer(); got != "503 refused: try again later (closes)" || time.Since(began) > 5*time.Second {
		t.Errorf("the response is %s after %v", got, time.Since(began))
	}
}
