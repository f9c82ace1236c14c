package delivery

import (
	"context"
	"slices"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/message"
)

const (
	parkedLook  = 50 * time.Millisecond // between looks at partitions that may not deliver
	expiryLook  = time.Second           // between looks for expired messages, at least
	longestIdle = time.Minute
)

// loop handles events and starts what is due until the context ends.
func (e *Engine) loop(ctx context.Context) {
	wake := time.NewTimer(longestIdle)
	defer wake.Stop()
	for ctx.Err() == nil {
		wake.Reset(e.turn())
		select {
		case <-ctx.Done():
		case <-e.mailbox.wake:
		case <-wake.C:
		}
	}
}

// turn handles everything there is to do now, and returns for how long there will be nothing more.
func (e *Engine) turn() time.Duration {
	for _, ev := range e.mailbox.take() {
		ev.apply(e)
	}
	now := e.now()
	for {
		expired, found := e.timers.expired(now)
		if !found {
			break
		}
		expired.decider.handle(&decision.Event{Kind: decision.EventTimer, Token: expired.token})
		e.agenda.touch(expired.decider.service)
	}
	e.unpark(now)
	e.expire(now)
	next := e.lookAtServices(now)
	if len(e.ends) > 0 {
		next = now // what came behind them may be due
	}
	e.reportEnds()
	e.gauges.queued.Store(int64(e.queue.size))
	next = min(next, e.nextTimer())
	return min(max(next-e.now(), 0), longestIdle)
}

// nextTimer is when something comes due that no event announces.
func (e *Engine) nextTimer() time.Duration {
	next := min(e.timers.next(), e.nextExpiry)
	for _, at := range e.parkedAt {
		next = min(next, at)
	}
	return next
}

// finishAttempts waits for the attempts in flight after the loop has ended, and settles them.
func (e *Engine) finishAttempts() {
	e.flights.Wait()
	for _, ev := range e.mailbox.take() {
		ev.apply(e)
	}
	e.reportEnds()
	e.flights.Wait()
}

// accept takes in a submitted message.
func (e *Engine) accept(m *message.Message, failures int, generation uint64) {
	if generation < e.gate.generation(m.Partition) {
		return // released meanwhile
	}
	if orphan := e.queue.orphans[keyOf(m)]; orphan != nil {
		e.readopt(orphan, failures, generation)
		return
	}
	en := &entry{message: m, failures: failures, generation: generation, due: e.at(m.DueAt), expires: never}
	if !m.ExpiresAt.IsZero() {
		en.expires = e.at(m.ExpiresAt)
	}
	e.nextExpiry = min(e.nextExpiry, en.expires)
	e.queue.link(en)
	e.place(en)
}

// readopt takes a message back whose partition went and came while its attempt was out.
func (e *Engine) readopt(en *entry, failures int, generation uint64) {
	delete(e.queue.orphans, keyOf(en.message))
	en.orphan, en.generation = false, generation
	en.failures = max(en.failures, failures)
	e.nextExpiry = min(e.nextExpiry, en.expires)
	e.queue.link(en)
	if en.chain != nil && en.chain.first(en) && len(en.chain.entries) > 1 {
		e.holdBack(en.chain.entries[1])
	}
}

// place puts an entry where it belongs by its chain, its route and its partition.
func (e *Engine) place(en *entry) {
	if en.chain != nil && !en.chain.first(en) {
		en.placement = behindAnother
		return
	}
	if en.chain != nil && len(en.chain.entries) > 1 {
		e.holdBack(en.chain.entries[1]) // it was first until now
	}
	if e.routeDropped(en) {
		e.end(en, message.Outcome{State: message.DeadLetter})
		return
	}
	l := e.laneFor(en.message.Route)
	l.add(en, e.now())
	e.agenda.touch(l.service)
}

// holdBack takes an entry out of its lane as another one comes first in its chain.
func (e *Engine) holdBack(en *entry) {
	switch en.placement {
	case inLane:
		en.heap.remove(en)
	case parked:
		e.queue.partitions[en.message.Partition].unpark(en)
	default:
		return
	}
	en.placement = behindAnother
}

// end ends a message without an attempt; the owner is told at the end of the turn.
func (e *Engine) end(en *entry, outcome message.Outcome) {
	e.ends = append(e.ends, ending{en.message, outcome})
	e.remove(en)
}

// remove forgets an entry; the next with its order key may run.
func (e *Engine) remove(en *entry) {
	if successor := e.queue.unlink(en); successor != nil && successor.placement == behindAnother {
		e.place(successor)
	}
}

// reportEnds tells the owner of messages that ended without an attempt. It does so apart from the loop, as the owner
// may take its time.
func (e *Engine) reportEnds() {
	if len(e.ends) == 0 {
		return
	}
	ends := e.ends
	e.ends = nil
	e.flights.Go(func() {
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
	var expired []*entry
	e.queue.each(func(en *entry) {
		if en.expired(now) && en.placement != withDecider {
			expired = append(expired, en)
			return
		}
		e.nextExpiry = min(e.nextExpiry, max(en.expires, now+expiryLook))
	})
	e.endAll(expired)
}

// endAll ends messages that will never run. Ending one may end others that came behind it.
func (e *Engine) endAll(entries []*entry) {
	for _, en := range entries {
		if en.linked {
			e.end(en, message.Outcome{State: message.DeadLetter})
		}
	}
}

// park keeps an entry whose partition may not deliver until that has changed.
func (e *Engine) park(en *entry, now time.Duration) {
	en.placement = parked
	p := e.queue.partitions[en.message.Partition]
	p.parked = append(p.parked, en)
	if _, known := e.parkedAt[en.message.Partition]; !known {
		e.parkedAt[en.message.Partition] = now + parkedLook
	}
}

// unpark looks at the partitions that could not deliver.
func (e *Engine) unpark(now time.Duration) {
	for id, at := range e.parkedAt {
		if now < at {
			continue
		}
		p := e.queue.partitions[id]
		if p == nil || len(p.parked) == 0 {
			delete(e.parkedAt, id)
			continue
		}
		if !e.mayDeliver(p.parked[0]) {
			e.parkedAt[id] = now + parkedLook
			continue
		}
		delete(e.parkedAt, id)
		e.returnParked(p)
	}
}

// lookAtParked has all partitions and services looked at in this turn.
func (e *Engine) lookAtParked() {
	e.touchAll()
	for id := range e.parkedAt {
		e.parkedAt[id] = 0
	}
}

func (e *Engine) returnParked(p *partition) {
	entries := p.parked
	p.parked = nil
	for _, en := range entries {
		e.place(en)
	}
}

// mayDeliver tells whether an entry's partition may deliver.
func (e *Engine) mayDeliver(en *entry) bool {
	return e.gate.open(en.message.Partition, en.generation) && e.options.Owner.MayDeliver(en.message.Partition)
}

// forgetPartition drops what is queued of a partition. What is out stays known, in case the partition comes back.
func (e *Engine) forgetPartition(id int, generation uint64) {
	p := e.queue.partitions[id]
	if p == nil {
		return
	}
	p.parked = slices.DeleteFunc(p.parked, func(en *entry) bool { return en.generation < generation })
	p.each(func(en *entry) {
		if en.generation >= generation {
			return
		}
		e.queue.unlink(en)
		if en.placement == withDecider {
			en.orphan = true
			e.queue.orphans[keyOf(en.message)] = en
		}
	})
}
