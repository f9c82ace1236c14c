package simulated

import (
	"os"
	"syscall"
)

// receive handles the arrival of data. A closed end responds with a reset, as TCP does.
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

// receiveFIN handles the peer's end of the stream, after Close or CloseWrite.
func (c *connection) receiveFIN() {
	c.peerClosed = true
	c.readable.Broadcast()
}

// receiveReset handles a reset by the peer. Bytes that arrived before it can still be read.
func (c *connection) receiveReset() {
	c.fail(os.NewSyscallError("read", syscall.ECONNRESET))
}

// receiveRefusal handles the refusal of a dial.
func (c *connection) receiveRefusal() {
	c.fail(os.NewSyscallError("connect", syscall.ECONNREFUSED))
}

// receiveAcceptance handles the acceptance of a dial.
func (c *connection) receiveAcceptance() {
	if c.closed || c.failure != nil {
		return
	}
	c.endOpening()
}

// abort resets this end immediately and drops its unread bytes, and sends a reset to the other end.
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

// fail records why this end failed and wakes the goroutines that wait on it.
func (c *connection) fail(reason error) {
	if c.closed || c.failure != nil {
		return
	}
	c.failure = reason
	c.unregister()
	c.endOpening()
}

// endOpening notifies awaitOpening that the dial has succeeded or failed.
func (c *connection) endOpening() {
	if !c.openingEnded {
		c.openingEnded = true
		close(c.opened)
	}
}

// unregister removes the connection from its host, and wakes the goroutines that wait on it.
func (c *connection) unregister() {
	delete(c.host.connections, c)
	c.readDeadline.stop()
	c.writeDeadline.stop()
	c.readable.Broadcast()
	c.writable.Broadcast()
}
