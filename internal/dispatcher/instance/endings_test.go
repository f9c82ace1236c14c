// These tests force the instants at which something ends while something else
// is under way, over loopback sockets: a dispatcher's parts stand between a
// discovery, workers and clients that do nothing before the test's word. Each
// wait is for a sign that must come, and has a bound that only a failure meets.
package instance_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/clienthttp"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/discovery"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/testenv"
	"gladepick/internal/dispatcher/workerhttp"
)

const bound = 10 * time.Second // for what must come; a test that fails waits so long

// rig is a dispatcher on sockets.
type rig struct {
	t      *testing.T
	node   *config.Node
	core   *dispatch.Core
	floor  *workerhttp.Transport
	portal *clienthttp.Server
	watch  *discovery.Watcher
	here   string
	calls  chan *call    // that have come to discovery
	work   chan net.Conn // that have come to the workers, all at one address
	dials  chan *dial    // that the floor makes, where hold is set
	hold   bool
	deaf   bool                            // a dial does not hear that its time is over
	gate   func(net.Listener) net.Listener // stands before the portal's listener
}

// call is one call to discovery, unanswered.
type call struct {
	net.Conn
	target string
}

// dial is a connection that comes up at the test's word.
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

// set makes the surroundings and the parts; change has the last word on the node.
func set(t *testing.T, change func(*config.Node)) *rig {
	r := &rig{t: t, calls: make(chan *call, 64), work: make(chan net.Conn, 64), dials: make(chan *dial, 64)}
	discoveryListener, workers := listen(t), listen(t)
	var mu sync.Mutex
	var open []net.Conn
	keep := func(c net.Conn) { mu.Lock(); open = append(open, c); mu.Unlock() }
	t.Cleanup(func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			c.Close()
		}
	})
	go func() {
		for {
			c, err := discoveryListener.Accept()
			if err != nil {
				return
			}
			keep(c)
			go func() {
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					r.calls <- &call{c, req.RequestURI}
				}
			}()
		}
	}()
	go func() {
		for {
			c, err := workers.Accept()
			if err != nil {
				return
			}
			keep(c)
			r.work <- c
		}
	}()
	var known []config.Worker
	for i := range 3 { // one machine plays all: where a job goes does not matter, how often does
		known = append(known, testenv.Listing(fmt.Sprintf("s-0000000%d", i+1), workers.Addr().String(), "ready"))
	}
	r.node = testenv.Node(t, known, "")
	r.node.Discovery = discoveryListener.Addr().String()
	if change != nil {
		change(r.node)
	}
	counters := new(dispatch.Counters)
	r.floor, r.watch = workerhttp.New(r.node, counters), discovery.New(r.node)
	straight := r.floor.Dial
	r.floor.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if !r.hold {
			return straight(ctx, address)
		}
		c, err := straight(context.Background(), address)
		if err != nil {
			return nil, err
		}
		d := &dial{make(chan net.Conn), c}
		r.dials <- d
		if r.deaf {
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
	var err error
	if r.core, err = dispatch.New(r.node, counters, r.floor, nil, r.watch, nil); err != nil {
		t.Fatal(err)
	}
	r.watch.OnList = r.core.UpdateWorkers
	r.portal = clienthttp.New(r.node, r.core)
	return r
}

// start sets the parts to work.
func (r *rig) start() *rig {
	ctx, cancel := context.WithCancel(context.Background())
	l := listen(r.t)
	r.here = l.Addr().String()
	if r.gate != nil {
		l = r.gate(l)
	}
	go r.core.Run(ctx)
	go r.watch.Run(ctx)
	go r.portal.Serve(l)
	r.t.Cleanup(func() {
		cancel()
		over, end := context.WithCancel(context.Background())
		end()
		r.portal.Shutdown(over)
		for _, w := range r.node.Known.Workers {
			r.floor.CloseIdle(w)
		}
	})
	return r
}

// take waits for what must come.
func take[T any](t *testing.T, what string, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(bound):
		t.Fatalf("%s did not come", what)
	}
	return v
}

// until waits for a state that must be reached.
func (r *rig) until(what string, is func() bool) {
	r.t.Helper()
	for end := time.Now().Add(bound); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("%s was not reached: %s", what, r.core.CountersLine())
		}
	}
}

// count is a counter by its name.
func (r *rig) count(name string) int64 {
	for _, c := range r.core.Counts() {
		if c.Name == name {
			return c.Value
		}
	}
	r.t.Fatalf("no counter %s", name)
	return 0
}

// head begins a job's request with a body of so many bytes.
func head(id, class string, wait time.Duration, body int) string {
	key := ""
	if class == "enrol" {
		key = "Idempotency-Key: k-" + id + "\r\n"
	}
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: b\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tenant-Id: univ-gaspesie\r\n"+
		"X-Timeout: %.3f\r\n%sContent-Length: %d\r\n\r\n", class, id, class, wait.Seconds(), key, body)
}

func job(id string) string { return head(id, "seat-check", 5*time.Second, 2) + "go" }

// client is a connection of a client.
type client struct {
	*net.TCPConn
	in *bufio.Reader
	t  *testing.T
}

func (r *rig) client() *client {
	c, err := net.Dial("tcp", r.here)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return &client{c.(*net.TCPConn), bufio.NewReader(c), r.t}
}

func (c *client) says(text string) {
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Error(err)
	}
}

// hears reads one answer: its status and body, and whether it closes; or the error in its place.
func (c *client) hears() string {
	c.SetReadDeadline(time.Now().Add(bound))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	text := fmt.Sprint(resp.StatusCode, " ", strings.TrimSpace(string(body)))
	if resp.Close {
		text += " (closes)"
	}
	return text
}

// request reads the next request at a worker, and gives its id.
func (r *rig) request(c net.Conn) string {
	r.t.Helper()
	c.SetReadDeadline(time.Now().Add(bound))
	in := bufio.NewReaderSize(c, 256<<10)
	req, err := http.ReadRequest(in)
	if err != nil {
		r.t.Fatalf("a worker got no request: %v", err)
	}
	io.Copy(io.Discard, req.Body)
	if in.Buffered() > 0 {
		r.t.Errorf("more than one request has come on a connection")
	}
	return req.Header.Get("X-Request-ID")
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const lines = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func done(id string) string {
	return chunk(fmt.Sprintf(`{"id":%q,"from":"w","state":"done","result":"of %s"}`+"\n", id, id))
}

// serve answers a worker's request whole.
func serve(c net.Conn, id string) { io.WriteString(c, lines+done(id)+"0\r\n\r\n") }

// clean waits until a connection is in the pool again.
func (r *rig) clean(idle int) {
	r.t.Helper()
	r.until("an idle connection", func() bool { n, _ := r.floor.ConnectionCounts(); return n == idle })
}

// A client that leaves while the connection for its job comes up: nothing is written to it, whatever the class; the
// connection serves the next job.
func TestClientLeavesWhileAConnectionComesUp(t *testing.T) {
	for _, effect := range []decision.Idempotency{decision.Idempotent, decision.Deduplicated, decision.NotIdempotent} {
		r := set(t, func(n *config.Node) { n.Module.Classes[0].Idempotency, n.Limits.ConnectTimeout = effect, bound })
		r.hold = true
		r.start()
		c := r.client()
		text := job("g1")
		if effect == decision.Deduplicated {
			text = strings.Replace(text, "Content-Length", "Idempotency-Key: k\r\nContent-Length", 1)
		}
		c.says(text)
		d := take(t, "a connection", r.dials)
		c.Close()
		r.until("the client's leaving", func() bool { return r.count("left") == 1 })
		d.up <- d.real
		r.until("the attempt's end", func() bool { return r.count("moot") == 1 })
		r.clean(1)
		c = r.client()
		c.says(strings.Replace(text, "X-Request-ID: g1", "X-Request-ID: g2", 1))
		w := take(t, "the worker's side", r.work)
		if id := r.request(w); id != "g2" {
			t.Errorf("effect %v: %s was sent on after its client had left", effect, id)
		}
		serve(w, "g2")
		if got := c.hears(); got != "200 of g2" {
			t.Errorf("the next client hears %s", got)
		}
	}
}

// stuck is a connection to a worker that takes half of a request and no more.
type stuck struct {
	net.Conn
	full chan bool
	once sync.Once
	cut  chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	n, _ := s.Conn.Write(p[:len(p)/2])
	s.full <- true
	<-s.cut
	return n, os.ErrDeadlineExceeded
}

func (s *stuck) SetDeadline(at time.Time) error {
	if !at.IsZero() && at.Before(time.Now()) {
		s.once.Do(func() { close(s.cut) })
	}
	return s.Conn.SetDeadline(at)
}

// A client that leaves while its request is half written: the rest never goes out, and the connection is closed.
func TestClientLeavesWhileItsRequestIsHalfWritten(t *testing.T) {
	r := set(t, nil)
	r.hold = true
	r.start()
	c := r.client()
	c.says(job("h1"))
	d := take(t, "a connection", r.dials)
	s := &stuck{Conn: d.real, full: make(chan bool), cut: make(chan struct{})}
	d.up <- s
	take(t, "the first half", s.full)
	c.Close()
	select {
	case <-s.cut:
	case <-time.After(3 * time.Second): // the job itself has five
		t.Fatal("the write goes on after the client has left")
	}
	w := take(t, "the worker's side", r.work)
	w.SetReadDeadline(time.Now().Add(bound))
	if text, err := io.ReadAll(w); err != nil || strings.HasSuffix(string(text), "go") {
		t.Errorf("the worker got %q, %v", text, err)
	}
}

// inChunks words a job's body in chunks: where it ends the head does not say.
func inChunks(job string) string {
	return strings.Replace(strings.TrimSuffix(job, "go"), "Content-Length: 2", "Transfer-Encoding: chunked", 1) + chunk("go") + "0\r\n\r\n"
}

// The end of a client's connection shows also behind bytes that came before their time, however it is closed and whatever
// form the body has: the job is not sent a second time. One that has only ended its sending hears that nothing comes of it.
func TestClientLeavesBehindItsBytes(t *testing.T) {
	for _, more := range []string{"", "P", "POST /seat-check/x HT", job("b2"), strings.Repeat("x", 200<<10)} {
		for _, way := range [][2]string{{"close", job("b1")}, {"reset", job("b1")}, {"half", job("b1")},
			{"close", inChunks(job("b1"))}, {"reset", inChunks(job("b1"))}, {"half", inChunks(job("b1"))}} {
			how := way[0]
			r := set(t, nil).start()
			c := r.client()
			c.says(way[1])
			w := take(t, "the worker's side", r.work)
			r.request(w)
			c.says(more)
			switch how {
			case "reset":
				c.SetLinger(0)
				c.Close()
			case "half":
				c.CloseWrite()
			default:
				c.Close()
			}
			r.until(fmt.Sprintf("the client's leaving (%s behind %.20q)", how, more), func() bool { return r.count("left") == 1 })
			if how == "half" {
				if got := c.hears(); got != "502 the client has left (closes)" {
					t.Errorf("behind %.20q a client that has ended its sending hears %s", more, got)
				}
			}
			io.WriteString(w, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
			// It was whole, or broken off: which of the two the core saw first is no matter.
			r.until("the attempt's end", func() bool { return r.count("full")+r.count("cancelled") == 1 })
			if n := r.count("sent"); n != 1 || r.count("taken") != 1 {
				t.Errorf("%s behind %.20q: sent %d times; %s", how, more, n, r.core.CountersLine())
			}
		}
	}
}

// Two requests at once on a connection are answered in turn; what comes before its time is kept.
func TestRequestsBeforeTheirTime(t *testing.T) {
	r := set(t, nil).start()
	c := r.client()
	large := head("q2", "seat-check", 5*time.Second, 60<<10) + strings.Repeat("y", 60<<10)
	c.says(job("q1"))
	w := take(t, "the worker's side", r.work)
	r.request(w)
	c.says(large + "GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	serve(w, "q1")
	if got := c.hears(); got != "200 of q1" {
		t.Errorf("the first is answered %s", got)
	}
	if id := r.request(w); id != "q2" {
		t.Errorf("then %s came", id)
	}
	serve(w, "q2")
	if got := c.hears(); got != "200 of q2" {
		t.Errorf("the second is answered %s", got)
	}
	if got := c.hears(); got != "200 up" {
		t.Errorf("the third is answered %s", got)
	}
}

// A request whose client had left before anybody read it is not taken.
func TestClientLeftBeforeItWasRead(t *testing.T) {
	r := set(t, nil)
	open := make(chan struct{})
	r.gate = func(l net.Listener) net.Listener { return &doorstep{Listener: l, open: open} }
	r.start()
	c := r.client()
	c.says(job("u1"))
	c.Close() // the kernel has let it in, nobody else
	close(open)
	r.until("its end", func() bool { return r.count("left") == 1 })
	if r.count("taken") != 0 || r.count("sent") != 0 {
		t.Errorf("it was taken: %s", r.core.CountersLine())
	}
}

// doorstep is a listener that lets nobody in before the test's word, and whose connections show each read to the test.
type doorstep struct {
	net.Listener
	open   chan struct{} // nil: open
	stands chan struct{} // somebody waits to be let in
	asked  chan struct{} // SetDeadline was called
	once   sync.Once
	ready  sync.Once
	late   chan struct{}
	passed chan *shown
}

func (d *doorstep) Accept() (net.Conn, error) {
	if d.stands != nil {
		d.ready.Do(func() { close(d.stands) })
	}
	if d.open != nil {
		<-d.open
	}
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &shown{TCPConn: c.(*net.TCPConn), read: make(chan string), goOn: make(chan struct{}), late: d.late}
	if d.passed != nil {
		d.passed <- s
	}
	return s, nil
}

func (d *doorstep) SetDeadline(at time.Time) error {
	if d.asked != nil {
		d.once.Do(func() { close(d.asked) })
	}
	return d.Listener.(*net.TCPListener).SetDeadline(at)
}

// shown is a connection whose reads can be held between the socket and the reader.
type shown struct {
	*net.TCPConn
	mu    sync.Mutex
	held  bool
	late  chan struct{} // a read that begins ends with this, and its deadline is over
	read  chan string
	wrote chan bool // where it is set, a write that is out waits for the test before its writer knows
	goOn  chan struct{}
}

func (s *shown) hold(on bool) { s.mu.Lock(); s.held = on; s.mu.Unlock() }

func (s *shown) Write(p []byte) (int, error) {
	n, err := s.TCPConn.Write(p)
	s.mu.Lock()
	wrote := s.wrote
	s.mu.Unlock()
	if wrote != nil {
		wrote <- true
		<-s.goOn
	}
	return n, err
}

func (s *shown) Read(p []byte) (int, error) {
	if s.late != nil {
		<-s.late
		s.late = nil
		return 0, os.ErrDeadlineExceeded
	}
	n, err := s.TCPConn.Read(p)
	s.mu.Lock()
	held := s.held && n > 0
	s.mu.Unlock()
	if held { // it has been read, and its reader does not know yet
		s.read <- string(p[:n])
		<-s.goOn
	}
	return n, err
}

// kept makes a client's connection that has been served once and is idle.
func (r *rig) kept(passed chan *shown) (*client, *shown) {
	c := r.client()
	s := take(r.t, "a connection", passed)
	c.says("GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	if got := c.hears(); got != "200 up" {
		r.t.Fatalf("the first request is answered %s", got)
	}
	return c, s
}

// A request that was just read on an idle connection when that is to make room, or when the dispatcher ends, is answered.
func TestRequestReadAsItsConnectionIsToGo(t *testing.T) {
	for _, why := range []string{"room", "end"} {
		r := set(t, func(n *config.Node) { n.Limits.ClientConns, n.Limits.SpareClientConns = 4, 8 })
		passed, asked := make(chan *shown, 64), make(chan struct{})
		r.gate = func(l net.Listener) net.Listener { return &doorstep{Listener: l, passed: passed, asked: asked} }
		r.start()
		c, s := r.kept(passed)
		s.hold(true)
		c.says("GET /counters HTTP/1.1\r\nHost: b\r\n\r\n")
		take(t, "the request", s.read)
		over := make(chan error, 1)
		if why == "room" {
			for range 6 { // all others stay: they are newer
				r.kept(passed)
			}
		} else {
			go func() { over <- r.portal.Shutdown(context.Background()) }()
			take(t, "the end of the listener", asked)
			r.until("the closed listener", func() bool {
				c, err := net.Dial("tcp", r.here)
				if err == nil {
					c.Close()
				}
				return err != nil
			})
		}
		s.hold(false)
		close(s.goOn)
		if got := c.hears(); !strings.HasPrefix(got, "200 [{") {
			t.Errorf("%s: a request that was read is answered %s", why, got)
		}
		if why == "end" {
			if err := take(t, "the end", over); err != nil {
				t.Error(err)
			}
		}
	}
}

// On leaving, a client hears its answer and sends the next request before the dispatcher has closed: that one is not read
// any more, so the close crosses it and it comes again elsewhere. Read and dropped, it would be lost.
func TestRequestUponTheLastAnswer(t *testing.T) {
	r := set(t, nil)
	passed := make(chan *shown, 64)
	r.gate = func(l net.Listener) net.Listener { return &doorstep{Listener: l, passed: passed} }
	r.start()
	c, s := r.kept(passed)
	r.portal.Drain()
	c.says(job("y1"))
	w := take(t, "the worker's side", r.work)
	r.request(w)
	s.mu.Lock()
	s.wrote = make(chan bool)
	s.mu.Unlock()
	serve(w, "y1")
	take(t, "the answer", s.wrote)
	if got := c.hears(); got != "200 of y1 (closes)" {
		t.Errorf("the first is answered %s", got)
	}
	s.hold(true)
	c.says(job("y2"))
	select {
	case text := <-s.read: // at once, where it is read at all
		t.Errorf("%.30q was read on a connection that is to be closed", text)
	case <-time.After(300 * time.Millisecond):
	}
	close(s.goOn)
	if got := c.hears(); strings.HasPrefix(got, "200") || r.count("taken") != 1 {
		t.Errorf("the second is answered %s; %s", got, r.core.CountersLine())
	}
}

// A client's connection ends between two requests after a time, and under an answer that the client does not read.
func TestIdleAndDeafClients(t *testing.T) {
	r := set(t, func(n *config.Node) {
		n.Limits.ClientIdleTimeout, n.Limits.ReadTimeout = 150*time.Millisecond, 500*time.Millisecond
	})
	passed := make(chan *shown, 64)
	r.gate = func(l net.Listener) net.Listener { return &doorstep{Listener: l, passed: passed} }
	r.start()
	c, _ := r.kept(passed)
	if got := c.hears(); got != io.EOF.Error() && got != io.ErrUnexpectedEOF.Error() {
		t.Errorf("an idle client hears %s", got)
	}
	c = r.client()
	s := take(t, "a connection", passed)
	c.SetReadBuffer(1) // the kernel's least
	s.SetWriteBuffer(1)
	c.says(job("i1"))
	w := take(t, "the worker's side", r.work)
	r.request(w)
	io.WriteString(w, lines+chunk(`{"id":"i1","from":"w","state":"done","result":"`+strings.Repeat("r", 100<<10)+"\"}\n")+"0\r\n\r\n")
	r.until("the answer", func() bool { return r.count("served") == 1 })
	late, done := context.WithTimeout(context.Background(), bound)
	defer done()
	if err := r.portal.Shutdown(late); err != nil { // it waits for every connection's end
		t.Errorf("the answer that nobody reads has no end: %v", err)
	}
	c.SetReadBuffer(1 << 20)
	if got := c.hears(); !strings.Contains(got, io.ErrUnexpectedEOF.Error()) && !strings.Contains(got, "reset") {
		t.Errorf("a client that read too late hears %.60s", got)
	}
}

// A process that stood still finds a request and the end of its time at once: the request was there first.
func TestRequestThatMeetsItsTimeOut(t *testing.T) {
	r := set(t, nil)
	late := make(chan struct{})
	r.gate = func(l net.Listener) net.Listener { return &doorstep{Listener: l, late: late} }
	r.start()
	c := r.client()
	c.says("GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	close(late)
	if got := c.hears(); got != "200 up" {
		t.Errorf("it is answered %s", got)
	}
}

// Who is turned away while it still sends hears so, and is not reset under it.
func TestTurnedAwayWhileSending(t *testing.T) {
	r := set(t, func(n *config.Node) { n.Limits.ClientConns, n.Limits.LingerTimeout = 1, bound }).start()
	busy := r.client()
	busy.says(job("w1"))
	w := take(t, "the worker's side", r.work)
	r.request(w)
	c := r.client()
	c.says(head("w2", "seat-check", 5*time.Second, 60<<10))
	if got := c.hears(); got != "503 refused: no room for connections (closes)" {
		t.Errorf("it hears %s", got)
	}
	for range 60 {
		c.says(strings.Repeat("x", 1<<10)) // each of them reports an error
	}
	serve(w, "w1")
	if got := busy.hears(); got != "200 of w1" {
		t.Errorf("who was there hears %s", got)
	}
}

// What the kernel had let in when the listener is to close is served; so is a request whose bytes are there.
func TestLastConnectionsBeforeTheListenerCloses(t *testing.T) {
	r := set(t, func(n *config.Node) { n.Limits.LastAcceptWindow = 300 * time.Millisecond })
	open, asked, stands := make(chan struct{}), make(chan struct{}), make(chan struct{})
	r.gate = func(l net.Listener) net.Listener {
		return &doorstep{Listener: l, open: open, asked: asked, stands: stands}
	}
	r.start()
	take(t, "the portal at its listener", stands) // a farewell before that would find none
	c := r.client()
	c.says("GET /counters HTTP/1.1\r\nHost: b\r\n\r\n")
	over := make(chan error, 1)
	go func() { over <- r.portal.Shutdown(context.Background()) }()
	take(t, "the end of the listener", asked)
	close(open)
	if got := c.hears(); !strings.HasPrefix(got, "200 [{") || !strings.HasSuffix(got, "(closes)") {
		t.Errorf("it is answered %s", got)
	}
	if err := take(t, "the end", over); err != nil {
		t.Error(err)
	}
}

// On leaving, idle connections close, and open jobs keep theirs up to their answers.
func TestLeavingWithJobsAndIdleConnections(t *testing.T) {
	r := set(t, nil).start()
	idle, out := r.client(), r.client()
	idle.says("GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	if got := idle.hears(); got != "200 up" {
		t.Fatal(got)
	}
	out.says(job("l1"))
	w := take(t, "the worker's side", r.work)
	r.request(w)
	over := make(chan error, 1)
	go func() { over <- r.portal.Shutdown(context.Background()) }()
	if got := idle.hears(); got != io.EOF.Error() && got != io.ErrUnexpectedEOF.Error() {
		t.Errorf("an idle client hears %s", got)
	}
	select {
	case err := <-over:
		t.Errorf("the end has come with a job open: %v", err)
	default:
	}
	serve(w, "l1")
	if got := out.hears(); got != "200 of l1 (closes)" {
		t.Errorf("the job that was out is answered %s", got)
	}
	if err := take(t, "the end", over); err != nil {
		t.Error(err)
	}
}

// A job that comes on leaving does not wait beyond the moment at which the process is killed, whatever its client does.
func TestLastAnswerOnLeaving(t *testing.T) {
	r := set(t, func(n *config.Node) { n.Limits.DrainDelay, n.Limits.LastAnswerWindow = 0, 700*time.Millisecond }).start()
	c := r.client()
	r.portal.Drain()
	began := time.Now()
	c.says(head("s1", "seat-check", 300*time.Second, 2) + "go")
	r.request(take(t, "the worker's side", r.work)) // which never answers
	if got := c.hears(); got != "503 refused: try again later (closes)" || time.Since(began) > 5*time.Second {
		t.Errorf("it is answered %s after %v", got, time.Since(began))
	}
}

// The core stands still with a job in its mailbox, and the client leaves: it is not sent afterwards, though a worker is
// free and its connection up.
func TestClientLeavesWhileItsJobWaitsInTheMailbox(t *testing.T) {
	r := set(t, nil)
	in, goOn := make(chan bool), make(chan struct{})
	r.core.Observer = seen(func(m *dispatch.Event) {
		if m.Kind == dispatch.JobAnswered && m.Job.ID == "m1" {
			in <- true
			<-goOn
		}
	})
	r.start()
	first, second := r.client(), r.client()
	first.says(job("m1"))
	w := take(t, "the worker's side", r.work)
	r.request(w)
	serve(w, "m1")
	take(t, "the first job's end", in)
	second.says(job("m2"))
	r.until("the second job", func() bool { return r.count("taken") == 2 })
	second.CloseWrite()
	if got := second.hears(); got != "502 the client has left (closes)" { // so its leaving has been told to the core
		t.Errorf("the second client hears %s", got)
	}
	close(goOn)
	if got := first.hears(); got != "200 of m1" {
		t.Errorf("the first client hears %s", got)
	}
	r.until("its end", func() bool { return r.count("left") == 1 && r.count("open") == 0 })
	if r.count("sent") != 1 {
		t.Errorf("it was sent: %s", r.core.CountersLine())
	}
}

// A job's time ends while its connection comes up, while its request is half written, and while its last line is half
// read: it is answered then, and nothing more of it goes out. One that may have run is never called harmless where it may
// not run twice.
func TestTimeEndsOnTheWay(t *testing.T) {
	for _, effect := range []decision.Idempotency{decision.Idempotent, decision.NotIdempotent} {
		want := map[decision.Idempotency]string{decision.Idempotent: "503 refused: try again later", decision.NotIdempotent: "502 the job failed"}[effect]
		for _, at := range []string{"connecting", "writing", "reading"} {
			r := set(t, func(n *config.Node) { n.Module.Classes[0].Idempotency, n.Limits.ConnectTimeout = effect, bound })
			// Its time ends in the core and at the dial at one instant. The dial's word would be that it never ran, and a
			// refusal is right then for either class: so the core's alone is asked for here.
			r.hold, r.deaf = true, true
			r.start()
			c := r.client()
			c.says(head("d1", "seat-check", 400*time.Millisecond, 2) + "go")
			d := take(t, "a connection", r.dials)
			w := take(t, "the worker's side", r.work)
			switch at {
			case "writing":
				s := &stuck{Conn: d.real, full: make(chan bool), cut: make(chan struct{})}
				d.up <- s
				take(t, "the first half", s.full)
			case "reading":
				d.up <- d.real
				r.request(w)
				io.WriteString(w, lines+done("d1")[:30])
			}
			if got := c.hears(); got != want {
				t.Errorf("effect %v, %s: answered %s", effect, at, got)
			}
			if at == "connecting" { // it comes up now, and ends
				d.real.Close()
				d.up <- d.real
			}
			w.SetReadDeadline(time.Now().Add(bound))
			if text, err := io.ReadAll(w); err != nil || strings.HasSuffix(string(text), "go") || at == "connecting" && len(text) > 0 {
				t.Errorf("effect %v, %s: the worker got %q, %v", effect, at, text, err)
			}
			if r.count("sent") != 1 {
				t.Errorf("effect %v, %s: %s", effect, at, r.core.CountersLine())
			}
		}
	}
}

// A worker that is told off, or is missing from the whole list, while a connection to it comes up gets nothing, also when
// it is back under its name by then.
func TestWorkerLeavesWhileAConnectionComesUp(t *testing.T) {
	for _, back := range []bool{false, true} {
		for _, how := range []string{"drains", "is missing"} {
			r := set(t, func(n *config.Node) { n.Limits.ConnectTimeout = bound })
			r.hold = true
			r.start()
			c := r.client()
			c.says(job("v1"))
			d := take(t, "a connection", r.dials)
			w := take(t, "the worker's side", r.work)
			if how == "drains" {
				var off []config.Worker
				for _, w := range r.node.Known.Workers {
					w.State = "draining"
					off = append(off, w)
				}
				r.core.UpdateWorkers(decision.ListDelta, off)
				r.drains(3)
			} else {
				r.core.UpdateWorkers(decision.ListFull, nil)
				r.until("no ready worker", func() bool { return r.core.WorkerCounts()[decision.Ready] == 0 })
			}
			if back {
				r.core.UpdateWorkers(decision.ListFull, r.node.Known.Workers)
				r.until("three ready workers", func() bool { return r.core.WorkerCounts()[decision.Ready] == 3 })
			}
			d.up <- d.real
			r.until("the attempt's end", func() bool { return r.count("moot") == 1 })
			if back { // another one of them has it, on the connection that was kept
				if id := r.request(w); id != "v1" {
					t.Errorf("%s came", id)
				}
				serve(w, "v1")
			}
			got, want := c.hears(), "503 refused: try again later"
			if back {
				want = "200 of v1"
			}
			if got != want {
				t.Errorf("%s, back %v: answered %s; %s", how, back, got, r.core.CountersLine())
			}
		}
	}
}

// Full tables: no connection to a worker can be spared, more workers are listed than are kept. What was under way goes on,
// and who finds no room hears so at once.
func TestFullTables(t *testing.T) {
	r := set(t, func(n *config.Node) { n.Limits.WorkerConns, n.Limits.Workers = 1, 3 }).start()
	first, second := r.client(), r.client()
	first.says(job("f1"))
	w := take(t, "the worker's side", r.work)
	r.request(w)
	second.says(head("f2", "enrol", 5*time.Second, 2) + "go")
	if got := second.hears(); got != "503 refused: try again later" || r.count("dialled") != 1 {
		t.Errorf("with no connection to spare: %s; %s", got, r.core.CountersLine())
	}
	more := append([]config.Worker{testenv.Listing("s-0000000f", "127.0.0.1:9", "ready")}, r.node.Known.Workers...)
	r.core.UpdateWorkers(decision.ListDelta, more)
	r.until("the list", func() bool { return r.count("roster_changes") == 2 })
	if n := r.core.WorkerCounts(); n != [3]int{0, 3, 0} {
		t.Errorf("workers by state %v", n)
	}
	serve(w, "f1")
	if got := first.hears(); got != "200 of f1" {
		t.Errorf("the first hears %s", got)
	}
}

type seen func(*dispatch.Event)

func (s seen) Observe(m *dispatch.Event) { s(m) }

// A client leaves just when its attempt has ended and the next would begin: that one does not.
func TestClientLeavesBetweenTwoAttempts(t *testing.T) {
	r := set(t, nil)
	in, goOn := make(chan bool), make(chan struct{})
	r.core.Observer = seen(func(m *dispatch.Event) {
		if m.Kind == dispatch.AttemptEnded && m.Outcome == decision.Rejected {
			in <- true
			<-goOn
		}
	})
	r.start()
	c := r.client()
	c.says(job("t1"))
	w := take(t, "the worker's side", r.work)
	r.request(w)
	io.WriteString(w, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
	take(t, "the attempt's end", in)
	c.CloseWrite()
	if got := c.hears(); got != "502 the client has left (closes)" {
		t.Errorf("the client hears %s", got)
	}
	close(goOn)
	r.until("its end", func() bool { return r.count("open") == 0 && r.count("left")+r.count("refused") == 1 })
	if r.count("sent") != 1 {
		t.Errorf("it was sent again: %s", r.core.CountersLine())
	}
}

// The end of an answer's framing may never come: a result is given at once all the same.
func TestAnswerDoesNotWaitForItsEnd(t *testing.T) {
	for _, tail := range []string{"", "0", "0\r\n", "5\r\nab"} {
		r := set(t, func(n *config.Node) { n.Limits.TrailingTimeout = bound }).start()
		c := r.client()
		c.says(head("e1", "seat-check", 4*time.Second, 2) + "go")
		w := take(t, "the worker's side", r.work)
		r.request(w)
		began := time.Now()
		io.WriteString(w, lines+done("e1")+tail)
		if got := c.hears(); got != "200 of e1" || time.Since(began) > 3*time.Second {
			t.Errorf("with %q behind its last line a job is answered %s after %v", tail, got, time.Since(began))
		}
	}
}

// Chunks may be worded in any way that the protocol leaves free, and their connection serves again.
func TestFormsOfChunks(t *testing.T) {
	for _, text := range []string{
		done("f1") + "0\r\n\r\n",
		done("f1") + "000\r\n\r\n",
		done("f1") + "0;last=1\r\nX-Trailer: a\r\nX-Other: b\r\n\r\n",
		strings.Replace(done("f1"), "\r\n", " ; name=\"v\"\r\n", 1) + chunk("\n") + "0\r\n\r\n",
		chunk(`{"id":"f1",`) + chunk(`"state":"done","result":"of f1"`) + chunk("}") + "0\r\n\r\n",
	} {
		r := set(t, nil).start()
		c := r.client()
		c.says(job("f1"))
		w := take(t, "the worker's side", r.work)
		r.request(w)
		io.WriteString(w, lines+text)
		if got := c.hears(); got != "200 of f1" {
			t.Errorf("%q is answered %s", text, got)
		}
		r.clean(1)
	}
}

// Spoilt answers, for a class that may be repeated and one that may not: nothing goes to the wrong client, nothing that
// may have run is sent again where that is not allowed.
func TestSpoiltAnswers(t *testing.T) {
	for _, effect := range []decision.Idempotency{decision.Idempotent, decision.NotIdempotent} {
		for name, text := range map[string]string{
			"an answer that never ends":          lines + strings.Repeat(chunk(`{"id":"a2","from":"w","state":"running","share":0.5}`+"\n"), 8000),
			"a line that never ends":             lines + "fffffff\r\n" + strings.Repeat("x", 400<<10),
			"a head that never ends":             "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", 60000),
			"cut in the last line":               lines + `40` + "\r\n" + `{"id":"a2","state":"do`,
			"a chunk that cannot be read":        lines + "nine\r\n" + done("a2") + "0\r\n\r\n",
			"the wrong id":                       lines + done("a9") + "0\r\n\r\n",
			"the answer of the job before again": lines + done("a1") + "0\r\n\r\n",
		} {
			r := set(t, func(n *config.Node) { n.Module.Classes[0].Idempotency = effect }).start()
			c := r.client()
			c.says(job("a1"))
			w := take(t, "the worker's side", r.work)
			r.request(w)
			serve(w, "a1")
			if got := c.hears(); got != "200 of a1" {
				t.Fatalf("the first job: %s", got)
			}
			r.clean(1)
			c.says(job("a2"))
			if id := r.request(w); id != "a2" {
				t.Fatalf("the connection brought %s", id)
			}
			w.SetWriteDeadline(time.Now().Add(bound))
			io.WriteString(w, text) // cut short where the dispatcher closes first
			w.Close()
			if effect == decision.Idempotent {
				again := take(t, "another connection ("+name+")", r.work)
				if id := r.request(again); id != "a2" {
					t.Errorf("%s: then %s came", name, id)
				}
				serve(again, "a2")
				if got := c.hears(); got != "200 of a2" {
					t.Errorf("%s: answered %s", name, got)
				}
			} else if got := c.hears(); got != "502 the job failed" || r.count("sent") != 2 {
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
		r := set(t, func(n *config.Node) {
			n.Module.Classes[0].Idempotency, n.Limits.LateAnswerWindow = decision.NotIdempotent, bound
		}).start()
		c := r.client()
		c.says(job("n1"))
		w := take(t, "the worker's side", r.work)
		r.request(w)
		answer := "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"
		io.WriteString(w, answer)
		id := "n1" // goes to another worker at once, where it never ran
		if first != "" {
			if got := c.hears(); got != first {
				t.Errorf("%.3s: the first job is answered %s", status, got)
			}
			id = "n2"
			c.says(job(id))
		}
		other := take(t, status[:3]+": another connection", r.work)
		if got := r.request(other); got != id {
			t.Errorf("%.3s: then %s came", status, got)
		}
		io.WriteString(w, answer)
		serve(other, id)
		if got := c.hears(); got != "200 of "+id || r.count("sent") != 2 {
			t.Errorf("%.3s: the next is answered %s; %s", status, got, r.core.CountersLine())
		}
	}
}

// A result whose connection is reset right behind it counts.
func TestResetBehindAResult(t *testing.T) {
	r := set(t, func(n *config.Node) { n.Module.Classes[0].Idempotency = decision.NotIdempotent }).start()
	c := r.client()
	c.says(job("r1"))
	w := take(t, "the worker's side", r.work)
	r.request(w)
	io.WriteString(w, lines+done("r1"))
	w.(*net.TCPConn).SetLinger(0)
	w.Close()
	if got := c.hears(); got != "200 of r1" {
		t.Errorf("it is answered %s", got)
	}
}

const entry = `{"instanceId":"s-0000000%d","hostPort":%q,"zone":"montreal","machineType":"std-2c","lifecycle":%q,"weight":1}`

// list words a list of the three workers, the first so many draining, in one of the forms that JSON leaves free.
func (r *rig) list(form string, generation, draining int) string {
	var entries []string
	for i := range 3 {
		state := "ready"
		if i < draining {
			state = "draining"
		}
		entries = append(entries, fmt.Sprintf(entry, i+1, r.node.Known.Workers[0].Address, state))
	}
	text := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, generation, strings.Join(entries, ","))
	if form == "line" {
		return text + "\n"
	}
	text = strings.NewReplacer(`{`, "{\n\t", `,"`, ",\n\t\"", `[`, "[\n\t\t", `}`, "\n\t}").Replace(text)
	if form == "crlf" {
		text = strings.ReplaceAll(text, "\n", "\r\n")
	}
	return text + "\n\n"
}

const stream = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func (c *call) says(text string) { io.WriteString(c, chunk(text)) }

// drains waits until so many workers are known to drain.
func (r *rig) drains(n int) {
	r.t.Helper()
	r.until(fmt.Sprint(n, " draining workers"), func() bool { w := r.core.WorkerCounts(); return w[decision.Draining] == n && w[decision.Ready] == 3-n })
}

// Lists may be spread over lines: the first one, changes, after a move, and where one breaks off in the middle.
func TestListsOverManyLines(t *testing.T) {
	for _, form := range []string{"line", "indented", "crlf"} {
		r := set(t, nil).start()
		r.watch.Watch(true)
		c := take(t, "a call", r.calls)
		io.WriteString(c, stream)
		c.says(r.list(form, 8, 1))
		r.drains(1)
		text := r.list(form, 9, 2)
		for len(text) > 0 { // in pieces that end anywhere
			n := min(7, len(text))
			c.says(text[:n])
			text = text[n:]
		}
		r.drains(2)
		c.says("\n \n")
		c.says(r.list(form, 10, 0))
		r.drains(0)
		select {
		case c := <-r.calls:
			t.Fatalf("%s: another call, to %s", form, c.target)
		default:
		}
		other := listen(t)
		r.watch.SetAddress(other.Addr().String())
		o, err := other.Accept()
		if err != nil {
			t.Fatal(err)
		}
		moved := &call{Conn: o}
		http.ReadRequest(bufio.NewReader(o))
		io.WriteString(o, stream)
		moved.says(r.list(form, 3, 1))
		r.drains(1)
		text = r.list(form, 4, 2)
		moved.says(text[:strings.LastIndex(text, "s-00000003")]) // two whole entries, and no more
		o.Close()
		r.drains(2)
		if o, err = other.Accept(); err != nil {
			t.Fatal(err)
		}
		if req, err := http.ReadRequest(bufio.NewReader(o)); err != nil || !strings.HasSuffix(req.RequestURI, "&after=0") {
			t.Errorf("%s: after the break %v, %v", form, req, err)
		}
		o.Close()
	}
}

// A watch may fall silent at any of these places: the next call goes out, and a drain holds from its answer on.
func TestWatchFallsSilent(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for name, first := range map[string]func(*rig, *call){
			"never a byte":   func(*rig, *call) {},
			"after the head": func(_ *rig, c *call) { io.WriteString(c, stream) },
			"after a list":   func(r *rig, c *call) { io.WriteString(c, stream); c.says(r.list("line", 8, 0)); r.drains(0) },
			"after a blank":  func(_ *rig, c *call) { io.WriteString(c, stream); c.says("\n") },
			"in a list":      func(r *rig, c *call) { io.WriteString(c, stream); c.says(r.list("indented", 9, 1)[:40]) },
			"in a list's tail": func(r *rig, c *call) {
				io.WriteString(c, stream)
				c.says(strings.TrimRight(r.list("indented", 9, 1), "}\n\t "))
			},
		} {
			r := set(t, func(n *config.Node) {
				if pushed {
					n.Module.Discovery = decision.DiscoveryPush
				}
				n.Limits.DiscoveryCallTimeout, n.Limits.DiscoverySilenceTimeout, n.Limits.DiscoveryBackoff = 300*time.Millisecond, 300*time.Millisecond, 20*time.Millisecond
			}).start()
			r.watch.Watch(true)
			first(r, take(t, "a call", r.calls))
			c := take(t, name+": the next call", r.calls)
			io.WriteString(c, stream)
			c.says(r.list("line", 9, 1))
			r.drains(1)
		}
	}
}

// Discovery moves while a call has no answer, while its watch says nothing, and between two calls: the next call goes to
// the new address at once, whatever time was left, and the list there counts.
func TestDiscoveryMovesInAnyState(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for name, first := range map[string]func(*rig, *call){
			"a call is out":     func(*rig, *call) {},
			"a watch is silent": func(r *rig, c *call) { io.WriteString(c, stream); c.says(r.list("line", 8, 2)); r.drains(2) },
			"between two calls": func(r *rig, c *call) {
				c.Close()
				r.until("the failed call", func() bool { return r.count("roster_failed") == 1 })
			},
		} {
			r := set(t, func(n *config.Node) {
				if pushed {
					n.Module.Discovery = decision.DiscoveryPush
				}
				n.Limits.DiscoveryCallTimeout, n.Limits.DiscoverySilenceTimeout, n.Limits.DiscoveryBackoff = time.Hour, time.Hour, time.Hour
			}).start()
			r.watch.Watch(true)
			first(r, take(t, "a call", r.calls))
			other := listen(t)
			r.watch.SetAddress(other.Addr().String())
			other.(*net.TCPListener).SetDeadline(time.Now().Add(bound))
			o, err := other.Accept()
			if err != nil {
				t.Fatalf("%s, pushed %v: no call to the new address: %v", name, pushed, err)
			}
			defer o.Close()
			if req, err := http.ReadRequest(bufio.NewReader(o)); err != nil || !strings.HasSuffix(req.RequestURI, "&after=0") {
				t.Errorf("%s: the first call there is %v, %v", name, req, err)
			}
			moved := &call{Conn: o}
			io.WriteString(o, stream)
			moved.says(r.list("line", 3, 1))
			r.drains(1)
		}
	}
}

// Bad input: entries that cannot be read, foreign lists, torn ones, huge ones. What is readable of ours counts, who
// leaves is not sent to, everybody else stays, and the watch goes on or is opened anew.
func TestFaultyLists(t *testing.T) {
	for _, k := range []struct {
		name, text string
		want       [3]int // gone, ready, draining
		again      bool   // the watch is opened anew
	}{
		{"an entry of other types", `{"generation":9,"instances":[{"instanceId":"s-00000001","weight":"heavy","lifecycle":"draining"}]}`, [3]int{0, 2, 0}, false},
		{"an entry without a name", `{"generation":9,"instances":[{"hostPort":7},7,null]}`, [3]int{0, 3, 0}, false},
		{"a stranger's list with one of ours that drains", `{"generation":99,"reset":true,"instances":[{"instanceId":"s-00000002","lifecycle":"draining"},{"instanceId":"x-1","zone":"mars","machineType":"rover","lifecycle":"ready"}]}`, [3]int{0, 2, 0}, false},
		{"no object", `[1,2]`, [3]int{0, 3, 0}, true},
		{"no JSON", `<html>`, [3]int{0, 3, 0}, true},
		{"a huge one", `{"generation":9,"more":"` + strings.Repeat("x", 300<<10), [3]int{0, 3, 0}, true},
	} {
		r := set(t, func(n *config.Node) { n.Limits.WorkerListBytes = 256 << 10 }).start()
		r.watch.Watch(true)
		c := take(t, "a call", r.calls)
		io.WriteString(c, stream)
		c.says(r.list("line", 8, 0))
		r.until("the list", func() bool { return r.count("roster_changes") == 2 })
		c.says(k.text + "\n")
		if k.again {
			take(t, k.name+": another call", r.calls)
		} else {
			c.says(`{"generation":9,"instances":[]}` + "\n")
			changes := int64(4)
			r.until(k.name+": the lists", func() bool { return r.count("roster_changes") == changes })
		}
		if w := r.core.WorkerCounts(); w != k.want {
			t.Errorf("%s: workers by state %v, not %v", k.name, w, k.want)
		}
	}
}
