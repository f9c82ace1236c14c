package clienthttp

import "time"

// pastDeadline is a deadline in the past. It interrupts a read at once.
var pastDeadline = time.Unix(1, 0)

// SetReadDeadline sets the deadline of net/http's server. The head deadline applies independently of it.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.serverDeadline = t
	return c.applyDeadline()
}

// setHeadDeadline sets the time by which the present head must be complete; the zero time means no deadline.
func (c *clientConn) setHeadDeadline(t time.Time) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.headDeadline = t
	c.applyDeadline()
}

// interrupt makes reads time out at once if on is set, and ends that state otherwise.
func (c *clientConn) interrupt(on bool) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.interrupted != on {
		c.interrupted = on
		c.applyDeadline()
	}
}

// applyDeadline sets the socket's read deadline to the earliest deadline that applies. The caller holds deadlineMu.
func (c *clientConn) applyDeadline() error {
	t := c.serverDeadline
	if t.IsZero() || !c.headDeadline.IsZero() && c.headDeadline.Before(t) {
		t = c.headDeadline
	}
	if c.interrupted || c.readsStopped {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// headDeadlinePassed reports whether the head deadline has passed. If not, a read that timed out was interrupted by
// net/http.
func (c *clientConn) headDeadlinePassed() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return !c.headDeadline.IsZero() && !time.Now().Before(c.headDeadline)
}

// isInterrupted reports whether reads are interrupted because the listener has requested a close.
func (c *clientConn) isInterrupted() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return c.interrupted
}
