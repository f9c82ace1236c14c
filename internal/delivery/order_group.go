package delivery

import (
	"cmp"
	"slices"
)

// orderGroupKey identifies an order group: messages that are delivered strictly one after the other.
type orderGroupKey struct {
	partition int
	orderKey  string
}

// orderGroup holds the messages of one order key and partition by their sequence numbers. Only the first message may be
// dispatched; the next one follows when the first has ended.
type orderGroup struct{ messages []*queuedMessage }

// insert adds a message by its sequence number. A message that is dispatched stays the first, whatever is added: two
// messages of a group are never in flight at the same time.
func (g *orderGroup) insert(queued *queuedMessage) {
	queued.orderGroup = g
	index, _ := slices.BinarySearchFunc(g.messages, queued, func(a, b *queuedMessage) int {
		return cmp.Compare(a.message.Sequence, b.message.Sequence)
	})
	if index == 0 && len(g.messages) > 0 && g.messages[0].state == dispatched && queued.state != dispatched {
		index = 1
	}
	g.messages = slices.Insert(g.messages, index, queued)
}

// isFirst reports whether a message is the one that may be dispatched.
func (g *orderGroup) isFirst(queued *queuedMessage) bool { return g.messages[0] == queued }

// remove removes a message. If the message was the first, remove returns the new first message, or nil if there is
// none.
func (g *orderGroup) remove(queued *queuedMessage) *queuedMessage {
	index := slices.Index(g.messages, queued)
	if index < 0 {
		return nil
	}
	g.messages = slices.Delete(g.messages, index, index+1)
	if index > 0 || len(g.messages) == 0 {
		return nil
	}
	return g.messages[0]
}
