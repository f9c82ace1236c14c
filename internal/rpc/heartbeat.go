package rpc

import "time"

// heartbeatInterval is the interval at which a server sends heartbeats to a client that waits for a response. Several
// heartbeats fit into the client's unresponsiveTimeout.
const heartbeatInterval = 700 * time.Millisecond

// heartbeatLine is a response with an ID that no call has. Clients ignore it.
var heartbeatLine = []byte("{\"id\":0}\n")

// beginCall counts an active call, and starts the heartbeats if they are not running.
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

// endCall ends a call that beginCall counted. The heartbeats stop when their timer next fires without an active call.
func (c *serverConnection) endCall() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.activeCalls--
}

// sendHeartbeat sends a heartbeat and restarts the timer while calls are active. The heartbeat timer calls it.
func (c *serverConnection) sendHeartbeat() {
	c.mutex.Lock()
	c.heartbeatRunning = c.activeCalls > 0 && !c.closed
	running := c.heartbeatRunning
	if running {
		c.heartbeatTimer.Reset(heartbeatInterval)
	}
	c.mutex.Unlock()
	if running {
		c.writer.enqueueIfIdle(heartbeatLine)
	}
}

// stopHeartbeat stops the heartbeats when the connection closes. They can't be restarted.
func (c *serverConnection) stopHeartbeat() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	if c.heartbeatTimer != nil {
		c.heartbeatTimer.Stop()
	}
}
