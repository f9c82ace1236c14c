package delivery

import (
	"context"
	"slices"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/message"
)

const (
	parkedRecheckInterval = 50 * time.Millisecond // between looks at partitions that may not deliver
	minExpiryInterval     = time.Second           // between looks for expired messages, at least
	maxIdle               = time.Minute
)

// loop handles events and starts what is due until the context ends.
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

// turn handles everything there is to do now, and returns for how long there will be nothing more.
func (e *Engine) turn() time.Duration {
	for _, ev := range e.events.takeAll() {
		ev.apply(e)
	}
	now := e.now()
	for {
		expired, found := e.timers.popDue(now)
		if !found {
			break
		}
		expired.adapter.handle(&decision.Event{Kind: decision.EventTimer, Token: expired.token})
		e.schedule.markDirty(expired.adapter.service)
	}
	e.recheckParked(now)
	e.expire(now)
	next := e.dispatchServices(now)
	if len(e.ended) > 0 {
		next = now // what came behind them may be due
	}
	e.notifyEnded()
	e.gauges.queued.Store(int64(e.backlog.size))
	next = min(next, e.nextTimer())
	return min(max(next-e.now(), 0), maxIdle)
}

// nextTimer is when something comes due that no event announces.
func (e *Engine) nextTimer() time.Duration {
	next := min(e.timers.nextDue(), e.nextExpiry)
	for _, at := range e.parkedRecheckAt {
		next = min(next, at)
	}
	return next
}

// finishAttempts waits for the attempts in flight after the loop has ended, and settles them.
func (e *Engine) drainAttempts() {
	e.ownerCalls.Wait()
	for _, ev := range e.events.takeAll() {
		ev.apply(e)
	}
	e.notifyEnded()
	e.ownerCalls.Wait()
}

// accept takes in a submitted message.
func (e *Engine) enqueue(m *message.Message, failures int, generation uint64) {
	if generation < e.gates.generation(m.Partition) {
		return // released meanwhile
	}
	if orphan := e.backlog.orphans[keyOf(m)]; orphan != nil {
		e.reclaim(orphan, failures, generation)
		return
	}
	queued := &queuedMessage{message: m, failures: failures, generation: generation, due: e.at(m.DueAt), expires: never}
	if !m.ExpiresAt.IsZero() {
		queued.expires = e.at(m.ExpiresAt)
	}
	e.nextExpiry = min(e.nextExpiry, queued.expires)
	e.backlog.link(queued)
	e.place(queued)
}

// readopt takes a message back whose partition went and came while its attempt was out.
func (e *Engine) reclaim(queued *queuedMessage, failures int, generation uint64) {
	delete(e.backlog.orphans, keyOf(queued.message))
	queued.orphan, queued.generation = false, generation
	queued.failures = max(queued.failures, failures)
	e.nextExpiry = min(e.nextExpiry, queued.expires)
	e.backlog.link(queued)
	if queued.orderGroup != nil && queued.orderGroup.first(queued) && len(queued.orderGroup.messages) > 1 {
		e.blockByOrder(queued.orderGroup.messages[1])
	}
}

// place puts an entry where it belongs by its chain, its route and its partition.
func (e *Engine) place(queued *queuedMessage) {
	if queued.orderGroup != nil && !queued.orderGroup.first(queued) {
		queued.state = blockedByOrder
		return
	}
	if queued.orderGroup != nil && len(queued.orderGroup.messages) > 1 {
		e.blockByOrder(queued.orderGroup.messages[1]) // it was first until now
	}
	if e.routeDropped(queued) {
		e.endWithoutAttempt(queued, message.Outcome{State: message.DeadLetter})
		return
	}
	q := e.routeQueueFor(queued.message.Route)
	q.add(queued, e.now())
	e.schedule.markDirty(q.service)
}

// holdBack takes an entry out of its lane as another one comes first in its chain.
func (e *Engine) blockByOrder(queued *queuedMessage) {
	switch queued.state {
	case inRouteQueue:
		queued.heap.remove(queued)
	case parked:
		e.backlog.partitions[queued.message.Partition].unpark(queued)
	default:
		return
	}
	queued.state = blockedByOrder
}

// end ends a message without an attempt; the owner is told at the end of the turn.
func (e *Engine) endWithoutAttempt(queued *queuedMessage, outcome message.Outcome) {
	e.ended = append(e.ended, endedMessage{queued.message, outcome})
	e.remove(queued)
}

// remove forgets an entry; the next with its order key may run.
func (e *Engine) remove(queued *queuedMessage) {
	if successor := e.backlog.unlink(queued); successor != nil && successor.state == blockedByOrder {
		e.place(successor)
	}
}

// reportEnds tells the owner of messages that ended without an attempt. It does so apart from the loop, as the owner
// may take its time.
func (e *Engine) notifyEnded() {
	if len(e.ended) == 0 {
		return
	}
	ends := e.ended
	e.ended = nil
	e.ownerCalls.Go(func() {
		for _, ended := range ends {
			e.options.Owner.Ended(ended.message, ended.outcome)
		}
	})
}

// expire ends the messages whose retention is over, but for those that are with a decider.
func (e *Engine) expire(now time.Duration) {
	if now < e.nextExpiry {
		return
	}
	e.nextExpiry = never
	var expired []*queuedMessage
	e.backlog.each(func(queued *queuedMessage) {
		if queued.expired(now) && queued.state != dispatched {
			expired = append(expired, queued)
			return
		}
		e.nextExpiry = min(e.nextExpiry, max(queued.expires, now+minExpiryInterval))
	})
	e.deadLetterAll(expired)
}

// endAll ends messages that will never run. Ending one may end others that came behind it.
func (e *Engine) deadLetterAll(entries []*queuedMessage) {
	for _, queued := range entries {
		if queued.linked {
			e.endWithoutAttempt(queued, message.Outcome{State: message.DeadLetter})
		}
	}
}

// park keeps an entry whose partition may not deliver until that has changed.
func (e *Engine) park(queued *queuedMessage, now time.Duration) {
	queued.state = parked
	p := e.backlog.partitions[queued.message.Partition]
	p.parked = append(p.parked, queued)
	if _, known := e.parkedRecheckAt[queued.message.Partition]; !known {
		e.parkedRecheckAt[queued.message.Partition] = now + parkedRecheckInterval
	}
}

// unpark looks at the partitions that could not deliver.
func (e *Engine) recheckParked(now time.Duration) {
	for id, at := range e.parkedRecheckAt {
		if now < at {
			continue
		}
		p := e.backlog.partitions[id]
		if p == nil || len(p.parked) == 0 {
			delete(e.parkedRecheckAt, id)
			continue
		}
		if !e.mayDeliver(p.parked[0]) {
			e.parkedRecheckAt[id] = now + parkedRecheckInterval
			continue
		}
		delete(e.parkedRecheckAt, id)
		e.returnParked(p)
	}
}

// lookAtParked has all partitions and services looked at in this turn.
func (e *Engine) recheckAll() {
	e.markAllDirty()
	for id := range e.parkedRecheckAt {
		e.parkedRecheckAt[id] = 0
	}
}

func (e *Engine) returnParked(p *partition) {
	entries := p.parked
	p.parked = nil
	for _, queued := range entries {
		e.place(queued)
	}
}

// mayDeliver tells whether an entry's partition may deliver.
func (e *Engine) mayDeliver(queued *queuedMessage) bool {
	return e.gates.isOpen(queued.message.Partition, queued.generation) && e.options.Owner.MayDeliver(queued.message.Partition)
}

// forgetPartition drops what is queued of a partition. What is out stays known, in case the partition comes back.
func (e *Engine) dropPartition(id int, generation uint64) {
	p := e.backlog.partitions[id]
	if p == nil {
		return
	}
	p.parked = slices.DeleteFunc(p.parked, func(queued *queuedMessage) bool { return queued.generation < generation })
	p.each(func(queued *queuedMessage) {
		if queued.generation >= generation {
			return
		}
		e.backlog.unlink(queued)
		if queued.state == dispatched {
			queued.orphan = true
			e.backlog.orphans[keyOf(queued.message)] = queued
		}
	})
}
