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

const windowBytes = 64 << 10 // bytes under way and unread in one direction before a writer waits

// connection is one end of a stream connection. It implements net.Conn. packets.go has what arrives at it.
type connection struct {
	number   uint64 // in the order in which all ends of connections were made
	host     *host
	peer     *connection // nil until the attempt has reached the other host
	outgoing *link
	incoming *link
	local    *net.TCPAddr
	remote   *net.TCPAddr
	opened   chan struct{} // closed once a dialed connection is open or has failed

	received      []byte // delivered and not yet read
	unreadBytes   int    // bytes sent by this end that the peer has not read
	readable      *sync.Cond
	writable      *sync.Cond
	readDeadline  deadline
	writeDeadline deadline

	openingEnded bool  // opened is closed
	closed       bool  // by this end
	writeClosed  bool  // by this end's CloseWrite
	peerClosed   bool  // the peer sends nothing more
	failure      error // why the connection broke
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
	machine.network.connections++
	made.number = machine.network.connections
	machine.connections[made] = struct{}{}
	return made
}

// awaitOpening waits until a dialed connection is open, or gives it up when the context ends. It locks the mutex.
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
	if c.openingEnded {
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
		if c.readDeadline.expired() {
			return 0, c.operationError("read", os.ErrDeadlineExceeded)
		}
		if len(buffer) == 0 {
			return 0, nil
		}
		if len(c.received) > 0 {
			return c.consume(buffer), nil
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

// consume moves received bytes to a reader, and opens the peer's window by as much.
func (c *connection) consume(buffer []byte) int {
	count := copy(buffer, c.received)
	c.received = c.received[count:]
	if len(c.received) == 0 {
		c.received = nil
	}
	c.peer.unreadBytes -= count
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
		window := windowBytes - c.unreadBytes
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
	case c.writeDeadline.expired():
		return os.ErrDeadlineExceeded
	}
	return nil
}

// transmit sends bytes that fit into the window.
func (c *connection) transmit(data []byte) {
	c.unreadBytes += len(data)
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
	c.unregister()
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

// setDeadline sets one of the deadlines. It locks the mutex.
func (c *connection) setDeadline(changed *deadline, at time.Time, waiting *sync.Cond) error {
	c.host.network.mutex.Lock()
	defer c.host.network.mutex.Unlock()
	if c.closed {
		return c.operationError("set", net.ErrClosed)
	}
	changed.reset(at, waiting)
	return nil
}

// operationError wraps an error as the standard library's connections do.
func (c *connection) operationError(operation string, err error) error {
	return &net.OpError{Op: operation, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}
