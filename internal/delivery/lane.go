package delivery

import (
	"container/heap"
	"time"

	"gladepick/internal/configuration"
)

// lane holds the entries of one route that may run, but for those that are parked or with a decider.
type lane struct {
	name    string
	route   *configuration.Route // nil while the configuration has no such route
	service *service
	waiting entryHeap // not to be looked at yet, by the time of the next look
	ready   entryHeap // due, the oldest first
	late    entryHeap // those that can't start in time any more, by their rank
}

const (
	// rankPerFollower is by how much later a late message ranks for each message that waits behind it.
	rankPerFollower = 4 * time.Second
	// longestRankDelay bounds that, so that a message is passed only by those that were due at most so much later.
	longestRankDelay = 12 * time.Second
)

func newLane(name string) *lane {
	return &lane{
		name:    name,
		waiting: entryHeap{less: func(a, b *entry) bool { return a.notBefore < b.notBefore }},
		ready:   entryHeap{less: olderFirst},
		late:    entryHeap{less: lowerRankFirst},
	}
}

func olderFirst(a, b *entry) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	return a.message.Sequence < b.message.Sequence
}

func lowerRankFirst(a, b *entry) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return olderFirst(a, b)
}

// lateRank orders late messages. Those with few behind them go first: after an outage the short chains are soon empty,
// and new messages with their order keys can start in time again.
func (en *entry) lateRank() time.Duration {
	if en.chain == nil {
		return en.due
	}
	followers := time.Duration(len(en.chain.entries) - 1)
	return en.due + min(followers*rankPerFollower, longestRankDelay)
}

// add keeps an entry until it may be looked at.
func (l *lane) add(en *entry, now time.Duration) {
	en.placement = inLane
	en.lane = l
	if max(en.notBefore, en.due) > now {
		en.notBefore = max(en.notBefore, en.due)
		l.waiting.add(en)
		return
	}
	l.ready.add(en)
}

// promote moves what is due by now to the ready entries.
func (l *lane) promote(now time.Duration) {
	for len(l.waiting.entries) > 0 && l.waiting.entries[0].notBefore <= now {
		en := l.waiting.entries[0]
		l.waiting.remove(en)
		l.ready.add(en)
	}
}

// nextDue is when the first waiting entry is due.
func (l *lane) nextDue() time.Duration {
	if len(l.waiting.entries) == 0 {
		return never
	}
	return l.waiting.entries[0].notBefore
}

// splitLate moves the ready entries aside that can't start in time any more.
func (l *lane) splitLate(now time.Duration) {
	for en := l.ready.first(); en != nil && en.wanted() < now; en = l.ready.first() {
		l.ready.remove(en)
		en.rank = en.lateRank()
		l.late.add(en)
	}
}

func (l *lane) dueCount() int { return len(l.ready.entries) + len(l.late.entries) }

func (l *lane) empty() bool { return len(l.waiting.entries)+l.dueCount() == 0 }

// wanted is by when an entry in a lane with a route should start.
func (en *entry) wanted() time.Duration { return en.due + en.lane.route.StartTarget }

// entryHeap is a heap of entries that know their place in it.
type entryHeap struct {
	entries []*entry
	less    func(a, b *entry) bool
}

// first is the top of the heap, or nil.
func (h *entryHeap) first() *entry {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[0]
}

func (h *entryHeap) add(en *entry) {
	en.heap = h
	heap.Push(h, en)
}

func (h *entryHeap) remove(en *entry) { heap.Remove(h, en.heapIndex) }

// Len implements heap.Interface.
func (h *entryHeap) Len() int { return len(h.entries) }

// Less implements heap.Interface.
func (h *entryHeap) Less(i, j int) bool { return h.less(h.entries[i], h.entries[j]) }

// Swap implements heap.Interface.
func (h *entryHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].heapIndex, h.entries[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(value any) {
	en := value.(*entry)
	en.heapIndex = len(h.entries)
	h.entries = append(h.entries, en)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	en := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	en.heap, en.heapIndex = nil, 0
	return en
}
