package delivery

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/message"
)

func TestOrderGroupsKeepTheSequence(t *testing.T) {
	q := newBacklog()
	entryOf := func(sequence uint64) *queuedMessage {
		return &queuedMessage{message: &message.Message{Sequence: sequence, OrderKey: "k"}}
	}
	first, second, third := entryOf(1), entryOf(2), entryOf(3)
	for _, queued := range []*queuedMessage{third, first, second} {
		q.link(queued)
	}
	assert.Assert(t, first.orderGroup.isFirst(first))
	assert.Assert(t, q.unlink(second) == nil)
	assert.Assert(t, q.unlink(first) == third)
	third.state = dispatched
	early := entryOf(0)
	q.link(early)
	assert.Assert(t, third.orderGroup.isFirst(third), "one that is out stays the first")
	assert.Assert(t, q.unlink(third) == early)
	assert.Assert(t, q.unlink(early) == nil)
	assert.Equal(t, len(q.orderGroups)+len(q.partitions)+q.size, 0)
}
