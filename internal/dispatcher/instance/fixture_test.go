// These tests force the instants at which something ends while something else is under way, over loopback sockets: a
// dispatcher's parts stand between a discovery, workers and clients that do nothing before the test allows it. Each wait is
// for a sign that must come, and has a bound that only a failure meets.
package instance_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gladepick/internal/dispatcher/clienthttp"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/discovery"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/testenv"
	"gladepick/internal/dispatcher/workerhttp"
)

const bound = 10 * time.Second // for what must come; a test that fails waits so long

// fixture is a dispatcher on sockets.
type fixture struct {
	t              *testing.T
	node           *config.Node
	core           *dispatch.Core
	transport      *workerhttp.Transport
	server         *clienthttp.Server
	watcher        *discovery.Watcher
	address        string        // the clients'
	calls          chan *call    // that have come to discovery
	workerConns    chan net.Conn // that have come to the workers, all at one address
	dials          chan *dial    // that the transport makes, where holdDials is set
	holdDials      bool
	ignoreTimeouts bool                            // a dial does not end with its time
	wrapListener   func(net.Listener) net.Listener // stands before the server's listener

	mu    sync.Mutex
	conns []net.Conn // to close at the end
}

// call is one call to discovery, unanswered.
type call struct {
	net.Conn
	target string
}

// dial is a connection that comes up when the test allows it.
type dial struct {
	up   chan net.Conn
	real net.Conn
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// newFixture makes the surroundings and the parts; change has the last word on the node.
func newFixture(t *testing.T, change func(*config.Node)) *fixture {
	r := &fixture{t: t, calls: make(chan *call, 64), workerConns: make(chan net.Conn, 64), dials: make(chan *dial, 64)}
	discoveryListener, workers := listen(t), listen(t)
	t.Cleanup(r.closeConns)
	go r.acceptCalls(discoveryListener)
	go r.acceptWorkerConns(workers)
	var known []config.Worker
	for i := range 3 { // one machine plays all: where a job goes does not matter, how often does
		known = append(known, testenv.Worker(fmt.Sprintf("s-0000000%d", i+1), workers.Addr().String(), "ready"))
	}
	r.node = testenv.Node(t, known, "")
	r.node.Discovery = discoveryListener.Addr().String()
	if change != nil {
		change(r.node)
	}
	counters := new(dispatch.Counters)
	r.transport, r.watcher = workerhttp.New(r.node, counters), discovery.New(r.node)
	r.transport.Dial = r.gatedDial(r.transport.Dial)
	var err error
	if r.core, err = dispatch.New(r.node, counters, r.transport, nil, r.watcher, nil); err != nil {
		t.Fatal(err)
	}
	r.watcher.OnList = r.core.UpdateWorkers
	r.server = clienthttp.New(r.node, r.core)
	return r
}

func (r *fixture) closeAtEnd(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
}

func (r *fixture) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.Close()
	}
}

// acceptCalls shows the test each call to discovery once its request is read.
func (r *fixture) acceptCalls(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.closeAtEnd(c)
		go func() {
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				r.calls <- &call{c, req.RequestURI}
			}
		}()
	}
}

// acceptWorkerConns shows the test each connection to a worker.
func (r *fixture) acceptWorkerConns(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.closeAtEnd(c)
		r.workerConns <- c
	}
}

// gatedDial wraps the transport's Dial: where holdDials is set, the connection comes up when the test allows it.
func (r *fixture) gatedDial(direct func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if !r.holdDials {
			return direct(ctx, address)
		}
		c, err := direct(context.Background(), address)
		if err != nil {
			return nil, err
		}
		d := &dial{make(chan net.Conn), c}
		r.dials <- d
		if r.ignoreTimeouts {
			return <-d.up, nil
		}
		select {
		case c := <-d.up:
			return c, nil
		case <-ctx.Done():
			c.Close()
			return nil, ctx.Err()
		}
	}
}

// start sets the parts to work until the test ends.
func (r *fixture) start() *fixture {
	ctx, cancel := context.WithCancel(context.Background())
	l := listen(r.t)
	r.address = l.Addr().String()
	if r.wrapListener != nil {
		l = r.wrapListener(l)
	}
	go r.core.Run(ctx)
	go r.watcher.Run(ctx)
	go r.server.Serve(l)
	r.t.Cleanup(func() {
		cancel()
		over, end := context.WithCancel(context.Background())
		end()
		r.server.Shutdown(over)
		for _, w := range r.node.Known.Workers {
			r.transport.CloseIdle(w)
		}
	})
	return r
}

// receive waits for what must come.
func receive[T any](t *testing.T, what string, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(bound):
		t.Fatalf("%s did not come", what)
	}
	return v
}

// waitUntil waits for a state that must be reached.
func (r *fixture) waitUntil(what string, is func() bool) {
	r.t.Helper()
	for end := time.Now().Add(bound); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%s was not reached: %s", what, r.core.CountersLine())
		}
	}
}

// counter returns a counter by its name.
func (r *fixture) counter(name string) int64 {
	for _, c := range r.core.Counts() {
		if c.Name == name {
			return c.Value
		}
	}
	r.t.Fatalf("no counter %s", name)
	return 0
}

// observerFunc is a dispatch.Observer.
type observerFunc func(*dispatch.Event)

func (s observerFunc) Observe(m *dispatch.Event) { s(m) }
