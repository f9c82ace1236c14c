package delivery

import (
	"time"

	"gladepick/internal/message"
)

// placement says where an entry is kept.
type placement uint8

const (
	behindAnother placement = iota // in a chain, another message with its order key comes first
	inLane                         // in one of its lane's heaps
	parked                         // its partition may not deliver
	withDecider                    // the decision module has it, or an attempt is out
)

// entry is a message that has not ended.
type entry struct {
	message    *message.Message
	generation uint64 // of its partition when it was submitted
	failures   int
	retries    uint8 // pauses in a row without an answer from a worker
	placement  placement
	linked     bool // it is in its partition's list
	orphan     bool // its partition was released while an attempt was out
	due        time.Duration
	expires    time.Duration
	notBefore  time.Duration // when it may be looked at next
	rank       time.Duration // its place among the late entries of its lane
	heap       *entryHeap    // the heap it is in
	heapIndex  int
	lane       *lane
	chain      *chain
	previous   *entry // in its partition's list
	next       *entry
}

func (en *entry) expired(now time.Duration) bool { return now >= en.expires }

// messageKey names a message within the store.
type messageKey struct {
	partition int
	sequence  uint64
}

func keyOf(m *message.Message) messageKey { return messageKey{m.Partition, m.Sequence} }

// queue holds all entries.
type queue struct {
	lanes      map[string]*lane // by route name
	chains     map[chainKey]*chain
	partitions map[int]*partition
	orphans    map[messageKey]*entry
	size       int // without orphans
}

// partition lists a partition's entries, in no particular order.
type partition struct {
	first  *entry
	parked []*entry
}

func newQueue() *queue {
	return &queue{
		lanes:      make(map[string]*lane),
		chains:     make(map[chainKey]*chain),
		partitions: make(map[int]*partition),
		orphans:    make(map[messageKey]*entry),
	}
}

// link takes an entry into its partition and chain.
func (q *queue) link(en *entry) {
	p := q.partitions[en.message.Partition]
	if p == nil {
		p = &partition{}
		q.partitions[en.message.Partition] = p
	}
	en.previous, en.next = nil, p.first
	if p.first != nil {
		p.first.previous = en
	}
	p.first = en
	en.linked = true
	q.size++
	if en.message.OrderKey != "" {
		q.chainOf(en).insert(en)
	}
}

// unlink takes an entry out of its partition, its chain and wherever it is kept. It returns the entry that comes
// first in the chain now, if that has changed.
func (q *queue) unlink(en *entry) (successor *entry) {
	p := q.partitions[en.message.Partition]
	if en.previous != nil {
		en.previous.next = en.next
	} else {
		p.first = en.next
	}
	if en.next != nil {
		en.next.previous = en.previous
	}
	en.previous, en.next, en.linked = nil, nil, false
	q.size--
	if en.placement == parked {
		p.unpark(en)
	}
	if p.first == nil {
		delete(q.partitions, en.message.Partition)
	}
	if en.heap != nil {
		en.heap.remove(en)
	}
	return q.leaveChain(en)
}

func (q *queue) leaveChain(en *entry) (successor *entry) {
	if en.chain == nil {
		return nil
	}
	successor = en.chain.remove(en)
	if len(en.chain.entries) == 0 {
		delete(q.chains, chainKey{en.message.Partition, en.message.OrderKey})
	}
	en.chain = nil
	return successor
}

func (p *partition) unpark(en *entry) {
	for i, found := range p.parked {
		if found == en {
			p.parked = append(p.parked[:i], p.parked[i+1:]...)
			return
		}
	}
}

func (q *queue) chainOf(en *entry) *chain {
	key := chainKey{en.message.Partition, en.message.OrderKey}
	found := q.chains[key]
	if found == nil {
		found = &chain{}
		q.chains[key] = found
	}
	return found
}

// each calls a function for every entry that is no orphan. The function may unlink the entry it is given, and no other.
func (q *queue) each(visit func(*entry)) {
	for _, p := range q.partitions {
		p.each(visit)
	}
}

func (p *partition) each(visit func(*entry)) {
	for en := p.first; en != nil; {
		next := en.next
		visit(en)
		en = next
	}
}
