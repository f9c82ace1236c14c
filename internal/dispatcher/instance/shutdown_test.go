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

// A request that was just read on an idle connection when that is to make room, or when the dispatcher ends, is answered.
func TestRequestReadAsItsConnectionIsToGo(t *testing.T) {
	for _, why := range []string{"room", "end"} {
		r := newFixture(t, func(n *config.Node) { n.Limits.ClientConns, n.Limits.SpareClientConns = 4, 8 })
		passed, asked := make(chan *gatedConn, 64), make(chan struct{})
		r.wrapListener = func(l net.Listener) net.Listener {
			return &gatedListener{Listener: l, accepted: passed, deadlineSet: asked}
		}
		r.start()
		c, s := r.idleClient(passed)
		s.holdReads(true)
		c.send("GET /counters HTTP/1.1\r\nHost: b\r\n\r\n")
		receive(t, "the request", s.readHeld)
		over := make(chan error, 1)
		if why == "room" {
			for range 6 { // all others stay: they are newer
				r.idleClient(passed)
			}
		} else {
			go func() { over <- r.server.Shutdown(context.Background()) }()
			receive(t, "the end of the listener", asked)
			r.waitUntil("the closed listener", func() bool {
				c, err := net.Dial("tcp", r.address)
				if err == nil {
					c.Close()
				}
				return err != nil
			})
		}
		s.holdReads(false)
		close(s.proceed)
		if got := c.readAnswer(); !strings.HasPrefix(got, "200 [{") {
			t.Errorf("%s: a request that was read is answered %s", why, got)
		}
		if why == "end" {
			if err := receive(t, "the end", over); err != nil {
				t.Error(err)
			}
		}
	}
}

// On leaving, a client hears its answer and sends the next request before the dispatcher has closed: that one is not read
// any more, so the close crosses it and it comes again elsewhere. Read and dropped, it would be lost.
func TestRequestUponTheLastAnswer(t *testing.T) {
	r := newFixture(t, nil)
	passed := make(chan *gatedConn, 64)
	r.wrapListener = func(l net.Listener) net.Listener { return &gatedListener{Listener: l, accepted: passed} }
	r.start()
	c, s := r.idleClient(passed)
	r.server.Drain()
	c.send(jobRequest("y1"))
	w := receive(t, "the worker's side", r.workerConns)
	r.readRequest(w)
	s.mu.Lock()
	s.writeHeld = make(chan bool)
	s.mu.Unlock()
	answerDone(w, "y1")
	receive(t, "the answer", s.writeHeld)
	if got := c.readAnswer(); got != "200 of y1 (closes)" {
		t.Errorf("the first is answered %s", got)
	}
	s.holdReads(true)
	c.send(jobRequest("y2"))
	select {
	case text := <-s.readHeld: // at once, where it is read at all
		t.Errorf("%.30q was read on a connection that is to be closed", text)
	case <-time.After(300 * time.Millisecond):
	}
	close(s.proceed)
	if got := c.readAnswer(); strings.HasPrefix(got, "200") || r.counter("taken") != 1 {
		t.Errorf("the second is answered %s; %s", got, r.core.CountersLine())
	}
}

// What the kernel had let in when the listener is to close is served; so is a request whose bytes are there.
func TestLastConnectionsBeforeTheListenerCloses(t *testing.T) {
	r := newFixture(t, func(n *config.Node) { n.Limits.LastAcceptWindow = 300 * time.Millisecond })
	open, asked, stands := make(chan struct{}), make(chan struct{}), make(chan struct{})
	r.wrapListener = func(l net.Listener) net.Listener {
		return &gatedListener{Listener: l, gate: open, deadlineSet: asked, accepting: stands}
	}
	r.start()
	receive(t, "the server at its listener", stands) // a shutdown before that would find none
	c := r.newClient()
	c.send("GET /counters HTTP/1.1\r\nHost: b\r\n\r\n")
	over := make(chan error, 1)
	go func() { over <- r.server.Shutdown(context.Background()) }()
	receive(t, "the end of the listener", asked)
	close(open)
	if got := c.readAnswer(); !strings.HasPrefix(got, "200 [{") || !strings.HasSuffix(got, "(closes)") {
		t.Errorf("it is answered %s", got)
	}
	if err := receive(t, "the end", over); err != nil {
		t.Error(err)
	}
}

// On leaving, idle connections close, and open jobs keep theirs up to their answers.
func TestLeavingWithJobsAndIdleConnections(t *testing.T) {
	r := newFixture(t, nil).start()
	idle, out := r.newClient(), r.newClient()
	idle.send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	if got := idle.readAnswer(); got != "200 up" {
		t.Fatal(got)
	}
	out.send(jobRequest("l1"))
	w := receive(t, "the worker's side", r.workerConns)
	r.readRequest(w)
	over := make(chan error, 1)
	go func() { over <- r.server.Shutdown(context.Background()) }()
	if got := idle.readAnswer(); got != io.EOF.Error() && got != io.ErrUnexpectedEOF.Error() {
		t.Errorf("an idle client hears %s", got)
	}
	select {
	case err := <-over:
		t.Errorf("the end has come with a job open: %v", err)
	default:
	}
	answerDone(w, "l1")
	if got := out.readAnswer(); got != "200 of l1 (closes)" {
		t.Errorf("the job that was out is answered %s", got)
	}
	if err := receive(t, "the end", over); err != nil {
		t.Error(err)
	}
}

// A job that comes on leaving does not wait beyond the moment at which the process is killed, whatever its client does.
func TestLastAnswerOnLeaving(t *testing.T) {
	r := newFixture(t, func(n *config.Node) { n.Limits.DrainDelay, n.Limits.LastAnswerWindow = 0, 700*time.Millisecond }).start()
	c := r.newClient()
	r.server.Drain()
	began := time.Now()
	c.send(jobHead("s1", "seat-check", 300*time.Second, 2) + "go")
	r.readRequest(receive(t, "the worker's side", r.workerConns)) // which never answers
	if got := c.readAnswer(); got != "503 refused: try again later (closes)" || time.Since(began) > 5*time.Second {
		t.Errorf("it is answered %s after %v", got, time.Since(began))
	}
}
