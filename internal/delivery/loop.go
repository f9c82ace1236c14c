package delivery

import (
	"context"
	"time"

	"gladepick/internal/decision"
)

// maxIdle is the longest time for which the loop sleeps.
const maxIdle = time.Minute

// loop runs turns until the context ends. No other goroutine uses the state that the event loop owns.
func (e *Engine) loop(ctx context.Context) {
	wake := time.NewTimer(maxIdle)
	defer wake.Stop()
	for ctx.Err() == nil {
		wake.Reset(e.turn())
		select {
		case <-ctx.Done():
		case <-e.events.wake:
		case <-wake.C:
		}
	}
}

// turn runs one turn of the event loop: it applies the events, fires the timers, and dispatches the messages that are
// due. It returns how long the loop may sleep until the next turn.
func (e *Engine) turn() time.Duration {
	for _, ev := range e.events.takeAll() {
		ev.apply(e)
	}
	now := e.now()
	e.fireTimers(now)
	e.recheckParked(now)
	e.expire(now)
	next := e.dispatchServices(now)
	if len(e.ended) > 0 {
		next = now // the messages that waited for these to end may be due
	}
	e.notifyEnded()
	e.gauges.queued.Store(int64(e.backlog.size))
	next = min(next, e.nextTimer())
	return min(max(next-e.now(), 0), maxIdle)
}

// fireTimers passes the timers that are due to their decision modules.
func (e *Engine) fireTimers(now time.Duration) {
	for {
		due, found := e.timers.popDue(now)
		if !found {
			return
		}
		due.adapter.handle(&decision.Event{Kind: decision.EventTimer, Token: due.token})
		e.schedule.markDirty(due.adapter.service)
	}
}

// nextTimer returns the earliest time at which the loop has work that no event announces.
func (e *Engine) nextTimer() time.Duration {
	next := min(e.timers.nextDue(), e.nextExpiry)
	for _, at := range e.parkedRecheckAt {
		next = min(next, at)
	}
	return next
}

// drainAttempts waits for the attempts that are in flight after the loop has ended, and applies their results.
func (e *Engine) drainAttempts() {
	e.ownerCalls.Wait()
	for _, ev := range e.events.takeAll() {
		ev.apply(e)
	}
	e.notifyEnded()
	e.ownerCalls.Wait()
}
