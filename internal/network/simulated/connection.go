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

const windowBytes = 64 << 10 // a writer blocks once it has sent this many bytes that the peer has not read

// connection is one end of a stream connection. It implements net.Conn. packets.go handles the packets that arrive at
// it.
type connection struct {
	number   uint64 // from 1, in the order in which the ends of connections were created
	host     *host
	peer     *connection // the other end; nil until the dial has reached the other host
	outgoing *link
	incoming *link
	local    *net.TCPAddr
	remote   *net.TCPAddr
	opened   chan struct{} // closed once the dial has succeeded or failed

	received      []byte // received and not yet read
	unreadBytes   int    // bytes sent by this end and not yet read by the peer
	readable      *sync.Cond
	writable      *sync.Cond
	readDeadline  deadline
	writeDeadline deadline

	openingEnded bool  // the channel opened is closed
	closed       bool  // by Close of this end
	writeClosed  bool  // by CloseWrite of this end
	peerClosed   bool  // the peer's FIN has arrived
	failure      error // why the connection failed; nil while it works
}

// newConnection creates the end of a connection at a host.
func newConnection(owner *host, remoteIP string) *connection {
	created := &connection{
		host:     owner,
		outgoing: owner.network.link(owner.ip, remoteIP),
		incoming: owner.network.link(remoteIP, owner.ip),
		opened:   make(chan struct{}),
		readable: sync.NewCond(&owner.network.mutex),
		writable: sync.NewCond(&owner.network.mutex),
	}
	owner.network.connectionCount++
	created.number = owner.network.connectionCount
	owner.connections[created] = struct{}{}
	return created
}

// awaitOpening waits until the dial has succeeded or failed, or aborts it when the context ends. It locks the mutex.
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

// consume moves received bytes to the reader's buffer, and extends the peer's send window by their number.
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

// writeError returns the error of a write at this moment, or nil if bytes can be written.
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

// transmit sends data, which must fit into the send window.
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
		c.outgoing.send(c.peer.receiveFIN)
	}
	c.closed = true
	c.received = nil
	c.unregister()
	return nil
}

// CloseWrite closes the writing side, as net.TCPConn.CloseWrite does. This end can still read.
func (c *connection) CloseWrite() error {
	c.host.network.mutex.Lock()
	defer c.host.network.mutex.Unlock()
	if err := c.writeError(); err != nil {
		return c.operationError("close", err)
	}
	c.writeClosed = true
	c.outgoing.send(c.peer.receiveFIN)
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

// setDeadline sets the read or the write deadline, and wakes the goroutines that wait on its condition. It locks the
// mutex.
func (c *connection) setDeadline(changed *deadline, at time.Time, waiting *sync.Cond) error {
	c.host.network.mutex.Lock()
	defer c.host.network.mutex.Unlock()
	if c.closed {
		return c.operationError("set", net.ErrClosed)
	}
	changed.reset(at, waiting)
	return nil
}

// operationError wraps an error in a net.OpError, as the connections of the standard library do.
func (c *connection) operationError(operation string, err error) error {
	return &net.OpError{Op: operation, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}
