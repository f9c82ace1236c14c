// These tests model what a connection to a worker can be (none, in use, idle, closed by the worker, with bytes pending)
// and check random steps against the model.
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

func init() { flag.Set("rapid.seed", "20261201") } // the same steps in every run

// noWatch stands in for the watch on the list of workers.
type noWatch struct{}

func (noWatch) Watch(bool) {}

const address = "127.0.1.0:5000"

// fixture is a transport under a core that has one worker, so that each job is one send to it or none.
type fixture struct {
	transport *workerhttp.Transport
	core      *dispatch.Core
	counters  *dispatch.Counters
	stop      func()
}

func newFixture(t testing.TB, n *config.Node, dial func(context.Context, string) (net.Conn, error)) *fixture {
	b := &fixture{counters: new(dispatch.Counters)}
	b.transport = workerhttp.New(n, b.counters)
	if dial != nil {
		b.transport.Dial = dial
	}
	var err error
	if b.core, err = dispatch.New(n, b.counters, b.transport, nil, noWatch{}, nil); err != nil {
		t.Fatal(err)
	}
	var ctx context.Context
	ctx, b.stop = context.WithCancel(context.Background())
	go b.core.Run(ctx)
	return b
}

func (b *fixture) serve(id, script string) dispatch.Answer {
	answers := make(chan dispatch.Answer, 1)
	b.core.Submit(&dispatch.Job{ID: id, Target: "/seat-check", Body: []byte(script), Timeout: 2 * time.Second, Slots: 1,
		Reply: func(a dispatch.Answer) { answers <- a }})
	return <-answers
}

// expectation is what an answer of a worker comes to.
type expectation struct {
	answer  dispatch.AnswerKind
	outcome decision.Outcome
	pooled  bool // the connection can serve again
}

// expectations are by the scripts that testenv's workers know.
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

// steps are the scripts, and what else can happen to a connection.
var steps = []string{"done", "done-odd", "failed", "returned", "503", "500", "503-maybe", "break",
	"truncated", "foreign", "lost", "silent", "wait", "close"}

// connectionModel is what must be true of the one connection to a worker.
type connectionModel struct {
	*fixture
	t       *rapid.T
	network *testenv.Network
	workers *testenv.WorkerGroup
	idle    bool // there is one in the pool
	dials   int
}

func TestConnectionStates(t *testing.T) {
	n := testenv.Node(t, []config.Worker{testenv.Worker("s-00000001", address, "ready")}, "")
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) { // a bubble has no deadline to ask for
			m := &connectionModel{t: rt, network: &testenv.Network{}, workers: &testenv.WorkerGroup{}}
			l := m.network.Listen(address)
			go m.workers.Worker(l, "s-00000001")
			m.fixture = newFixture(t, n, m.network.Dial)
			for i := range rapid.IntRange(1, 12).Draw(rt, "steps") {
				name := rapid.SampledFrom(steps).Draw(rt, "word")
				m.step(name, fmt.Sprint("c", i), n.Limits.WorkerIdleTimeout)
				synctest.Wait()
				m.check(name)
				time.Sleep(1200 * time.Millisecond) // a trial of an unhealthy worker may come
				have, _ := m.transport.ConnectionCounts()
				m.idle = m.idle && have == 1
			}
			m.transport.CloseIdle(config.Worker{Address: address})
			m.stop()
			l.Close()
			time.Sleep(time.Minute)
		})
	})
}

// step does one step on both sides: at the transport and in the model.
func (m *connectionModel) step(name, id string, idleTimeout time.Duration) {
	switch name {
	case "wait":
		ms := time.Duration(rapid.IntRange(1, 6000).Draw(m.t, "ms")) * time.Millisecond
		time.Sleep(ms)
		m.idle = m.idle && ms < idleTimeout
	case "close":
		m.transport.CloseIdle(config.Worker{Address: address})
		m.idle = false
	default:
		m.serveStep(name, id, expectations[name])
	}
}

// serveStep has a job served by a script.
func (m *connectionModel) serveStep(name, id string, want expectation) {
	before := m.counters.Outcomes[want.outcome].Load()
	a := m.serve(id, name)
	synctest.Wait()
	sent := len(m.workers.Sent(id))
	if sent == 0 { // the module held it back: nothing may have touched a connection
		return
	}
	if !m.idle {
		m.dials++
	}
	m.idle = want.pooled
	if sent != 1 || a.Kind != want.answer || m.counters.Outcomes[want.outcome].Load() != before+1 {
		m.t.Errorf("%s: answer %v after %d sends; %s", name, a, sent, m.core.CountersLine())
	}
	if a.Kind == dispatch.Served && string(a.Result) != testenv.Result(id) {
		m.t.Errorf("%s: the result is %q", name, a.Result)
	}
}

// check compares the transport with the model.
func (m *connectionModel) check(after string) {
	want := 0
	if m.idle {
		want = 1
	}
	if have, open := m.transport.ConnectionCounts(); have != want || open != want || m.network.Dials != m.dials {
		m.t.Fatalf("after %s: %d idle of %d open, %d dialled; the model has %d and %d", after, have, open, m.network.Dials, want, m.dials)
	}
}

// A connection that never comes up, or is refused, proves that nothing ran.
func TestNoConnection(t *testing.T) {
	n := testenv.Node(t, []config.Worker{testenv.Worker("s-00000001", address, "ready")}, "")
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			network := &testenv.Network{Silent: map[string]bool{address: silent}}
			b := newFixture(t, n, network.Dial)
			began := time.Now()
			a := b.serve("n1", "done")
			if a.Kind != dispatch.Rejected || b.counters.Outcomes[decision.ConnectFailed].Load() != 1 {
				t.Errorf("silent %v: %v; %s", silent, a, b.core.CountersLine())
			}
			if took := time.Since(began); silent && took != n.Limits.ConnectTimeout {
				t.Errorf("it took %v", took)
			}
			if _, open := b.transport.ConnectionCounts(); open != 0 {
				t.Errorf("%d connections count as open", open)
			}
			b.stop()
		})
	}
}

// The request breaks before its last byte: it never ran.
func TestBreakWhileWriting(t *testing.T) {
	n := testenv.Node(t, []config.Worker{testenv.Worker("s-00000001", address, "ready")}, "")
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t, n, func(context.Context, string) (net.Conn, error) {
			here, there := net.Pipe()
			go func() { io.ReadFull(there, make([]byte, 40)); there.Close() }()
			return here, nil
		})
		if a := b.serve("n1", "done"); a.Kind != dispatch.Rejected || b.counters.Outcomes[decision.ConnectFailed].Load() != 1 {
			t.Errorf("%v; %s", a, b.core.CountersLine())
		}
		b.stop()
	})
}

// On sockets: a pooled connection that was closed, or has bytes pending, is seen before anything is written to it.
func TestStaleConnectionsAreNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n := testenv.Node(t, []config.Worker{testenv.Worker("s-00000001", l.Addr().String(), "ready")}, "")
	b := newFixture(t, n, nil)
	defer b.stop()
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
			t.Errorf("%s: the connection brought %v, %v", id, r, err)
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
		go func() { done <- b.serve(fmt.Sprint("s", i), "x") }()
		select {
		case last = <-conns: // each of them needs a new one
		case a := <-done:
			t.Fatalf("job %d: %v without a connection of its own; %s", i, a, b.core.CountersLine())
		}
		answer(last, fmt.Sprint("s", i))
		if a := <-done; a.Kind != dispatch.Served {
			t.Errorf("job %d: %v", i, a)
		}
		if spoil != nil {
			spoil(last)
		}
	}
	defer last.Close()
	done := make(chan dispatch.Answer, 1)
	go func() { done <- b.serve("s3", "x") }()
	answer(last, "s3") // this one stood as it should: it serves again
	if a := <-done; a.Kind != dispatch.Served || b.counters.Dialled.Load() != 3 || b.counters.Reused.Load() != 1 {
		t.Errorf("%v; %s", a, b.core.CountersLine())
	}
}

// A worker may begin to leave while the connection to it comes up: nothing is written to it then, and the job never ran.
func TestDrainWhileConnecting(t *testing.T) {
	w := testenv.Worker("s-00000001", address, "ready")
	n := testenv.Node(t, []config.Worker{w}, "")
	synctest.Test(t, func(t *testing.T) {
		written := false
		var b *fixture
		b = newFixture(t, n, func(context.Context, string) (net.Conn, error) {
			w.State = "draining"
			b.core.UpdateWorkers(decision.ListDelta, []config.Worker{w})
			time.Sleep(10 * time.Millisecond) // the handshake
			here, there := net.Pipe()
			go func() {
				n, _ := there.Read(make([]byte, 1))
				written = n > 0
			}()
			return here, nil
		})
		a := b.serve("d1", "done")
		b.transport.CloseIdle(w)
		synctest.Wait()
		if a.Kind != dispatch.Rejected || written || b.counters.Outcomes[decision.NeverSent].Load() != 1 {
			t.Errorf("%v, written %v; %s", a, written, b.core.CountersLine())
		}
		b.stop()
	})
}
