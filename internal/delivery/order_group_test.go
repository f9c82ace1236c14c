package delivery

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/message"
)

func TestOrderGroupKeepsSequenceOrder(t *testing.T) {
	b := newBacklog()
	entryOf := func(sequence uint64) *queuedMessage {
		return &queuedMessage{message: &message.Message{Sequence: sequence, OrderKey: "k"}}
	}
	first, second, third := entryOf(1), entryOf(2), entryOf(3)
	for _, queued := range []*queuedMessage{third, first, second} {
		b.link(queued)
	}
	assert.Assert(t, first.orderGroup.isFirst(first))
	assert.Assert(t, b.unlink(second) == nil)
	assert.Assert(t, b.unlink(first) == third)
	third.state = dispatched
	early := entryOf(0)
	b.link(early)
	assert.Assert(t, third.orderGroup.isFirst(third), "a dispatched message stays the first")
	assert.Assert(t, b.unlink(third) == early)
	assert.Assert(t, b.unlink(early) == nil)
	assert.Equal(t, len(b.orderGroups)+len(b.partitions)+b.size, 0)
}
