// These tests model the states of a connection to a worker (none, in use, idle, closed by the worker, with pending
// bytes) and check random steps against the model.
package workerhttp_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/testenv"
	"gladepick/internal/dispatcher/workerhttp"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same random steps in every run

// nopWatcher is a list watcher that ignores requests.
type nopWatcher struct{}

func (nopWatcher) Watch(bool) {}

const address = "127.0.1.0:5000"

// fixture is a transport with a core that has one worker, so that each job is sent to that worker once or not at all.
type fixture struct {
	transport *workerhttp.Transport
	core      *dispatch.Core
	counters  *dispatch.Counters
	stop      func()
}

func newFixture(t testing.TB, n *config.Node, dial func(context.Context, string) (net.Conn, error)) *fixture {
	f := &fixture{counters: new(dispatch.Counters)}
	f.transport = workerhttp.New(n, f.counters)
	if dial != nil {
		f.transport.Dial = dial
	}
	var err error
	if f.core, err = dispatch.New(n, f.counters, f.transport, nil, nopWatcher{}, nil); err != nil {
		t.Fatal(err)
	}
	var ctx context.Context
	ctx, f.stop = context.WithCancel(context.Background())
	go f.core.Run(ctx)
	return f
}

func (f *fixture) serve(id, script string) dispatch.Answer {
	answers := make(chan dispatch.Answer, 1)
	f.core.Submit(&dispatch.Job{ID: id, Target: "/seat-check", Body: []byte(script), Timeout: 2 * time.Second, Slots: 1,
		Reply: func(a dispatch.Answer) { answers <- a }})
	return <-answers
}

// expectation is the expected effect of a worker's answer.
type expectation struct {
	answer  dispatch.AnswerKind
	outcome decision.Outcome
	pooled  bool // the connection returns to the pool
}

// expectations maps the scripts of testenv's workers to their expected effects.
var expectations = map[string]expectation{
	"done":      {dispatch.Served, decision.OK, true},
	"done-odd":  {dispatch.Served, decision.OK, true},
	"failed":    {dispatch.Rejected, decision.Error, true},
	"returned":  {dispatch.Rejected, decision.Rejected, true},
	"503":       {dispatch.Rejected, decision.Rejected, true},
	"500":       {dispatch.Rejected, decision.Error, true},
	"503-maybe": {dispatch.Rejected, decision.Error, true},
	"break":     {dispatch.Rejected, decision.Reset, false},
	"truncated": {dispatch.Rejected, decision.Reset, false},
	"foreign":   {dispatch.Rejected, decision.Reset, false},
	"lost":      {dispatch.Rejected, decision.Reset, false},
	"silent":    {dispatch.Rejected, decision.TimedOut, false},
}

// steps lists the random steps: the scripts, "wait" and "close".
var steps = []string{"done", "done-odd", "failed", "returned", "503", "500", "503-maybe", "break",
	"truncated", "foreign", "lost", "silent", "wait", "close"}

// connectionModel is the expected state of the one connection to a worker.
type connectionModel struct {
	*fixture
	t       *rapid.T
	network *testenv.Network
	workers *testenv.WorkerGroup
	idle    bool // the connection is in the pool
	dials   int
}

func TestConnectionStatesMatchTheModel(t *testing.T) {
	n := testenv.Node(t, []config.Worker{testenv.Worker("s-00000001", address, "ready")}, "")
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) { // hides t.Deadline, which panics in a synctest bubble
			m := &connectionModel{t: rt, network: &testenv.Network{}, workers: &testenv.WorkerGroup{}}
			l := m.network.Listen(address)
			go m.workers.Worker(l, "s-00000001")
			m.fixture = newFixture(t, n, m.network.Dial)
			for i := range rapid.IntRange(1, 12).Draw(rt, "steps") {
				name := rapid.SampledFrom(steps).Draw(rt, "word")
				m.step(name, fmt.Sprint("c", i), n.Limits.WorkerIdleTimeout)
				synctest.Wait()
				m.check(name)
				time.Sleep(1200 * time.Millisecond) // lets the module send a trial job to an unhealthy worker
				idleCount, _ := m.transport.ConnectionCounts()
				m.idle = m.idle && idleCount == 1
			}
			m.transport.CloseIdle(config.Worker{Address: address})
			m.stop()
			l.Close()
			time.Sleep(time.Minute)
		})
	})
}

// step executes one step on the transport and in the model.
func (m *connectionModel) step(name, id string, idleTimeout time.Duration) {
	switch name {
	case "wait":
		wait := time.Duration(rapid.IntRange(1, 6000).Draw(m.t, "ms")) * time.Millisecond
		time.Sleep(wait)
		m.idle = m.idle && wait < idleTimeout
	case "close":
		m.transport.CloseIdle(config.Worker{Address: address})
		m.idle = false
	default:
		m.serveStep(name, id, expectations[name])
	}
}

// serveStep submits a job whose body is a script for the worker, and checks the effect.
func (m *connectionModel) serveStep(name, id string, want expectation) {
	before := m.counters.Outcomes[want.outcome].Load()
	a := m.serve(id, name)
	synctest.Wait()
	sent := len(m.workers.Sent(id))
	if sent == 0 { // the module did not send the job, so the connection is unchanged
		return
	}
	if !m.idle {
		m.dials++
	}
	m.idle = want.pooled
	if sent != 1 || a.Kind != want.answer || m.counters.Outcomes[want.outcome].Load() != before+1 {
		m.t.Errorf("%s: unexpected answer %v or outcome after %d sends; counters %s", name, a, sent, m.core.CountersLine())
	}
	if a.Kind == dispatch.Served && string(a.Result) != testenv.Result(id) {
		m.t.Errorf("%s: unexpected result %q", name, a.Result)
	}
}

// check compares the transport with the model.
func (m *connectionModel) check(after string) {
	want := 0
	if m.idle {
		want = 1
	}
	if idleCount, open := m.transport.ConnectionCounts(); idleCount != want || open != want || m.network.Dials != m.dials {
		m.t.Fatalf("after %s: %d idle and %d open connections, %d dials; want %d connections, %d dials",
			after, idleCount, open, m.network.Dials, want, m.dials)
	}
}

// If a connection is refused or not established within ConnectTimeout, the job has not run: the client must get a
// rejection, and the pool must count no open connection.
func TestFailedConnectMeansTheJobNeverRan(t *testing.T) {
	n := testenv.Node(t, []config.Worker{testenv.Worker("s-00000001", address, "ready")}, "")
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			network := &testenv.Network{Silent: map[string]bool{address: silent}}
			f := newFixture(t, n, network.Dial)
			start := time.Now()
			a := f.serve("n1", "done")
			if a.Kind != dispatch.Rejected || f.counters.Outcomes[decision.ConnectFailed].Load() != 1 {
				t.Errorf("silent %v: got answer %v; counters %s", silent, a, f.core.CountersLine())
			}
			if took := time.Since(start); silent && took != n.Limits.ConnectTimeout {
				t.Errorf("the connect failed after %v, want ConnectTimeout", took)
			}
			if _, open := f.transport.ConnectionCounts(); open != 0 {
				t.Errorf("%d connections are counted as open, want 0", open)
			}
			f.stop()
		})
	}
}

// If the connection breaks before the request's last byte is written, the job has not run and the client must get a
// rejection.
func TestBreakWhileWritingMeansTheJobNeverRan(t *testing.T) {
	n := testenv.Node(t, []config.Worker{testenv.Worker("s-00000001", address, "ready")}, "")
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, n, func(context.Context, string) (net.Conn, error) {
			local, remote := net.Pipe()
			go func() { io.ReadFull(remote, make([]byte, 40)); remote.Close() }()
			return local, nil
		})
		if a := f.serve("n1", "done"); a.Kind != dispatch.Rejected || f.counters.Outcomes[decision.ConnectFailed].Load() != 1 {
			t.Errorf("got answer %v; counters %s", a, f.core.CountersLine())
		}
		f.stop()
	})
}

// The transport must not write to a pooled connection that the worker has closed or that has pending bytes. The test
// uses sockets, because only they can be peeked into.
func TestStaleConnectionsAreNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n := testenv.Node(t, []config.Worker{testenv.Worker("s-00000001", l.Addr().String(), "ready")}, "")
	f := newFixture(t, n, nil)
	defer f.stop()
	conns := make(chan net.Conn)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	answer := func(c net.Conn, id string) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil || r.Header.Get("X-Request-ID") != id {
			t.Errorf("%s: got request %v, error %v", id, r, err)
			return
		}
		io.Copy(io.Discard, r.Body)
		line := fmt.Sprintf(`{"id":%q,"state":"done","result":"x"}`, id) + "\n"
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(line), line)
	}
	var last net.Conn
	for i, spoil := range []func(net.Conn){
		func(c net.Conn) { c.Close() },
		func(c net.Conn) { io.WriteString(c, "HTTP/1.1 408 Request Timeout\r\n\r\n") },
		nil,
	} {
		done := make(chan dispatch.Answer, 1)
		go func() { done <- f.serve(fmt.Sprint("s", i), "x") }()
		select {
		case last = <-conns: // each of these jobs needs a new connection
		case a := <-done:
			t.Fatalf("job %d: got answer %v without a new connection; counters %s", i, a, f.core.CountersLine())
		}
		answer(last, fmt.Sprint("s", i))
		if a := <-done; a.Kind != dispatch.Served {
			t.Errorf("job %d: got answer %v, want kind Served", i, a)
		}
		if spoil != nil {
			spoil(last)
		}
	}
	defer last.Close()
	done := make(chan dispatch.Answer, 1)
	go func() { done <- f.serve("s3", "x") }()
	answer(last, "s3") // the last connection is intact, so it is reused
	if a := <-done; a.Kind != dispatch.Served || f.counters.Dialled.Load() != 3 || f.counters.Reused.Load() != 1 {
		t.Errorf("got answer %v; counters %s", a, f.core.CountersLine())
	}
}

// A worker may start to drain while the connection to it is being established. Nothing must be written then, and the
// job counts as never sent.
func TestNothingIsSentIfTheWorkerDrainsDuringConnect(t *testing.T) {
	w := testenv.Worker("s-00000001", address, "ready")
	n := testenv.Node(t, []config.Worker{w}, "")
	synctest.Test(t, func(t *testing.T) {
		written := false
		var f *fixture
		f = newFixture(t, n, func(context.Context, string) (net.Conn, error) {
			w.State = "draining"
			f.core.UpdateWorkers(decision.ListDelta, []config.Worker{w})
			time.Sleep(10 * time.Millisecond) // the handshake
			local, remote := net.Pipe()
			go func() {
				n, _ := remote.Read(make([]byte, 1))
				written = n > 0
			}()
			return local, nil
		})
		a := f.serve("d1", "done")
		f.transport.CloseIdle(w)
		synctest.Wait()
		if a.Kind != dispatch.Rejected || written || f.counters.Outcomes[decision.NeverSent].Load() != 1 {
			t.Errorf("got answer %v, written %v; counters %s", a, written, f.core.CountersLine())
		}
		f.stop()
	})
}
