package delivery_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/message"
)

func TestPausedPartitionsDeliverNothing(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.addWorker("i-1", "s", "10.0.1.1").respondWith(succeedAfter(100 * time.Millisecond))
		h.configure()
		h.setWorkers()
		h.engine.PausePartition(1)
		h.owner.block(2, true)
		for partition := range 3 {
			h.submit(fmt.Sprint("m", partition), "r", withPartition(partition))
		}
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, h.engine.InFlight(), 1)
		assert.Equal(t, h.engine.InFlightOf(0), 1)
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.countEnded(), 1)
		h.engine.ResumePartition(1)
		h.owner.block(2, false)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, h.owner.countEnded(), 3)

		h.engine.Pause()
		h.submit("later", "r")
		time.Sleep(time.Second)
		assert.Equal(t, len(h.requests()), 3)
		h.engine.Resume()
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.state("later"), message.Completed)
	})
}

// TestReleaseDropsQueuedMessagesOnly checks that the queued messages of a released partition are dropped, and that
// attempts in flight run to their end, even if the partition is reacquired in the meantime.
func TestReleaseDropsQueuedMessagesOnly(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		fake.respondWith(succeedAfter(300 * time.Millisecond))
		h.configure()
		h.setWorkers()
		first := h.submit("first", "r", withKey("k"))
		second := h.submit("second", "r", withKey("k"))
		time.Sleep(100 * time.Millisecond)
		h.engine.Release(0)
		assert.Equal(t, h.engine.InFlightOf(0), 1)
		h.engine.Submit(first, 0)
		h.engine.Submit(second, 0)
		time.Sleep(time.Second)
		assert.DeepEqual(t, h.owner.ends(), []string{"first", "second"})
		assert.Equal(t, len(h.requests()), 2)

		h.submit("out", "r")
		time.Sleep(100 * time.Millisecond)
		h.submit("queued", "r", dueAfter(time.Second))
		h.engine.Release(0)
		time.Sleep(5 * time.Second)
		assert.Equal(t, h.owner.state("out"), message.Completed)
		assert.Equal(t, h.owner.state("queued"), message.Queued)
		assert.Equal(t, len(h.requests()), 3)
		assert.Equal(t, h.engine.Stats().Queued, 0)
	})
}
