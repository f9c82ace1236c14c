package delivery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/configuration"
	"gladepick/internal/message"
)

// TestOverdueMessagesRankByTheirFollowers checks that after an outage the order groups with few messages are emptied
// first, but that nothing is overtaken by what came much later.
func TestOverdueMessagesRankByTheirFollowers(t *testing.T) {
	q := newBacklog()
	l := newRouteQueue("r")
	l.route = &configuration.Route{Name: "r", StartTarget: time.Second}
	sequence := uint64(0)
	submit := func(key string, due time.Duration) {
		sequence++
		queued := &queuedMessage{message: &message.Message{Sequence: sequence, OrderKey: key}, due: due, expires: never}
		q.link(queued)
		if queued.orderGroup.isFirst(queued) {
			l.add(queued, time.Minute)
		}
	}
	for range 100 {
		submit("long", 0)
	}
	submit("pair", time.Second)
	submit("pair", time.Second)
	submit("single", 2*time.Second)
	submit("much later", longestRankDelay+time.Second)
	l.moveOverdue(time.Minute)
	var order []string
	for queued := l.overdue.first(); queued != nil; queued = l.overdue.first() {
		order = append(order, queued.message.OrderKey)
		l.overdue.remove(queued)
	}
	assert.DeepEqual(t, order, []string{"single", "pair", "long", "much later"})
}
