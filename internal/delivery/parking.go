package delivery

import (
	"slices"
	"time"
)

// parkedRecheckInterval is the time between two checks whether a partition with parked messages may deliver again.
const parkedRecheckInterval = 50 * time.Millisecond

// mayDeliver reports whether the partition of a message may deliver now.
func (e *Engine) mayDeliver(queued *queuedMessage) bool {
	return e.gates.isOpen(queued.message.Partition, queued.generation) && e.options.Owner.MayDeliver(queued.message.Partition)
}

// park holds a message back until its partition may deliver.
func (e *Engine) park(queued *queuedMessage, now time.Duration) {
	queued.state = parked
	p := e.backlog.partitions[queued.message.Partition]
	p.parked = append(p.parked, queued)
	if _, known := e.parkedRecheckAt[queued.message.Partition]; !known {
		e.parkedRecheckAt[queued.message.Partition] = now + parkedRecheckInterval
	}
}

// recheckParked returns parked messages to their route queues if their partition may deliver again.
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

func (e *Engine) returnParked(p *partition) {
	messages := p.parked
	p.parked = nil
	for _, queued := range messages {
		e.place(queued)
	}
}

// recheckAll makes the current turn check all partitions that have parked messages, and run all services.
func (e *Engine) recheckAll() {
	e.markAllDirty()
	for id := range e.parkedRecheckAt {
		e.parkedRecheckAt[id] = 0
	}
}

// dropPartition drops the messages of a released partition that are older than a generation. Messages that are
// dispatched are kept as orphans, because the partition may be reacquired before their attempts have ended.
func (e *Engine) dropPartition(id int, generation uint64) {
	p := e.backlog.partitions[id]
	if p == nil {
		return
	}
	p.parked = slices.DeleteFunc(p.parked, func(queued *queuedMessage) bool { return queued.generation < generation })
	p.forEach(func(queued *queuedMessage) {
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
