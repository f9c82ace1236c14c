// These tests force races over loopback sockets: something ends while something else is in progress. The components of
// a dispatcher run between a discovery, workers and clients that act only when the test says so. Each wait is for an
// event that must occur; it reaches its limit of maxWait only if the test fails.
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

const maxWait = 10 * time.Second // for an event that must occur

// fixture is a dispatcher on loopback sockets, with its discovery and its workers.
type fixture struct {
	t              *testing.T
	node           *config.Node
	core           *dispatch.Core
	transport      *workerhttp.Transport
	server         *clienthttp.Server
	watcher        *discovery.Watcher
	address        string              // at which clients connect
	calls          chan *discoveryCall // received by discovery
	workerConns    chan net.Conn       // accepted by the workers, which share one address
	dials          chan *pendingDial   // started by the transport, if holdDials is set
	holdDials      bool
	ignoreTimeouts bool                            // a held dial does not end with its context
	wrapListener   func(net.Listener) net.Listener // wraps the server's listener

	mu    sync.Mutex
	conns []net.Conn // closed when the test ends
}

// discoveryCall is a call to discovery that has no response yet.
type discoveryCall struct {
	net.Conn
	target string
}

// pendingDial is a dial that returns the connection which the test sends on release.
type pendingDial struct {
	release chan net.Conn
	real    net.Conn
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// newFixture creates the discovery, the workers and the components. change, if not nil, adjusts the settings first.
func newFixture(t *testing.T, change func(*config.Node)) *fixture {
	f := &fixture{t: t, calls: make(chan *discoveryCall, 64), workerConns: make(chan net.Conn, 64), dials: make(chan *pendingDial, 64)}
	discoveryListener, workers := listen(t), listen(t)
	t.Cleanup(f.closeConns)
	go f.acceptCalls(discoveryListener)
	go f.acceptWorkerConns(workers)
	var known []config.Worker
	for i := range 3 { // all share one address: the tests check how often a job is sent, not to which worker
		known = append(known, testenv.Worker(fmt.Sprintf("s-0000000%d", i+1), workers.Addr().String(), "ready"))
	}
	f.node = testenv.Node(t, known, "")
	f.node.Discovery = discoveryListener.Addr().String()
	if change != nil {
		change(f.node)
	}
	counters := new(dispatch.Counters)
	f.transport, f.watcher = workerhttp.New(f.node, counters), discovery.New(f.node)
	f.transport.Dial = f.gatedDial(f.transport.Dial)
	var err error
	if f.core, err = dispatch.New(f.node, counters, f.transport, nil, f.watcher, nil); err != nil {
		t.Fatal(err)
	}
	f.watcher.OnList = f.core.UpdateWorkers
	f.server = clienthttp.New(f.node, f.core)
	return f
}

func (f *fixture) closeAtEnd(conn net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = append(f.conns, conn)
}

func (f *fixture) closeConns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		conn.Close()
	}
}

// acceptCalls sends each call to discovery on f.calls once its request is read.
func (f *fixture) acceptCalls(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		f.closeAtEnd(conn)
		go func() {
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				f.calls <- &discoveryCall{conn, req.RequestURI}
			}
		}()
	}
}

// acceptWorkerConns sends each connection to a worker on f.workerConns.
func (f *fixture) acceptWorkerConns(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		f.closeAtEnd(conn)
		f.workerConns <- conn
	}
}

// gatedDial wraps the transport's Dial. If holdDials is set, a dial returns when the test releases it.
func (f *fixture) gatedDial(direct func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if !f.holdDials {
			return direct(ctx, address)
		}
		conn, err := direct(context.Background(), address)
		if err != nil {
			return nil, err
		}
		pending := &pendingDial{make(chan net.Conn), conn}
		f.dials <- pending
		if f.ignoreTimeouts {
			return <-pending.release, nil
		}
		select {
		case conn := <-pending.release:
			return conn, nil
		case <-ctx.Done():
			conn.Close()
			return nil, ctx.Err()
		}
	}
}

// start runs the components until the test ends.
func (f *fixture) start() *fixture {
	ctx, cancel := context.WithCancel(context.Background())
	listener := listen(f.t)
	f.address = listener.Addr().String()
	if f.wrapListener != nil {
		listener = f.wrapListener(listener)
	}
	go f.core.Run(ctx)
	go f.watcher.Run(ctx)
	go f.server.Serve(listener)
	f.t.Cleanup(func() {
		cancel()
		canceled, cancelNow := context.WithCancel(context.Background())
		cancelNow()
		f.server.Shutdown(canceled)
		for _, worker := range f.node.KnownWorkers.Workers {
			f.transport.CloseIdle(worker)
		}
	})
	return f
}

// receive returns the next value of a channel. It fails the test if none arrives within maxWait.
func receive[T any](t *testing.T, what string, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(maxWait):
		t.Fatalf("%s did not arrive", what)
	}
	return v
}

// waitUntil waits until reached returns true. It fails the test after maxWait.
func (f *fixture) waitUntil(state string, reached func() bool) {
	f.t.Helper()
	for end := time.Now().Add(maxWait); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s was not reached: %s", state, f.core.CountersLine())
		}
	}
}

// counter returns the value of one of the core's counters.
func (f *fixture) counter(name string) int64 {
	for _, c := range f.core.Counts() {
		if c.Name == name {
			return c.Value
		}
	}
	f.t.Fatalf("there is no counter %s", name)
	return 0
}

// observerFunc is a function that implements dispatch.Observer.
type observerFunc func(*dispatch.Event)

func (o observerFunc) Observe(event *dispatch.Event) { o(event) }
