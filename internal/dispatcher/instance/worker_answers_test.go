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

// The chunked framing of a worker's response may never be completed. The client still receives the result at once.
func TestResultIsNotDelayedByIncompleteFraming(t *testing.T) {
	for _, framing := range []string{"", "0", "0\r\n", "5\r\nab"} {
		f := newFixture(t, func(n *config.Node) { n.Limits.TrailingTimeout = maxWait }).start()
		client := f.newClient()
		client.send(jobHead("e1", "seat-check", 4*time.Second, 2) + "go")
		worker := receive(t, "a connection to the worker", f.workerConns)
		f.readRequest(worker)
		began := time.Now()
		io.WriteString(worker, chunkedHead+doneChunk("e1")+framing)
		if got := client.readAnswer(); got != "200 of e1" || time.Since(began) > 3*time.Second {
			t.Errorf("with %q after the last line the response is %s after %v", framing, got, time.Since(began))
		}
	}
}

// A worker may use every form of chunked encoding that HTTP allows, and its connection is reused afterwards.
func TestChunkedEncodingVariants(t *testing.T) {
	for _, text := range []string{
		doneChunk("f1") + "0\r\n\r\n",
		doneChunk("f1") + "000\r\n\r\n",
		doneChunk("f1") + "0;last=1\r\nX-Trailer: a\r\nX-Other: b\r\n\r\n",
		strings.Replace(doneChunk("f1"), "\r\n", " ; name=\"v\"\r\n", 1) + chunkOf("\n") + "0\r\n\r\n",
		chunkOf(`{"id":"f1",`) + chunkOf(`"state":"done","result":"of f1"`) + chunkOf("}") + "0\r\n\r\n",
	} {
		f := newFixture(t, nil).start()
		client := f.newClient()
		client.send(jobRequest("f1"))
		worker := receive(t, "a connection to the worker", f.workerConns)
		f.readRequest(worker)
		io.WriteString(worker, chunkedHead+text)
		if got := client.readAnswer(); got != "200 of f1" {
			t.Errorf("%q: the response is %s", text, got)
		}
		f.waitIdle(1)
	}
}

// A worker sends an invalid response. No client receives the answer of another job. A job that may have run is sent
// again only if its class may run twice.
func TestInvalidWorkerResponse(t *testing.T) {
	for _, idempotency := range []decision.Idempotency{decision.Idempotent, decision.NotIdempotent} {
		for name, text := range map[string]string{
			"a response that never ends":  chunkedHead + strings.Repeat(chunkOf(`{"id":"a2","from":"w","state":"running","share":0.5}`+"\n"), 8000),
			"a line that never ends":      chunkedHead + "fffffff\r\n" + strings.Repeat("x", 400<<10),
			"a head that never ends":      "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", 60000),
			"cut in the last line":        chunkedHead + `40` + "\r\n" + `{"id":"a2","state":"do`,
			"an invalid chunk size":       chunkedHead + "nine\r\n" + doneChunk("a2") + "0\r\n\r\n",
			"the wrong id":                chunkedHead + doneChunk("a9") + "0\r\n\r\n",
			"the previous response again": chunkedHead + doneChunk("a1") + "0\r\n\r\n",
		} {
			f := newFixture(t, func(n *config.Node) { n.Module.Classes[0].Idempotency = idempotency }).start()
			client := f.newClient()
			client.send(jobRequest("a1"))
			worker := receive(t, "a connection to the worker", f.workerConns)
			f.readRequest(worker)
			answerDone(worker, "a1")
			if got := client.readAnswer(); got != "200 of a1" {
				t.Fatalf("the first job: %s", got)
			}
			f.waitIdle(1)
			client.send(jobRequest("a2"))
			if id := f.readRequest(worker); id != "a2" {
				t.Fatalf("the worker received %s, want a2", id)
			}
			worker.SetWriteDeadline(time.Now().Add(maxWait))
			io.WriteString(worker, text) // incomplete if the dispatcher closes first
			worker.Close()
			if idempotency == decision.Idempotent {
				retry := receive(t, "another connection ("+name+")", f.workerConns)
				if id := f.readRequest(retry); id != "a2" {
					t.Errorf("%s: the retry is %s, want a2", name, id)
				}
				answerDone(retry, "a2")
				if got := client.readAnswer(); got != "200 of a2" {
					t.Errorf("%s: the response is %s", name, got)
				}
			} else if got := client.readAnswer(); got != "502 the job failed" || f.counter("sent") != 2 {
				t.Errorf("%s: the response is %s; %s", name, got, f.core.CountersLine())
			}
		}
	}
}

// A worker sends a response that names no job a second time, some milliseconds late. The duplicate is not taken for the
// response to the next job, which may not run twice. The connection is not reused until LateAnswerWindow has passed.
func TestDuplicateResponseWithoutJobID(t *testing.T) {
	for status, first := range map[string]string{
		"503 Service Unavailable\r\nX-Not-Processed: 1": "", "500 Internal Server Error": "502 the job failed", "400 Bad Request": "502 the job failed",
	} {
		f := newFixture(t, func(n *config.Node) {
			n.Module.Classes[0].Idempotency, n.Limits.LateAnswerWindow = decision.NotIdempotent, maxWait
		}).start()
		client := f.newClient()
		client.send(jobRequest("n1"))
		worker := receive(t, "a connection to the worker", f.workerConns)
		f.readRequest(worker)
		answer := "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"
		io.WriteString(worker, answer)
		id := "n1" // if it never ran, it is sent to another worker at once
		if first != "" {
			if got := client.readAnswer(); got != first {
				t.Errorf("%.3s: the first response is %s", status, got)
			}
			id = "n2"
			client.send(jobRequest(id))
		}
		other := receive(t, status[:3]+": another connection", f.workerConns)
		if got := f.readRequest(other); got != id {
			t.Errorf("%.3s: then the worker received %s", status, got)
		}
		io.WriteString(worker, answer)
		answerDone(other, id)
		if got := client.readAnswer(); got != "200 of "+id || f.counter("sent") != 2 {
			t.Errorf("%.3s: the next response is %s; %s", status, got, f.core.CountersLine())
		}
	}
}

// A result counts even if the worker resets the connection right after it.
func TestResultBeforeAReset(t *testing.T) {
	f := newFixture(t, func(n *config.Node) { n.Module.Classes[0].Idempotency = decision.NotIdempotent }).start()
	client := f.newClient()
	client.send(jobRequest("r1"))
	worker := receive(t, "a connection to the worker", f.workerConns)
	f.readRequest(worker)
	io.WriteString(worker, chunkedHead+doneChunk("r1"))
	worker.(*net.TCPConn).SetLinger(0)
	worker.Close()
	if got := client.readAnswer(); got != "200 of r1" {
		t.Errorf("the response is %s", got)
	}
}
