package instance_test

import (
	"net"
	"os"
	"sync"
	"time"
)

// halfWriter is a connection to a worker that writes half of a request and blocks until its deadline is in the past.
type halfWriter struct {
	net.Conn
	halfWritten chan bool
	once        sync.Once
	broken      chan struct{}
}

func (w *halfWriter) Write(p []byte) (int, error) {
	n, _ := w.Conn.Write(p[:len(p)/2])
	w.halfWritten <- true
	<-w.broken
	return n, os.ErrDeadlineExceeded
}

func (w *halfWriter) SetDeadline(at time.Time) error {
	if !at.IsZero() && at.Before(time.Now()) {
		w.once.Do(func() { close(w.broken) })
	}
	return w.Conn.SetDeadline(at)
}

// gatedListener is a listener that accepts no connection before the test opens its gate. Its connections are
// gatedConns.
type gatedListener struct {
	net.Listener
	gate          chan struct{} // closed to open the gate; nil: always open
	accepting     chan struct{} // closed when Accept is first called
	deadlineSet   chan struct{} // closed when SetDeadline is first called
	deadlineOnce  sync.Once
	acceptingOnce sync.Once
	readsExpired  chan struct{}   // see gatedConn
	accepted      chan *gatedConn // receives each accepted connection
}

func (l *gatedListener) Accept() (net.Conn, error) {
	if l.accepting != nil {
		l.acceptingOnce.Do(func() { close(l.accepting) })
	}
	if l.gate != nil {
		<-l.gate
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	gated := &gatedConn{TCPConn: conn.(*net.TCPConn), readHeld: make(chan string), proceed: make(chan struct{}), readsExpired: l.readsExpired}
	if l.accepted != nil {
		l.accepted <- gated
	}
	return gated, nil
}

func (l *gatedListener) SetDeadline(at time.Time) error {
	if l.deadlineSet != nil {
		l.deadlineOnce.Do(func() { close(l.deadlineSet) })
	}
	return l.Listener.(*net.TCPListener).SetDeadline(at)
}

// gatedConn is a connection whose reads and writes can be held after the socket has finished them.
type gatedConn struct {
	*net.TCPConn
	mu           sync.Mutex
	readsHeld    bool
	readsExpired chan struct{} // if set, the next read waits for this and then exceeds its deadline
	readHeld     chan string   // receives the text of a held read
	writeHeld    chan bool     // if set, receives true after each write, which then waits for proceed
	proceed      chan struct{} // releases held reads and writes
}

func (c *gatedConn) holdReads(on bool) { c.mu.Lock(); c.readsHeld = on; c.mu.Unlock() }

func (c *gatedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.mu.Lock()
	held := c.writeHeld
	c.mu.Unlock()
	if held != nil {
		held <- true
		<-c.proceed
	}
	return n, err
}

func (c *gatedConn) Read(p []byte) (int, error) {
	if c.readsExpired != nil {
		<-c.readsExpired
		c.readsExpired = nil
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	held := c.readsHeld && n > 0
	c.mu.Unlock()
	if held { // read from the socket, not yet returned to the reader
		c.readHeld <- string(p[:n])
		<-c.proceed
	}
	return n, err
}

// idleClient returns a client that has had one response and is idle, and the server's side of its connection.
func (f *fixture) idleClient(acceptedConns chan *gatedConn) (*testClient, *gatedConn) {
	client := f.newClient()
	conn := receive(f.t, "a connection", acceptedConns)
	client.send("GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	if got := client.readAnswer(); got != "200 up" {
		f.t.Fatalf("the first response is %s", got)
	}
	return client, conn
}
