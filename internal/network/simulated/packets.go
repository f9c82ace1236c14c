package simulated

import (
	"os"
	"syscall"
)

// receive takes bytes that have arrived. An end that was closed answers with a reset, as TCP does.
func (c *connection) receive(data []byte) {
	if c.closed {
		c.outgoing.send(c.peer.receiveReset)
		return
	}
	if c.failure != nil {
		return
	}
	c.received = append(c.received, data...)
	c.readable.Broadcast()
}

// receiveEnd notes that the peer sends nothing more.
func (c *connection) receiveEnd() {
	c.peerClosed = true
	c.readable.Broadcast()
}

// receiveReset breaks the connection. Bytes that have arrived before can still be read.
func (c *connection) receiveReset() {
	c.fail(os.NewSyscallError("read", syscall.ECONNRESET))
}

// receiveRefusal ends the attempt to open the connection.
func (c *connection) receiveRefusal() {
	c.fail(os.NewSyscallError("connect", syscall.ECONNREFUSED))
}

// receiveAcceptance ends the opening of a dialed connection.
func (c *connection) receiveAcceptance() {
	if c.closed || c.failure != nil {
		return
	}
	c.endOpening()
}

// abort breaks this end at once and resets the other one.
func (c *connection) abort() {
	if c.closed || c.failure != nil {
		return
	}
	c.received = nil
	c.receiveReset()
	if c.peer != nil {
		c.outgoing.send(c.peer.receiveReset)
	}
}

// fail breaks this end.
func (c *connection) fail(reason error) {
	if c.closed || c.failure != nil {
		return
	}
	c.failure = reason
	c.unregister()
	c.endOpening()
}

// endOpening notifies the dialer that the connection is open or has failed.
func (c *connection) endOpening() {
	if !c.openingEnded {
		c.openingEnded = true
		close(c.opened)
	}
}

// unregister takes the connection off its host, and wakes all who wait on it.
func (c *connection) unregister() {
	delete(c.host.connections, c)
	c.readDeadline.stop()
	c.writeDeadline.stop()
	c.readable.Broadcast()
	c.writable.Broadcast()
}
