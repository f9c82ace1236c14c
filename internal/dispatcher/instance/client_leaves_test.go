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

// A client leaves while the connection for its job is being established. Whatever the class, the job is not sent on
// that connection, which then serves the next job.
func TestClientLeavesDuringConnect(t *testing.T) {
	for _, idempotency := range []decision.Idempotency{decision.Idempotent, decision.Deduplicated, decision.NotIdempotent} {
		f := newFixture(t, func(n *config.Node) { n.Module.Classes[0].Idempotency, n.Limits.ConnectTimeout = idempotency, maxWait })
		f.holdDials = true
		f.start()
		client := f.newClient()
		text := jobRequest("g1")
		if idempotency == decision.Deduplicated {
			text = strings.Replace(text, "Content-Length", "Idempotency-Key: k\r\nContent-Length", 1)
		}
		client.send(text)
		dial := receive(t, "a dial", f.dials)
		client.Close()
		f.waitUntil("the client's leaving", func() bool { return f.counter("left") == 1 })
		dial.release <- dial.real
		f.waitUntil("the attempt's end", func() bool { return f.counter("moot") == 1 })
		f.waitIdle(1)
		client = f.newClient()
		client.send(strings.Replace(text, "X-Request-ID: g1", "X-Request-ID: g2", 1))
		worker := receive(t, "a connection to the worker", f.workerConns)
		if id := f.readRequest(worker); id != "g2" {
			t.Errorf("idempotency %v: the worker received %s, want g2 alone: the client of g1 had left", idempotency, id)
		}
		answerDone(worker, "g2")
		if got := client.readAnswer(); got != "200 of g2" {
			t.Errorf("the next client received %s", got)
		}
	}
}

// A client leaves while its request is half written to a worker. The rest is not written, and the connection is closed.
func TestClientLeavesDuringRequestWrite(t *testing.T) {
	f := newFixture(t, nil)
	f.holdDials = true
	f.start()
	client := f.newClient()
	client.send(jobRequest("h1"))
	dial := receive(t, "a dial", f.dials)
	half := &halfWriter{Conn: dial.real, halfWritten: make(chan bool), broken: make(chan struct{})}
	dial.release <- half
	receive(t, "the first half", half.halfWritten)
	client.Close()
	select {
	case <-half.broken:
	case <-time.After(3 * time.Second): // the job itself times out after 5 s
		t.Fatal("the write continues after the client has left")
	}
	worker := receive(t, "a connection to the worker", f.workerConns)
	worker.SetReadDeadline(time.Now().Add(maxWait))
	if text, err := io.ReadAll(worker); err != nil || strings.HasSuffix(string(text), "go") {
		t.Errorf("the worker received %q, %v", text, err)
	}
}

// A client sends pipelined bytes and then leaves while its job is open. The dispatcher notices this behind the bytes,
// however the connection is closed and whatever encoding the body has, and does not send the job again. A client that
// has only closed its sending side receives an error.
func TestClientLeavesAfterPipelinedBytes(t *testing.T) {
	for _, pipelined := range []string{"", "P", "POST /seat-check/x HT", jobRequest("b2"), strings.Repeat("x", 200<<10)} {
		for _, variant := range [][2]string{{"close", jobRequest("b1")}, {"reset", jobRequest("b1")}, {"half", jobRequest("b1")},
			{"close", chunkedJob(jobRequest("b1"))}, {"reset", chunkedJob(jobRequest("b1"))}, {"half", chunkedJob(jobRequest("b1"))}} {
			closing := variant[0]
			f := newFixture(t, nil).start()
			client := f.newClient()
			client.send(variant[1])
			worker := receive(t, "a connection to the worker", f.workerConns)
			f.readRequest(worker)
			client.send(pipelined)
			switch closing {
			case "reset":
				client.SetLinger(0)
				client.Close()
			case "half":
				client.CloseWrite()
			default:
				client.Close()
			}
			f.waitUntil(fmt.Sprintf("the client's leaving (%s after %.20q)", closing, pipelined), func() bool { return f.counter("left") == 1 })
			if closing == "half" {
				if got := client.readAnswer(); got != "502 the client has left (closes)" {
					t.Errorf("after %.20q a client that has closed its sending side received %s", pipelined, got)
				}
			}
			io.WriteString(worker, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
			// The attempt was either completed or cancelled, depending on which of the two the core saw first.
			f.waitUntil("the attempt's end", func() bool { return f.counter("full")+f.counter("cancelled") == 1 })
			if n := f.counter("sent"); n != 1 || f.counter("taken") != 1 {
				t.Errorf("%s after %.20q: sent %d times; %s", closing, pipelined, n, f.core.CountersLine())
			}
		}
	}
}

// A job whose client left before the dispatcher read the request is not accepted.
func TestClientLeftBeforeItsRequestIsRead(t *testing.T) {
	f := newFixture(t, nil)
	gateOpen := make(chan struct{})
	f.wrapListener = func(l net.Listener) net.Listener { return &gatedListener{Listener: l, gate: gateOpen} }
	f.start()
	client := f.newClient()
	client.send(jobRequest("u1"))
	client.Close() // the kernel has accepted the connection, the dispatcher has not
	close(gateOpen)
	f.waitUntil("its end", func() bool { return f.counter("left") == 1 })
	if f.counter("taken") != 0 || f.counter("sent") != 0 {
		t.Errorf("the job was accepted: %s", f.core.CountersLine())
	}
}

// A client leaves while its job is queued for the core's goroutine, which is blocked. The job is not sent afterwards,
// although a worker is free and connected.
func TestClientLeavesWhileItsJobIsQueued(t *testing.T) {
	f := newFixture(t, nil)
	observed, proceed := make(chan bool), make(chan struct{})
	f.core.Observer = observerFunc(func(event *dispatch.Event) {
		if event.Kind == dispatch.JobAnswered && event.Job.ID == "m1" {
			observed <- true
			<-proceed
		}
	})
	f.start()
	first, second := f.newClient(), f.newClient()
	first.send(jobRequest("m1"))
	worker := receive(t, "a connection to the worker", f.workerConns)
	f.readRequest(worker)
	answerDone(worker, "m1")
	receive(t, "the first job's end", observed)
	second.send(jobRequest("m2"))
	f.waitUntil("the second job", func() bool { return f.counter("taken") == 2 })
	second.CloseWrite()
	// This answer shows that the core has been notified that the client disconnected.
	if got := second.readAnswer(); got != "502 the client has left (closes)" {
		t.Errorf("the second client received %s", got)
	}
	close(proceed)
	if got := first.readAnswer(); got != "200 of m1" {
		t.Errorf("the first client received %s", got)
	}
	f.waitUntil("its end", func() bool { return f.counter("left") == 1 && f.counter("open") == 0 })
	if f.counter("sent") != 1 {
		t.Errorf("the second job was sent: %s", f.core.CountersLine())
	}
}

// A client leaves after one attempt of its job has ended and before the next begins. The next attempt is not made.
func TestClientLeavesBetweenAttempts(t *testing.T) {
	f := newFixture(t, nil)
	observed, proceed := make(chan bool), make(chan struct{})
	f.core.Observer = observerFunc(func(event *dispatch.Event) {
		if event.Kind == dispatch.AttemptEnded && event.Outcome == decision.Rejected {
			observed <- true
			<-proceed
		}
	})
	f.start()
	client := f.newClient()
	client.send(jobRequest("t1"))
	worker := receive(t, "a connection to the worker", f.workerConns)
	f.readRequest(worker)
	io.WriteString(worker, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
	receive(t, "the attempt's end", observed)
	client.CloseWrite()
	if got := client.readAnswer(); got != "502 the client has left (closes)" {
		t.Errorf("the client received %s", got)
	}
	close(proceed)
	f.waitUntil("its end", func() bool { return f.counter("open") == 0 && f.counter("left")+f.counter("refused") == 1 })
	if f.counter("sent") != 1 {
		t.Errorf("the job was sent again: %s", f.core.CountersLine())
	}
}
