package clienthttp

import "time"

// longAgo is a deadline that breaks off reading at once.
var longAgo = time.Unix(1, 0)

// SetReadDeadline sets net/http's deadline; the head's own holds beside it.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.serverDeadline = t
	return c.applyDeadline()
}

// setHeadDeadline sets the time by which the present head must be complete; zero is none.
func (c *clientConn) setHeadDeadline(t time.Time) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.headDeadline = t
	c.applyDeadline()
}

// interrupt makes whoever reads look up at once, or no longer.
func (c *clientConn) interrupt(on bool) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.interrupted != on {
		c.interrupted = on
		c.applyDeadline()
	}
}

// applyDeadline sets the socket's deadline to the first of those that hold. deadlineMu is held.
func (c *clientConn) applyDeadline() error {
	t := c.serverDeadline
	if t.IsZero() || !c.headDeadline.IsZero() && c.headDeadline.Before(t) {
		t = c.headDeadline
	}
	if c.interrupted || c.readsStopped {
		t = longAgo
	}
	return c.Conn.SetReadDeadline(t)
}

// headDeadlinePassed returns whether the head's own deadline has passed; otherwise it was net/http that broke off a read.
func (c *clientConn) headDeadlinePassed() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return !c.headDeadline.IsZero() && !time.Now().Before(c.headDeadline)
}

// isInterrupted returns whether the connection was asked to close.
func (c *clientConn) isInterrupted() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return c.interrupted
}
