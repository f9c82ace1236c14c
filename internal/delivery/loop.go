package delivery

import (
	"context"
	"time"

	"gladepick/internal/decision"
)

// maxIdle is how long the loop sleeps at most.
const maxIdle = time.Minute

// loop runs turns until the context ends. It is the only goroutine that uses the engine's state.
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

// turn does everything that there is to do now, and returns for how long there will be nothing more: it applies the events,
// fires the timers, and dispatches what is due.
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
		next = now // the messages that waited behind them may be due
	}
	e.notifyEnded()
	e.gauges.queued.Store(int64(e.backlog.size))
	next = min(next, e.nextTimer())
	return min(max(next-e.now(), 0), maxIdle)
}

// fireTimers gives the decision modules their timers that are due.
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

// nextTimer is when something comes due that no event announces.
func (e *Engine) nextTimer() time.Duration {
	next := min(e.timers.nextDue(), e.nextExpiry)
	for _, at := range e.parkedRecheckAt {
		next = min(next, at)
	}
	return next
}

// drainAttempts waits for the attempts in flight after the loop has ended, and commits their results.
func (e *Engine) drainAttempts() {
	e.ownerCalls.Wait()
	for _, ev := range e.events.takeAll() {
		ev.apply(e)
	}
	e.notifyEnded()
	e.ownerCalls.Wait()
}
