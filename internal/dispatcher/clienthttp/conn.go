package clienthttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// clientConn is a client's connection. net/http's server reads from it only what has been checked: complete heads, and
// bodies as they come.
type clientConn struct {
	net.Conn
	listener *listener

	// Under listener.mu.
	stage          stage
	since          time.Time // when it came to its stage
	closeRequested bool      // it closes, if nothing has come

	// Of the goroutine that reads.
	unchecked  []byte        // has come and was not looked at
	checked    []byte        // part of a head, may pass to net/http and was not read yet
	bodyLeft   int64         // bytes of the present body still to pass
	chunked    bool          // the body is in chunks: all that follows passes, and its answer closes the connection
	earlyBytes int64         // in unchecked, that came while a request was in
	overflowed bool          // so much came while a request was in that some was dropped
	rejection  *requestError // what is wrong with the head; nil where nothing is

	deadlineMu     sync.Mutex
	serverDeadline time.Time     // net/http's deadline for reading
	headDeadline   time.Time     // for the present head; zero is none
	interrupted    bool          // whoever reads has to look up at once
	readsStopped   bool          // nothing more is read before the last answer is out
	watchEnded     chan struct{} // closed when watchForClose has ended; nil where it never began
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection that a request came on.
func connOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connKey{}).(*clientConn)
	return c
}

// errNoSocket is peek's error for a connection that is no socket, as those of tests are.
var errNoSocket = errors.New("this connection cannot be looked into")

// requestClose asks a connection to close. Its reader does so, unless something has come meanwhile. The listener's lock
// is held.
func (c *clientConn) requestClose() {
	if c.closeRequested || c.stage == stageClosed {
		return
	}
	c.closeRequested = true
	c.listener.closeRequested++
	c.interrupt(true)
}

// closeAsRequested is the reader's decision on a connection that was asked to close: it returns true and takes it off the
// list if nothing more has come. Part of a head is no request; unless the listener is closing it may become one.
func (c *clientConn) closeAsRequested() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.withdrawCloseRequest()
	if !c.isSilent() || c.listener.closing && len(c.unchecked) > 0 {
		return false
	}
	c.setStage(stageClosed)
	c.listener.remove(c)
	return true
}

// withdrawCloseRequest makes a connection that was asked to close one like all others. The listener's lock is held.
func (c *clientConn) withdrawCloseRequest() {
	if c.closeRequested {
		c.closeRequested = false
		c.listener.closeRequested--
	}
	c.interrupt(false)
}

// isSilent returns whether nothing more has come: in a burst the new connections' first bytes are there before anybody
// has read them.
func (c *clientConn) isSilent() bool {
	n, err := c.peek()
	return err != nil || n == 0
}

// hasLeft returns whether the client has closed its connection, as far as that shows behind what it has sent.
func (c *clientConn) hasLeft() bool {
	n, err := c.peek()
	return n == 0 && err != syscall.EAGAIN && err != errNoSocket
}

// peek looks into the socket's queue without taking anything out of it: one byte or none, and the error of the look.
func (c *clientConn) peek() (n int, err error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	if broken := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); broken != nil {
		return 0, broken
	}
	return max(n, 0), err
}

// reject answers on a connection whose request has not been read that there is no room, and closes it. What the client
// is still sending is read and dropped, as far as there is room for that: a reset would overtake the answer.
func (c *clientConn) reject() {
	limits := &c.listener.limits
	text := "refused: no room for connections\n"
	c.Conn.SetWriteDeadline(time.Now().Add(limits.LingerTimeout))
	fmt.Fprintf(c.Conn, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: %s\r\nContent-Length: %d\r\n\r\n%s",
		formatSeconds(limits.RetryAfter), len(text), text)
	c.listener.mu.Lock()
	room := c.listener.lingering < limits.SpareClientConns
	if room {
		c.listener.lingering++
	}
	c.listener.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && room {
		half.CloseWrite()
		c.Conn.SetReadDeadline(time.Now().Add(limits.LingerTimeout))
		io.Copy(io.Discard, io.LimitReader(c.Conn, limits.LingerBytes))
	}
	if room {
		c.listener.mu.Lock()
		c.listener.lingering--
		c.listener.mu.Unlock()
	}
	c.Conn.Close()
}

// setStage brings a connection to a stage. It returns false where the connection is closed: from there is no way back.
// The listener's lock is held.
func (c *clientConn) setStage(s stage) bool {
	if c.stage == stageClosed {
		return false
	}
	c.listener.byStage[c.stage]--
	c.listener.byStage[s]++
	c.stage, c.since = s, time.Now()
	if s == stageClosed {
		c.listener.byStage[stageClosed] = 0
	}
	return true
}

// enterStage is setStage for who does not hold the lock. A connection that becomes idle while the listener is closing is
// asked to close.
func (c *clientConn) enterStage(s stage) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	ok := c.setStage(s)
	if ok && s == stageIdle && c.listener.closing {
		c.requestClose()
	}
	return ok
}

// enterRequest brings a connection whose request is in past every wish that it should close: what was read is answered.
func (c *clientConn) enterRequest() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.withdrawCloseRequest()
	if !c.setStage(stageRequest) {
		return io.EOF
	}
	return nil
}

// Close closes at once where the client has sent its whole request. Otherwise what it still sends is read and dropped for
// a while, on a goroutine that ends within LingerTimeout: a reset would overtake the answer.
func (c *clientConn) Close() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && (c.rejection != nil || c.chunked || c.bodyLeft > 0) && c.enterStage(stageLingering) {
		go c.linger(half)
		return nil
	}
	return c.closeNow()
}

func (c *clientConn) linger(half interface{ CloseWrite() error }) {
	half.CloseWrite()
	c.deadlineMu.Lock()
	c.readsStopped = false
	c.deadlineMu.Unlock()
	c.SetReadDeadline(time.Now().Add(c.listener.limits.LingerTimeout))
	io.Copy(io.Discard, io.LimitReader(c.Conn, c.listener.limits.LingerBytes))
	c.closeNow()
}

func (c *clientConn) closeNow() error {
	c.listener.mu.Lock()
	c.setStage(stageClosed)
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// Read gives net/http complete heads that were checked, and bodies as they come.
func (c *clientConn) Read(p []byte) (n int, err error) {
	for len(p) > 0 {
		switch {
		case len(c.checked) > 0:
			n = copy(p, c.checked)
			c.checked = c.checked[n:]
			return n, nil
		case c.rejection != nil: // nothing that follows can be placed
			return 0, io.EOF
		case c.chunked || c.bodyLeft > 0:
			return c.readBody(p)
		}
		if c.listener.stageOf(c) == stageRequest {
			return 0, c.watchForClose()
		}
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	return 0, nil
}

// readBody reads of the present body: first what has come with the head, then from the socket.
func (c *clientConn) readBody(p []byte) (n int, err error) {
	if !c.chunked {
		p = p[:min(int64(len(p)), c.bodyLeft)]
	}
	if len(c.unchecked) > 0 {
		n = copy(p, c.unchecked)
		c.unchecked = c.unchecked[n:]
	} else {
		n, err = c.Conn.Read(p)
	}
	if !c.chunked {
		c.bodyLeft -= int64(n)
	}
	return n, err
}
