package delivery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/configuration"
	"gladepick/internal/message"
)

// TestSmallOrderGroupsDrainFirst checks that after an outage the order groups with few messages are emptied first, but
// that no message is overtaken by one that was due much later.
func TestSmallOrderGroupsDrainFirst(t *testing.T) {
	b := newBacklog()
	queue := newRouteQueue("r")
	queue.route = &configuration.Route{Name: "r", StartTarget: time.Second}
	sequence := uint64(0)
	submit := func(key string, due time.Duration) {
		sequence++
		queued := &queuedMessage{message: &message.Message{Sequence: sequence, OrderKey: key}, due: due, expires: never}
		b.link(queued)
		if queued.orderGroup.isFirst(queued) {
			queue.add(queued, time.Minute)
		}
	}
	for range 100 {
		submit("long", 0)
	}
	submit("pair", time.Second)
	submit("pair", time.Second)
	submit("single", 2*time.Second)
	submit("much later", longestRankDelay+time.Second)
	queue.moveOverdue(time.Minute)
	var order []string
	for queued := queue.overdue.first(); queued != nil; queued = queue.overdue.first() {
		order = append(order, queued.message.OrderKey)
		queue.overdue.remove(queued)
	}
	assert.DeepEqual(t, order, []string{"single", "pair", "long", "much later"})
}
