package simulated

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const windowSize = 64 << 10 // bytes under way and unread in one direction before a writer waits

// connection is one end of a stream connection. The network's mutex guards it.
type connection struct {
	host     *host
	peer     *connection // nil until the attempt has reached the other host
	outgoing *link
	incoming *link
	local    *net.TCPAddr
	remote   *net.TCPAddr
	opened   chan struct{} // closed once a dialed connection is open or has failed

	received      []byte // delivered and not yet read
	unread        int    // bytes sent by this end that the peer has not read
	readable      *sync.Cond
	writable      *sync.Cond
	readDeadline  deadline
	writeDeadline deadline

	settled     bool  // opened is closed
	closed      bool  // by this end
	writeClosed bool  // by this end's CloseWrite
	peerClosed  bool  // the peer sends nothing more
	failure     error // why the connection broke
}

// newConnection makes the end of a connection at a host.
func newConnection(machine *host, remoteIP string) *connection {
	made := &connection{
		host:     machine,
		outgoing: machine.network.link(machine.ip, remoteIP),
		incoming: machine.network.link(remoteIP, machine.ip),
		opened:   make(chan struct{}),
		readable: sync.NewCond(&machine.network.mutex),
		writable: sync.NewCond(&machine.network.mutex),
	}
	machine.connections[made] = struct{}{}
	return made
}

// awaitOpening waits until a dialed connection is open, or gives it up when the context ends.
func (c *connection) awaitOpening(ctx context.Context) error {
	select {
	case <-c.opened:
	case <-ctx.Done():
	}
	c.host.network.mutex.Lock()
	defer c.host.network.mutex.Unlock()
	if c.failure != nil {
		return c.failure
	}
	if c.settled {
		return nil
	}
	c.abort()
	c.closed = true
	return ctx.Err()
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	c.host.network.mutex.Lock()
	defer c.host.network.mutex.Unlock()
	for {
		if c.closed {
			return 0, c.operationError("read", net.ErrClosed)
		}
		if c.readDeadline.passed() {
			return 0, c.operationError("read", os.ErrDeadlineExceeded)
		}
		if len(buffer) == 0 {
			return 0, nil
		}
		if len(c.received) > 0 {
			return c.take(buffer), nil
		}
		if c.failure != nil {
			return 0, c.operationError("read", c.failure)
		}
		if c.peerClosed {
			return 0, io.EOF
		}
		c.readable.Wait()
	}
}

// take moves received bytes to a reader, and opens the peer's window by as much.
func (c *connection) take(buffer []byte) int {
	count := copy(buffer, c.received)
	c.received = c.received[count:]
	if len(c.received) == 0 {
		c.received = nil
	}
	c.peer.unread -= count
	c.peer.writable.Broadcast()
	return count
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	c.host.network.mutex.Lock()
	defer c.host.network.mutex.Unlock()
	written := 0
	for {
		if err := c.writeError(); err != nil {
			return written, c.operationError("write", err)
		}
		if written == len(data) {
			return written, nil
		}
		window := windowSize - c.unread
		if window <= 0 {
			c.writable.Wait()
			continue
		}
		end := min(written+window, len(data))
		c.transmit(bytes.Clone(data[written:end]))
		written = end
	}
}

// writeError returns why nothing can be written now, or nil.
func (c *connection) writeError() error {
	switch {
	case c.closed:
		return net.ErrClosed
	case c.failure != nil:
		return c.failure
	case c.writeClosed:
		return os.NewSyscallError("write", syscall.EPIPE)
	case c.writeDeadline.passed():
		return os.ErrDeadlineExceeded
	}
	return nil
}

// transmit sends bytes that fit into the window.
func (c *connection) transmit(data []byte) {
	c.unread += len(data)
	peer := c.peer
	c.outgoing.send(func() { peer.receive(data) })
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.host.network.mutex.Lock()
	defer c.host.network.mutex.Unlock()
	if c.closed {
		return c.operationError("close", net.ErrClosed)
	}
	if c.failure == nil && !c.writeClosed {
		c.outgoing.send(c.peer.receiveEnd)
	}
	c.closed = true
	c.received = nil
	c.forget()
	return nil
}

// CloseWrite tells the peer that nothing more will be written. Reading goes on.
func (c *connection) CloseWrite() error {
	c.host.network.mutex.Lock()
	defer c.host.network.mutex.Unlock()
	if err := c.writeError(); err != nil {
		return c.operationError("close", err)
	}
	c.writeClosed = true
	c.outgoing.send(c.peer.receiveEnd)
	c.writable.Broadcast()
	return nil
}

// LocalAddr implements net.Conn.
func (c *connection) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *connection) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.SetWriteDeadline(at)
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(at time.Time) error {
	return c.setDeadline(&c.readDeadline, at, c.readable)
}

// SetWriteDeadline implements net.Conn.
func (c *connection) SetWriteDeadline(at time.Time) error {
	return c.setDeadline(&c.writeDeadline, at, c.writable)
}

func (c *connection) setDeadline(changed *deadline, at time.Time, waiting *sync.Cond) error {
	c.host.network.mutex.Lock()
	defer c.host.network.mutex.Unlock()
	if c.closed {
		return c.operationError("set", net.ErrClosed)
	}
	changed.set(at, waiting)
	return nil
}

func (c *connection) operationError(operation string, err error) error {
	return &net.OpError{Op: operation, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}
