package delivery

import "gladepick/internal/message"

// enqueue adds a submitted message to the backlog.
func (e *Engine) enqueue(m *message.Message, failures int, generation uint64) {
	if generation < e.gates.generation(m.Partition) {
		return // its partition was released after Submit
	}
	if orphan := e.backlog.orphans[keyOf(m)]; orphan != nil {
		e.reclaim(orphan, failures, generation)
		return
	}
	queued := &queuedMessage{message: m, failures: failures, generation: generation, due: e.clockTime(m.DueAt), expires: never}
	if !m.ExpiresAt.IsZero() {
		queued.expires = e.clockTime(m.ExpiresAt)
	}
	e.nextExpiry = min(e.nextExpiry, queued.expires)
	e.backlog.link(queued)
	e.place(queued)
}

// reclaim returns an orphan to the backlog: its partition was released and reacquired while its attempt is in flight.
func (e *Engine) reclaim(orphan *queuedMessage, failures int, generation uint64) {
	delete(e.backlog.orphans, keyOf(orphan.message))
	orphan.orphan, orphan.generation = false, generation
	orphan.failures = max(orphan.failures, failures)
	e.nextExpiry = min(e.nextExpiry, orphan.expires)
	e.backlog.link(orphan)
	if orphan.orderGroup != nil && orphan.orderGroup.isFirst(orphan) && len(orphan.orderGroup.messages) > 1 {
		e.blockByOrder(orphan.orderGroup.messages[1])
	}
}

// place blocks a message behind the first message of its order group, or adds it to the queue of its route. If the
// operator has removed the route, the message ends.
func (e *Engine) place(queued *queuedMessage) {
	if queued.orderGroup != nil && !queued.orderGroup.isFirst(queued) {
		queued.state = blockedByOrder
		return
	}
	if queued.orderGroup != nil && len(queued.orderGroup.messages) > 1 {
		e.blockByOrder(queued.orderGroup.messages[1]) // it was the first until now
	}
	if e.routeRemoved(queued) {
		e.endWithoutAttempt(queued, deadLetter)
		return
	}
	q := e.routeQueueFor(queued.message.Route)
	q.add(queued, e.now())
	e.schedule.markDirty(q.service)
}

// blockByOrder removes a message from its route queue or from the parked messages, because an earlier message of its
// order group was added. A message that is dispatched stays dispatched.
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

// remove removes a message from the backlog and places the next message of its order group.
func (e *Engine) remove(queued *queuedMessage) {
	if successor := e.backlog.unlink(queued); successor != nil && successor.state == blockedByOrder {
		e.place(successor)
	}
}
