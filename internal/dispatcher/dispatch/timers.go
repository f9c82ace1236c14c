package dispatch

import "time"

// timer is a function that the core's goroutine runs at a given time on the core's clock.
type timer struct {
	at    time.Duration
	order uint64 // sequence number, in the order of setTimer calls
	run   func()
}

// Before reports whether the timer is due before another. Timers due at the same time run in the order they were set.
func (t timer) Before(other timer) bool {
	return t.at < other.at || t.at == other.at && t.order < other.order
}

// setTimer schedules a function for a time on the core's clock. Run calls the function; setTimer itself never does,
// even if the time has passed.
func (c *Core) setTimer(at time.Duration, run func()) {
	c.timersSet++
	c.timers.Push(timer{at, c.timersSet, run})
}

// runDueTimers runs the timers that are due, including those that become due while it runs.
func (c *Core) runDueTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now() {
		c.timers.Pop().run()
	}
}
