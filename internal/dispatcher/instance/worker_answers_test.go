package instance_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// The end of an answer's framing may never come: a result is given at once all the same.
func TestAnswerDoesNotWaitForItsEnd(t *testing.T) {
	for _, tail := range []string{"", "0", "0\r\n", "5\r\nab"} {
		r := newFixture(t, func(n *config.Node) { n.Limits.TrailingTimeout = bound }).start()
		c := r.newClient()
		c.send(jobHead("e1", "seat-check", 4*time.Second, 2) + "go")
		w := receive(t, "the worker's side", r.workerConns)
		r.readRequest(w)
		began := time.Now()
		io.WriteString(w, chunkedHead+doneChunk("e1")+tail)
		if got := c.readAnswer(); got != "200 of e1" || time.Since(began) > 3*time.Second {
			t.Errorf("with %q behind its last line a job is answered %s after %v", tail, got, time.Since(began))
		}
	}
}

// Chunks may be worded in any way that the protocol leaves free, and their connection serves again.
func TestFormsOfChunks(t *testing.T) {
	for _, text := range []string{
		doneChunk("f1") + "0\r\n\r\n",
		doneChunk("f1") + "000\r\n\r\n",
		doneChunk("f1") + "0;last=1\r\nX-Trailer: a\r\nX-Other: b\r\n\r\n",
		strings.Replace(doneChunk("f1"), "\r\n", " ; name=\"v\"\r\n", 1) + chunkOf("\n") + "0\r\n\r\n",
		chunkOf(`{"id":"f1",`) + chunkOf(`"state":"done","result":"of f1"`) + chunkOf("}") + "0\r\n\r\n",
	} {
		r := newFixture(t, nil).start()
		c := r.newClient()
		c.send(jobRequest("f1"))
		w := receive(t, "the worker's side", r.workerConns)
		r.readRequest(w)
		io.WriteString(w, chunkedHead+text)
		if got := c.readAnswer(); got != "200 of f1" {
			t.Errorf("%q is answered %s", text, got)
		}
		r.waitIdle(1)
	}
}

// Spoilt answers, for a class that may be repeated and one that may not: nothing goes to the wrong client, nothing that
// may have run is sent again where that is not allowed.
func TestSpoiltAnswers(t *testing.T) {
	for _, effect := range []decision.Idempotency{decision.Idempotent, decision.NotIdempotent} {
		for name, text := range map[string]string{
			"an answer that never ends":          chunkedHead + strings.Repeat(chunkOf(`{"id":"a2","from":"w","state":"running","share":0.5}`+"\n"), 8000),
			"a line that never ends":             chunkedHead + "fffffff\r\n" + strings.Repeat("x", 400<<10),
			"a head that never ends":             "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", 60000),
			"cut in the last line":               chunkedHead + `40` + "\r\n" + `{"id":"a2","state":"do`,
			"a chunk that cannot be read":        chunkedHead + "nine\r\n" + doneChunk("a2") + "0\r\n\r\n",
			"the wrong id":                       chunkedHead + doneChunk("a9") + "0\r\n\r\n",
			"the answer of the job before again": chunkedHead + doneChunk("a1") + "0\r\n\r\n",
		} {
			r := newFixture(t, func(n *config.Node) { n.Module.Classes[0].Idempotency = effect }).start()
			c := r.newClient()
			c.send(jobRequest("a1"))
			w := receive(t, "the worker's side", r.workerConns)
			r.readRequest(w)
			answerDone(w, "a1")
			if got := c.readAnswer(); got != "200 of a1" {
				t.Fatalf("the first job: %s", got)
			}
			r.waitIdle(1)
			c.send(jobRequest("a2"))
			if id := r.readRequest(w); id != "a2" {
				t.Fatalf("the connection brought %s", id)
			}
			w.SetWriteDeadline(time.Now().Add(bound))
			io.WriteString(w, text) // cut short where the dispatcher closes first
			w.Close()
			if effect == decision.Idempotent {
				again := receive(t, "another connection ("+name+")", r.workerConns)
				if id := r.readRequest(again); id != "a2" {
					t.Errorf("%s: then %s came", name, id)
				}
				answerDone(again, "a2")
				if got := c.readAnswer(); got != "200 of a2" {
					t.Errorf("%s: answered %s", name, got)
				}
			} else if got := c.readAnswer(); got != "502 the job failed" || r.counter("sent") != 2 {
				t.Errorf("%s: answered %s; %s", name, got, r.core.CountersLine())
			}
		}
	}
}

// A worker gives an answer that names no job once more, some milliseconds late: it is not taken for the next job's, which
// may not run twice. Up to then that connection serves nobody.
func TestSecondAnswerThatNamesNoJob(t *testing.T) {
	for status, first := range map[string]string{
		"503 Service Unavailable\r\nX-Not-Processed: 1": "", "500 Internal Server Error": "502 the job failed", "400 Bad Request": "502 the job failed",
	} {
		r := newFixture(t, func(n *config.Node) {
			n.Module.Classes[0].Idempotency, n.Limits.LateAnswerWindow = decision.NotIdempotent, bound
		}).start()
		c := r.newClient()
		c.send(jobRequest("n1"))
		w := receive(t, "the worker's side", r.workerConns)
		r.readRequest(w)
		answer := "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"
		io.WriteString(w, answer)
		id := "n1" // goes to another worker at once, where it never ran
		if first != "" {
			if got := c.readAnswer(); got != first {
				t.Errorf("%.3s: the first job is answered %s", status, got)
			}
			id = "n2"
			c.send(jobRequest(id))
		}
		other := receive(t, status[:3]+": another connection", r.workerConns)
		if got := r.readRequest(other); got != id {
			t.Errorf("%.3s: then %s came", status, got)
		}
		io.WriteString(w, answer)
		answerDone(other, id)
		if got := c.readAnswer(); got != "200 of "+id || r.counter("sent") != 2 {
			t.Errorf("%.3s: the next is answered %s; %s", status, got, r.core.CountersLine())
		}
	}
}

// A result whose connection is reset right behind it counts.
func TestResetBehindAResult(t *testing.T) {
	r := newFixture(t, func(n *config.Node) { n.Module.Classes[0].Idempotency = decision.NotIdempotent }).start()
	c := r.newClient()
	c.send(jobRequest("r1"))
	w := receive(t, "the worker's side", r.workerConns)
	r.readRequest(w)
	io.WriteString(w, chunkedHead+doneChunk("r1"))
	w.(*net.TCPConn).SetLinger(0)
	w.Close()
	if got := c.readAnswer(); got != "200 of r1" {
		t.Errorf("it is answered %s", got)
	}
}
