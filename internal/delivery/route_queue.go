package delivery

import (
	"container/heap"
	"time"

	"gladepick/internal/configuration"
)

// routeQueue holds the messages of one route that are not blocked by order, parked or dispatched.
type routeQueue struct {
	name      string
	route     *configuration.Route // nil while the configuration has no such route
	service   *service             // nil if route is nil
	scheduled messageHeap          // not due yet, or in backoff; ordered by the time from which they may be dispatched
	ready     messageHeap          // due; the oldest first
	overdue   messageHeap          // too late to start within the route's target; ordered by rank
}

const (
	// rankPerFollower is added to the rank of an overdue message for each message that waits behind it.
	rankPerFollower = 4 * time.Second
	// longestRankDelay bounds what is added to a rank. A message is overtaken only by messages that were due at most
	// this much later.
	longestRankDelay = 12 * time.Second
)

func newRouteQueue(name string) *routeQueue {
	return &routeQueue{
		name:      name,
		scheduled: messageHeap{less: func(a, b *queuedMessage) bool { return a.notBefore < b.notBefore }},
		ready:     messageHeap{less: olderFirst},
		overdue:   messageHeap{less: lowerRankFirst},
	}
}

func olderFirst(a, b *queuedMessage) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	return a.message.Sequence < b.message.Sequence
}

func lowerRankFirst(a, b *queuedMessage) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return olderFirst(a, b)
}

// overdueRank returns the rank of an overdue message; a lower rank starts first. Messages with few followers start
// first: after an outage the small order groups are soon empty, and new messages with their order keys can start in
// time again.
func (queued *queuedMessage) overdueRank() time.Duration {
	if queued.orderGroup == nil {
		return queued.due
	}
	followers := time.Duration(len(queued.orderGroup.messages) - 1)
	return queued.due + min(followers*rankPerFollower, longestRankDelay)
}

// add queues a message until it is dispatched.
func (q *routeQueue) add(queued *queuedMessage, now time.Duration) {
	queued.state = inRouteQueue
	queued.routeQueue = q
	if max(queued.notBefore, queued.due) > now {
		queued.notBefore = max(queued.notBefore, queued.due)
		q.scheduled.add(queued)
		return
	}
	q.ready.add(queued)
}

// promote moves the scheduled messages that may be dispatched now to the ready messages.
func (q *routeQueue) promote(now time.Duration) {
	for len(q.scheduled.messages) > 0 && q.scheduled.messages[0].notBefore <= now {
		queued := q.scheduled.messages[0]
		q.scheduled.remove(queued)
		q.ready.add(queued)
	}
}

// nextDue returns when the first scheduled message may be dispatched.
func (q *routeQueue) nextDue() time.Duration {
	if len(q.scheduled.messages) == 0 {
		return never
	}
	return q.scheduled.messages[0].notBefore
}

// moveOverdue moves the ready messages that can no longer start within the route's target to the overdue messages.
func (q *routeQueue) moveOverdue(now time.Duration) {
	for queued := q.ready.first(); queued != nil && queued.startBy() < now; queued = q.ready.first() {
		q.ready.remove(queued)
		queued.rank = queued.overdueRank()
		q.overdue.add(queued)
	}
}

func (q *routeQueue) dueCount() int { return len(q.ready.messages) + len(q.overdue.messages) }

func (q *routeQueue) empty() bool { return len(q.scheduled.messages)+q.dueCount() == 0 }

// startBy returns the latest time at which a message starts within the target of its route. The route of its queue must
// not be nil.
func (queued *queuedMessage) startBy() time.Duration {
	return queued.due + queued.routeQueue.route.StartTarget
}

// messageHeap is a heap of messages. Each message records its index in the heap.
type messageHeap struct {
	messages []*queuedMessage
	less     func(a, b *queuedMessage) bool
}

// first returns the top of the heap, or nil if the heap is empty.
func (h *messageHeap) first() *queuedMessage {
	if len(h.messages) == 0 {
		return nil
	}
	return h.messages[0]
}

func (h *messageHeap) add(queued *queuedMessage) {
	queued.heap = h
	heap.Push(h, queued)
}

func (h *messageHeap) remove(queued *queuedMessage) { heap.Remove(h, queued.heapIndex) }

// Len implements heap.Interface.
func (h *messageHeap) Len() int { return len(h.messages) }

// Less implements heap.Interface.
func (h *messageHeap) Less(i, j int) bool { return h.less(h.messages[i], h.messages[j]) }

// Swap implements heap.Interface.
func (h *messageHeap) Swap(i, j int) {
	h.messages[i], h.messages[j] = h.messages[j], h.messages[i]
	h.messages[i].heapIndex, h.messages[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *messageHeap) Push(value any) {
	queued := value.(*queuedMessage)
	queued.heapIndex = len(h.messages)
	h.messages = append(h.messages, queued)
}

// Pop implements heap.Interface.
func (h *messageHeap) Pop() any {
	last := len(h.messages) - 1
	queued := h.messages[last]
	h.messages[last] = nil
	h.messages = h.messages[:last]
	queued.heap, queued.heapIndex = nil, 0
	return queued
}
