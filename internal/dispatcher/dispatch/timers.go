package dispatch

import "time"

// timer is a call that the core's goroutine makes at a time of its clock.
type timer struct {
	at    time.Duration
	order uint64 // of the timers set so far
	do    func()
}

// Before tells whether the timer is due first; timers of one time are due in the order in which they were set.
func (t timer) Before(other timer) bool {
	return t.at < other.at || t.at == other.at && t.order < other.order
}

// setTimer calls do at a time of the core's clock, from Run and never from within setTimer.
func (c *Core) setTimer(at time.Duration, do func()) {
	c.timersSet++
	c.timers.Push(timer{at, c.timersSet, do})
}

// runDueTimers makes the calls that are due, those that become due meanwhile among them.
func (c *Core) runDueTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now() {
		c.timers.Pop().do()
	}
}
