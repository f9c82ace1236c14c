package delivery

import (
	"time"

	"gladepick/internal/message"
)

// queueState is where a message waits.
type queueState uint8

const (
	blockedByOrder queueState = iota // an earlier message of its order group has not ended
	inRouteQueue                     // in one of the heaps of its route queue
	parked                           // its partition may not deliver now
	dispatched                       // held by the decision module, or an attempt is in flight
)

// queuedMessage is the event loop's record of a message that has not ended. Times are on the engine's clock.
type queuedMessage struct {
	message    *message.Message
	generation uint64 // of the partition, when the message was submitted
	failures   int    // responses with status 500 so far
	backoffs   uint8  // consecutive exponential backoffs; reset when a worker processes the message
	state      queueState
	linked     bool // it is on the list of its partition
	orphan     bool // its partition was released while an attempt was in flight
	due        time.Duration
	expires    time.Duration
	notBefore  time.Duration // the earliest time at which it may be dispatched next
	rank       time.Duration // its order among the overdue messages of its route
	heap       *messageHeap  // the heap it is in, or nil
	heapIndex  int
	routeQueue *routeQueue
	orderGroup *orderGroup    // nil without an order key
	previous   *queuedMessage // on the list of its partition
	next       *queuedMessage
}

func (queued *queuedMessage) expired(now time.Duration) bool { return now >= queued.expires }

// messageKey identifies a message within the store.
type messageKey struct {
	partition int
	sequence  uint64
}

func keyOf(m *message.Message) messageKey { return messageKey{m.Partition, m.Sequence} }

// backlog indexes all messages that have not ended by partition, by route and by order key.
type backlog struct {
	routeQueues map[string]*routeQueue // by route name
	orderGroups map[orderGroupKey]*orderGroup
	partitions  map[int]*partition
	orphans     map[messageKey]*queuedMessage
	size        int // number of messages, without orphans
}

// partition is a linked list of the messages of one partition, in no particular order.
type partition struct {
	first  *queuedMessage
	parked []*queuedMessage
}

func newBacklog() *backlog {
	return &backlog{
		routeQueues: make(map[string]*routeQueue),
		orderGroups: make(map[orderGroupKey]*orderGroup),
		partitions:  make(map[int]*partition),
		orphans:     make(map[messageKey]*queuedMessage),
	}
}

// link adds a message to its partition and to its order group.
func (b *backlog) link(queued *queuedMessage) {
	p := b.partitions[queued.message.Partition]
	if p == nil {
		p = &partition{}
		b.partitions[queued.message.Partition] = p
	}
	queued.previous, queued.next = nil, p.first
	if p.first != nil {
		p.first.previous = queued
	}
	p.first = queued
	queued.linked = true
	b.size++
	if queued.message.OrderKey != "" {
		b.orderGroupOf(queued).insert(queued)
	}
}

// unlink removes a message from its partition, from its order group and from the heap or list in which it waits. If the
// order group has a new first message, unlink returns it.
func (b *backlog) unlink(queued *queuedMessage) (successor *queuedMessage) {
	p := b.partitions[queued.message.Partition]
	if queued.previous != nil {
		queued.previous.next = queued.next
	} else {
		p.first = queued.next
	}
	if queued.next != nil {
		queued.next.previous = queued.previous
	}
	queued.previous, queued.next, queued.linked = nil, nil, false
	b.size--
	if queued.state == parked {
		p.unpark(queued)
	}
	if p.first == nil {
		delete(b.partitions, queued.message.Partition)
	}
	if queued.heap != nil {
		queued.heap.remove(queued)
	}
	return b.leaveOrderGroup(queued)
}

func (b *backlog) leaveOrderGroup(queued *queuedMessage) (successor *queuedMessage) {
	if queued.orderGroup == nil {
		return nil
	}
	successor = queued.orderGroup.remove(queued)
	if len(queued.orderGroup.messages) == 0 {
		delete(b.orderGroups, orderGroupKey{queued.message.Partition, queued.message.OrderKey})
	}
	queued.orderGroup = nil
	return successor
}

func (p *partition) unpark(queued *queuedMessage) {
	for i, found := range p.parked {
		if found == queued {
			p.parked = append(p.parked[:i], p.parked[i+1:]...)
			return
		}
	}
}

func (b *backlog) orderGroupOf(queued *queuedMessage) *orderGroup {
	key := orderGroupKey{queued.message.Partition, queued.message.OrderKey}
	group := b.orderGroups[key]
	if group == nil {
		group = &orderGroup{}
		b.orderGroups[key] = group
	}
	return group
}

// forEach calls a function for every message that is not an orphan. The function may unlink the message that it is
// called with, but no other.
func (b *backlog) forEach(visit func(*queuedMessage)) {
	for _, p := range b.partitions {
		p.forEach(visit)
	}
}

func (p *partition) forEach(visit func(*queuedMessage)) {
	for queued := p.first; queued != nil; {
		next := queued.next
		visit(queued)
		queued = next
	}
}
