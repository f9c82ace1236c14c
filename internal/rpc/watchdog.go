package rpc

import "time"

const (
	// unresponsiveTimeout is for how long a server that owes responses may send nothing before it is given up.
	unresponsiveTimeout = 2 * time.Second
	// lateCheckThreshold is by how much a check that runs late shows that this process itself was paused.
	lateCheckThreshold = 250 * time.Millisecond
	// pauseGrace is the time to receive what arrived during such a pause.
	pauseGrace = 500 * time.Millisecond
)

// startWatchdog sets the next check of the server. The caller holds the mutex.
func (c *clientConnection) startWatchdog(wait time.Duration) {
	c.watchdogDue = time.Now().Add(wait)
	if c.watchdog == nil {
		c.watchdog = time.AfterFunc(wait, c.checkResponsive)
		return
	}
	c.watchdog.Reset(wait)
}

// checkResponsive gives the connection up when responses are due and nothing has come for too long. It is the watchdog's
// function, and sets the next check while calls are outstanding.
func (c *clientConnection) checkResponsive() {
	c.mutex.Lock()
	if c.failure != nil {
		c.mutex.Unlock()
		return
	}
	remaining := c.remainingTime(time.Now())
	if remaining > 0 {
		c.startWatchdog(remaining)
	} else {
		c.watchdogDue = time.Time{}
	}
	unresponsive := remaining <= 0 && len(c.outstanding) > 0
	c.mutex.Unlock()
	if unresponsive {
		c.fail(errUnresponsive)
	}
}

// remainingTime returns for how long the server may still send nothing: 0 where that has been too long, or where no
// response is due. The caller holds the mutex.
func (c *clientConnection) remainingTime(now time.Time) time.Duration {
	if len(c.outstanding) == 0 {
		return 0
	}
	lastSign := c.started.Add(time.Duration(c.lastReceived.Load()))
	if lastSign.Before(c.waitingSince) {
		lastSign = c.waitingSince
	}
	remaining := unresponsiveTimeout - now.Sub(lastSign)
	if remaining <= 0 && now.Sub(c.watchdogDue) > lateCheckThreshold {
		return pauseGrace
	}
	return max(remaining, 0)
}

// receiveClock reads a connection's stream and notes when bytes came, for the watchdog.
type receiveClock struct {
	connection *clientConnection
}

// Read implements io.Reader.
func (r receiveClock) Read(buffer []byte) (int, error) {
	count, err := r.connection.stream.Read(buffer)
	if count > 0 {
		r.connection.lastReceived.Store(int64(time.Since(r.connection.started)))
	}
	return count, err
}
