package instance_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// A client that leaves while the connection for its job comes up: nothing is written to it, whatever the class; the
// connection serves the next job.
func TestClientLeavesWhileAConnectionComesUp(t *testing.T) {
	for _, effect := range []decision.Idempotency{decision.Idempotent, decision.Deduplicated, decision.NotIdempotent} {
		r := newFixture(t, func(n *config.Node) { n.Module.Classes[0].Idempotency, n.Limits.ConnectTimeout = effect, bound })
		r.holdDials = true
		r.start()
		c := r.newClient()
		text := jobRequest("g1")
		if effect == decision.Deduplicated {
			text = strings.Replace(text, "Content-Length", "Idempotency-Key: k\r\nContent-Length", 1)
		}
		c.send(text)
		d := receive(t, "a connection", r.dials)
		c.Close()
		r.waitUntil("the client's leaving", func() bool { return r.counter("left") == 1 })
		d.up <- d.real
		r.waitUntil("the attempt's end", func() bool { return r.counter("moot") == 1 })
		r.waitIdle(1)
		c = r.newClient()
		c.send(strings.Replace(text, "X-Request-ID: g1", "X-Request-ID: g2", 1))
		w := receive(t, "the worker's side", r.workerConns)
		if id := r.readRequest(w); id != "g2" {
			t.Errorf("effect %v: %s was sent on after its client had left", effect, id)
		}
		answerDone(w, "g2")
		if got := c.readAnswer(); got != "200 of g2" {
			t.Errorf("the next client hears %s", got)
		}
	}
}

// A client that leaves while its request is half written: the rest never goes out, and the connection is closed.
func TestClientLeavesWhileItsRequestIsHalfWritten(t *testing.T) {
	r := newFixture(t, nil)
	r.holdDials = true
	r.start()
	c := r.newClient()
	c.send(jobRequest("h1"))
	d := receive(t, "a connection", r.dials)
	s := &halfWriter{Conn: d.real, halfWritten: make(chan bool), broken: make(chan struct{})}
	d.up <- s
	receive(t, "the first half", s.halfWritten)
	c.Close()
	select {
	case <-s.broken:
	case <-time.After(3 * time.Second): // the job itself has five
		t.Fatal("the write goes on after the client has left")
	}
	w := receive(t, "the worker's side", r.workerConns)
	w.SetReadDeadline(time.Now().Add(bound))
	if text, err := io.ReadAll(w); err != nil || strings.HasSuffix(string(text), "go") {
		t.Errorf("the worker got %q, %v", text, err)
	}
}

// The end of a client's connection shows also behind bytes that came before their time, however it is closed and whatever
// form the body has: the job is not sent a second time. One that has only ended its sending hears that nothing comes of it.
func TestClientLeavesBehindItsBytes(t *testing.T) {
	for _, more := range []string{"", "P", "POST /seat-check/x HT", jobRequest("b2"), strings.Repeat("x", 200<<10)} {
		for _, way := range [][2]string{{"close", jobRequest("b1")}, {"reset", jobRequest("b1")}, {"half", jobRequest("b1")},
			{"close", chunkedJob(jobRequest("b1"))}, {"reset", chunkedJob(jobRequest("b1"))}, {"half", chunkedJob(jobRequest("b1"))}} {
			how := way[0]
			r := newFixture(t, nil).start()
			c := r.newClient()
			c.send(way[1])
			w := receive(t, "the worker's side", r.workerConns)
			r.readRequest(w)
			c.send(more)
			switch how {
			case "reset":
				c.SetLinger(0)
				c.Close()
			case "half":
				c.CloseWrite()
			default:
				c.Close()
			}
			r.waitUntil(fmt.Sprintf("the client's leaving (%s behind %.20q)", how, more), func() bool { return r.counter("left") == 1 })
			if how == "half" {
				if got := c.readAnswer(); got != "502 the client has left (closes)" {
					t.Errorf("behind %.20q a client that has ended its sending hears %s", more, got)
				}
			}
			io.WriteString(w, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
			// It was whole, or broken off: which of the two the core saw first is no matter.
			r.waitUntil("the attempt's end", func() bool { return r.counter("full")+r.counter("cancelled") == 1 })
			if n := r.counter("sent"); n != 1 || r.counter("taken") != 1 {
				t.Errorf("%s behind %.20q: sent %d times; %s", how, more, n, r.core.CountersLine())
			}
		}
	}
}

// A request whose client had left before anybody read it is not taken.
func TestClientLeftBeforeItWasRead(t *testing.T) {
	r := newFixture(t, nil)
	open := make(chan struct{})
	r.wrapListener = func(l net.Listener) net.Listener { return &gatedListener{Listener: l, gate: open} }
	r.start()
	c := r.newClient()
	c.send(jobRequest("u1"))
	c.Close() // the kernel has let it in, nobody else
	close(open)
	r.waitUntil("its end", func() bool { return r.counter("left") == 1 })
	if r.counter("taken") != 0 || r.counter("sent") != 0 {
		t.Errorf("it was taken: %s", r.core.CountersLine())
	}
}

// The core stands still with a job in its mailbox, and the client leaves: it is not sent afterwards, though a worker is
// free and its connection up.
func TestClientLeavesWhileItsJobWaitsInTheMailbox(t *testing.T) {
	r := newFixture(t, nil)
	in, proceed := make(chan bool), make(chan struct{})
	r.core.Observer = observerFunc(func(m *dispatch.Event) {
		if m.Kind == dispatch.JobAnswered && m.Job.ID == "m1" {
			in <- true
			<-proceed
		}
	})
	r.start()
	first, second := r.newClient(), r.newClient()
	first.send(jobRequest("m1"))
	w := receive(t, "the worker's side", r.workerConns)
	r.readRequest(w)
	answerDone(w, "m1")
	receive(t, "the first job's end", in)
	second.send(jobRequest("m2"))
	r.waitUntil("the second job", func() bool { return r.counter("taken") == 2 })
	second.CloseWrite()
	if got := second.readAnswer(); got != "502 the client has left (closes)" { // so its leaving has been told to the core
		t.Errorf("the second client hears %s", got)
	}
	close(proceed)
	if got := first.readAnswer(); got != "200 of m1" {
		t.Errorf("the first client hears %s", got)
	}
	r.waitUntil("its end", func() bool { return r.counter("left") == 1 && r.counter("open") == 0 })
	if r.counter("sent") != 1 {
		t.Errorf("it was sent: %s", r.core.CountersLine())
	}
}

// A client leaves just when its attempt has ended and the next would begin: that one does not.
func TestClientLeavesBetweenTwoAttempts(t *testing.T) {
	r := newFixture(t, nil)
	in, proceed := make(chan bool), make(chan struct{})
	r.core.Observer = observerFunc(func(m *dispatch.Event) {
		if m.Kind == dispatch.AttemptEnded && m.Outcome == decision.Rejected {
			in <- true
			<-proceed
		}
	})
	r.start()
	c := r.newClient()
	c.send(jobRequest("t1"))
	w := receive(t, "the worker's side", r.workerConns)
	r.readRequest(w)
	io.WriteString(w, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
	receive(t, "the attempt's end", in)
	c.CloseWrite()
	if got := c.readAnswer(); got != "502 the client has left (closes)" {
		t.Errorf("the client hears %s", got)
	}
	close(proceed)
	r.waitUntil("its end", func() bool { return r.counter("open") == 0 && r.counter("left")+r.counter("refused") == 1 })
	if r.counter("sent") != 1 {
		t.Errorf("it was sent again: %s", r.core.CountersLine())
	}
}
