package rpc

import "time"

const (
	// unresponsiveTimeout is the time without a received byte after which a connection with outstanding calls fails.
	unresponsiveTimeout = 2 * time.Second
	// lateCheckThreshold is the delay of a check above which the watchdog concludes that its own process was paused.
	lateCheckThreshold = 250 * time.Millisecond
	// pauseGrace is the additional time, after such a pause, to read the bytes that arrived during it.
	pauseGrace = 500 * time.Millisecond
)

// startWatchdog schedules the next check. The caller holds the mutex.
func (c *clientConnection) startWatchdog(wait time.Duration) {
	c.watchdogDue = time.Now().Add(wait)
	if c.watchdog == nil {
		c.watchdog = time.AfterFunc(wait, c.checkResponsive)
		return
	}
	c.watchdog.Reset(wait)
}

// checkResponsive fails the connection if calls are outstanding and the server has sent nothing for
// unresponsiveTimeout. The watchdog timer calls it. It schedules the next check while calls are outstanding.
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

// remainingTime returns the time that the server has left to send a byte. It is 0 if the time has passed or if no call
// is outstanding. The caller holds the mutex.
func (c *clientConnection) remainingTime(now time.Time) time.Duration {
	if len(c.outstanding) == 0 {
		return 0
	}
	lastActivity := c.started.Add(time.Duration(c.lastReceived.Load()))
	if lastActivity.Before(c.waitingSince) {
		lastActivity = c.waitingSince
	}
	remaining := unresponsiveTimeout - now.Sub(lastActivity)
	if remaining <= 0 && now.Sub(c.watchdogDue) > lateCheckThreshold {
		return pauseGrace
	}
	return max(remaining, 0)
}

// activityRecorder reads a connection's stream and records for the watchdog when bytes were last received.
type activityRecorder struct {
	connection *clientConnection
}

// Read implements io.Reader.
func (r activityRecorder) Read(buffer []byte) (int, error) {
	count, err := r.connection.stream.Read(buffer)
	if count > 0 {
		r.connection.lastReceived.Store(int64(time.Since(r.connection.started)))
	}
	return count, err
}
