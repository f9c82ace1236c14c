package rpc

import "time"

// heartbeatInterval is how often a server shows a client that waits for a response that it is alive. Several heartbeats
// fit into the client's unresponsiveTimeout.
const heartbeatInterval = 700 * time.Millisecond

// heartbeatLine is a response to no call; clients ignore it.
var heartbeatLine = []byte("{\"id\":0}\n")

// beginCall counts a call, and starts heartbeats where none run.
func (c *serverConnection) beginCall() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.activeCalls++
	if c.heartbeatRunning || c.closed {
		return
	}
	c.heartbeatRunning = true
	if c.heartbeatTimer == nil {
		c.heartbeatTimer = time.AfterFunc(heartbeatInterval, c.sendHeartbeat)
		return
	}
	c.heartbeatTimer.Reset(heartbeatInterval)
}

// endCall counts a call off. Heartbeats end when their timer next finds no call.
func (c *serverConnection) endCall() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.activeCalls--
}

// sendHeartbeat sends a heartbeat while calls are being carried out. It is the timer's function.
func (c *serverConnection) sendHeartbeat() {
	c.mutex.Lock()
	c.heartbeatRunning = c.activeCalls > 0 && !c.closed
	running := c.heartbeatRunning
	if running {
		c.heartbeatTimer.Reset(heartbeatInterval)
	}
	c.mutex.Unlock()
	if running {
		c.writer.offerIfIdle(heartbeatLine)
	}
}

// stopHeartbeat ends the heartbeats for good.
func (c *serverConnection) stopHeartbeat() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	if c.heartbeatTimer != nil {
		c.heartbeatTimer.Stop()
	}
}
