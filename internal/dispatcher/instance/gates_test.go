package instance_test

import (
	"net"
	"os"
	"sync"
	"time"
)

// halfWriter is a connection to a worker that takes half of a request and no more.
type halfWriter struct {
	net.Conn
	halfWritten chan bool
	once        sync.Once
	broken      chan struct{}
}

func (s *halfWriter) Write(p []byte) (int, error) {
	n, _ := s.Conn.Write(p[:len(p)/2])
	s.halfWritten <- true
	<-s.broken
	return n, os.ErrDeadlineExceeded
}

func (s *halfWriter) SetDeadline(at time.Time) error {
	if !at.IsZero() && at.Before(time.Now()) {
		s.once.Do(func() { close(s.broken) })
	}
	return s.Conn.SetDeadline(at)
}

// gatedListener is a listener that accepts no connection before the test allows it, and whose connections show each read to the test.
type gatedListener struct {
	net.Listener
	gate          chan struct{} // nil: open
	accepting     chan struct{} // somebody waits to be let in
	deadlineSet   chan struct{} // SetDeadline was called
	deadlineOnce  sync.Once
	acceptingOnce sync.Once
	readsExpired  chan struct{}
	accepted      chan *gatedConn
}

func (d *gatedListener) Accept() (net.Conn, error) {
	if d.accepting != nil {
		d.acceptingOnce.Do(func() { close(d.accepting) })
	}
	if d.gate != nil {
		<-d.gate
	}
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := &gatedConn{TCPConn: c.(*net.TCPConn), readHeld: make(chan string), proceed: make(chan struct{}), readsExpired: d.readsExpired}
	if d.accepted != nil {
		d.accepted <- s
	}
	return s, nil
}

func (d *gatedListener) SetDeadline(at time.Time) error {
	if d.deadlineSet != nil {
		d.deadlineOnce.Do(func() { close(d.deadlineSet) })
	}
	return d.Listener.(*net.TCPListener).SetDeadline(at)
}

// gatedConn is a connection whose reads can be held between the socket and the reader.
type gatedConn struct {
	*net.TCPConn
	mu           sync.Mutex
	readsHeld    bool
	readsExpired chan struct{} // a read that begins ends with this, and its deadline is over
	readHeld     chan string
	writeHeld    chan bool // where it is set, a write that is out waits for the test before its writer knows
	proceed      chan struct{}
}

func (s *gatedConn) holdReads(on bool) { s.mu.Lock(); s.readsHeld = on; s.mu.Unlock() }

func (s *gatedConn) Write(p []byte) (int, error) {
	n, err := s.TCPConn.Write(p)
	s.mu.Lock()
	wrote := s.writeHeld
	s.mu.Unlock()
	if wrote != nil {
		wrote <- true
		<-s.proceed
	}
	return n, err
}

func (s *gatedConn) Read(p []byte) (int, error) {
	if s.readsExpired != nil {
		<-s.readsExpired
		s.readsExpired = nil
		return 0, os.ErrDeadlineExceeded
	}
	n, err := s.TCPConn.Read(p)
	s.mu.Lock()
	held := s.readsHeld && n > 0
	s.mu.Unlock()
	if held { // it has been read, and its reader does not know yet
		s.readHeld <- string(p[:n])
		<-s.proceed
	}
	return n, err
}

// idleClient makes a client's connection that has been served once and is idle.
func (r *fixture) idleClient(passed chan *gatedConn) (*client, *gatedConn) {
	c := r.newClient()
	s := receive(r.t, "a connection", passed)
	c.send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	if got := c.readAnswer(); got != "200 up" {
		r.t.Fatalf("the first request is answered %s", got)
	}
	return c, s
}
