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

// clientConn is a connection from a client. net/http's server reads only checked data from it: complete heads that were
// accepted, and bodies as they arrive.
type clientConn struct {
	net.Conn
	listener *listener

	// Guarded by listener.mu.
	stage          stage
	since          time.Time // when the present stage began
	closeRequested bool      // the reader must close it, unless data has arrived

	// Accessed only by the goroutine that reads.
	unchecked      []byte        // received but not checked yet
	checked        []byte        // rest of a checked head that net/http has not read yet
	bodyLeft       int64         // bytes of the present body that net/http has not read yet
	chunked        bool          // all further data passes unchecked, and the answer closes the connection
	pipelinedBytes int64         // bytes in unchecked that arrived while a request was in progress
	overflowed     bool          // some pipelined bytes were dropped because a limit was reached
	rejection      *requestError // why the head is rejected; nil if it is accepted

	deadlineMu     sync.Mutex
	serverDeadline time.Time     // read deadline of net/http's server
	headDeadline   time.Time     // for the present head; the zero time means none
	interrupted    bool          // reads time out at once
	readsStopped   bool          // nothing is read before the last answer has been written
	watchEnded     chan struct{} // closed when watchForClose has returned; nil if it was never called
}

// connKey is the context key of a request's clientConn.
type connKey struct{}

// connOf returns the connection of the request with the given context.
func connOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connKey{}).(*clientConn)
	return c
}

// errNoSocket is returned by peek for a connection that is not a socket, such as a test's in-memory connection.
var errNoSocket = errors.New("not a socket: cannot peek at received data")

// requestClose requests that the connection close. The reader closes it, unless data has arrived by then. The caller
// holds listener.mu.
func (c *clientConn) requestClose() {
	if c.closeRequested || c.stage == stageClosed {
		return
	}
	c.closeRequested = true
	c.listener.closeRequests++
	c.interrupt(true)
}

// closeAsRequested decides, on the reader's goroutine, whether a requested close takes place. If no further data has
// arrived, it removes the connection from the listener and returns true. A partial head does not prevent the close,
// except while the listener is closing: then the client may still complete it.
func (c *clientConn) closeAsRequested() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.withdrawCloseRequest()
	if !c.hasNoInput() || c.listener.closing && len(c.unchecked) > 0 {
		return false
	}
	c.setStage(stageClosed)
	c.listener.remove(c)
	return true
}

// withdrawCloseRequest cancels a close request, if there is one. The caller holds listener.mu.
func (c *clientConn) withdrawCloseRequest() {
	if c.closeRequested {
		c.closeRequested = false
		c.listener.closeRequests--
	}
	c.interrupt(false)
}

// hasNoInput reports whether the socket's receive queue is empty. The reader's buffer does not show this: in a burst,
// the first bytes of new connections arrive before any goroutine has read them.
func (c *clientConn) hasNoInput() bool {
	n, err := c.peek()
	return err != nil || n == 0
}

// hasDisconnected reports whether the client has closed its connection. It cannot detect a close that follows unread
// data.
func (c *clientConn) hasDisconnected() bool {
	n, err := c.peek()
	return n == 0 && err != syscall.EAGAIN && err != errNoSocket
}

// peek looks for a byte in the socket's receive queue without removing it. It returns 1 or 0 and the error of the
// system call.
func (c *clientConn) peek() (n int, err error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	if controlErr := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); controlErr != nil {
		return 0, controlErr
	}
	return max(n, 0), err
}

// reject answers with status 503 on a connection whose request has not been read, and closes the connection. If fewer
// than SpareClientConns connections linger, it first reads and drops what the client is still sending, because a reset
// would overtake the answer.
func (c *clientConn) reject() {
	limits := &c.listener.limits
	text := "refused: no room for connections\n"
	c.Conn.SetWriteDeadline(time.Now().Add(limits.LingerTimeout))
	fmt.Fprintf(c.Conn, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: %s\r\nContent-Length: %d\r\n\r\n%s",
		formatSeconds(limits.RetryAfter), len(text), text)
	c.listener.mu.Lock()
	mayLinger := c.listener.lingering < limits.SpareClientConns
	if mayLinger {
		c.listener.lingering++
	}
	c.listener.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && mayLinger {
		half.CloseWrite()
		c.Conn.SetReadDeadline(time.Now().Add(limits.LingerTimeout))
		io.Copy(io.Discard, io.LimitReader(c.Conn, limits.LingerBytes))
	}
	if mayLinger {
		c.listener.mu.Lock()
		c.listener.lingering--
		c.listener.mu.Unlock()
	}
	c.Conn.Close()
}

// setStage moves the connection to a stage. It returns false if the connection is closed, which is the final stage. The
// caller holds listener.mu.
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

// enterStage is setStage for callers that do not hold listener.mu. It also requests a close if the connection becomes
// idle while the listener is closing.
func (c *clientConn) enterStage(s stage) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	ok := c.setStage(s)
	if ok && s == stageIdle && c.listener.closing {
		c.requestClose()
	}
	return ok
}

// beginRequest moves the connection to stageRequest and withdraws a close request, because a request that has been read
// must be answered. It returns io.EOF if the connection is closed.
func (c *clientConn) beginRequest() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.withdrawCloseRequest()
	if !c.setStage(stageRequest) {
		return io.EOF
	}
	return nil
}

// Close closes the connection at once if the client has sent its whole request. Otherwise a goroutine reads and drops
// what the client still sends, for at most LingerTimeout, because a reset would overtake the answer.
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

// Read returns checked, complete heads to net/http, and bodies as they arrive. While a request is in progress and its
// body has been read, it blocks in watchForClose.
func (c *clientConn) Read(p []byte) (n int, err error) {
	for len(p) > 0 {
		switch {
		case len(c.checked) > 0:
			n = copy(p, c.checked)
			c.checked = c.checked[n:]
			return n, nil
		case c.rejection != nil: // the data after a rejected head cannot be interpreted
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

// readBody reads from the present body: first the bytes that arrived with the head, then from the socket.
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
