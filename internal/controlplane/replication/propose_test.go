package replication

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRejectedChangeIsReported(t *testing.T) {
	inCluster(t, 3, 2, 2, func(c *cluster) {
		leader := c.awaitPrimary(time.Second)
		assert.ErrorIs(c.t, leader.propose("reject", time.Second), errRejected)
		leader.mustPropose("a")
		c.awaitAllHold(time.Second, "a")
	})
}

func TestProposalsWaitForTheReplicationFactor(t *testing.T) {
	inCluster(t, 3, 3, 2, func(c *cluster) {
		leader := c.awaitPrimary(time.Second)
		leader.mustPropose("a")
		c.nodes[1].kill()
		assert.Assert(c.t, leader.propose("b", 2*time.Second) != nil)
		assert.ErrorIs(c.t, leader.propose("c", 2*time.Second), ErrNotPrimary)
		assert.NilError(c.t, leader.readBarrier(time.Second))
		c.nodes[1].restart()
		c.awaitInSync(2*time.Second, 3)
		leader.mustPropose("d")
	})
}

func TestConcurrentProposalsShareSyncs(t *testing.T) {
	inCluster(t, 3, 2, 1, func(c *cluster) {
		leader := c.awaitPrimary(time.Second)
		backup := c.nodes[1]
		before := backup.disk.Syncs()
		outcomes := make(chan error)
		for i := range 100 {
			go func() { outcomes <- leader.propose(fmt.Sprint(i), time.Second) }()
		}
		for range 100 {
			assert.NilError(c.t, <-outcomes)
		}
		syncs := backup.disk.Syncs() - before
		assert.Assert(c.t, syncs <= 10, "%d syncs", syncs)
	})
}

// TestDurableBarrierWaitsForEnoughDisks guards against a durable barrier that returns while a change is committed on
// fewer disks than an acknowledgement needs.
func TestDurableBarrierWaitsForEnoughDisks(t *testing.T) {
	inCluster(t, 3, 3, 1, func(c *cluster) {
		primary := c.awaitPrimary(time.Second)
		primary.mustPropose("a")
		c.awaitInSync(time.Second, 3)
		lost := c.nodes[2]
		if lost == primary {
			lost = c.nodes[1]
		}
		lost.powerOff()
		proposed := make(chan error, 1)
		go func() { proposed <- primary.propose("b", 20*time.Second) }()
		c.awaitInSync(3*time.Second, 2)
		assert.NilError(t, primary.readBarrier(time.Second))
		ctx, cancel := context.WithTimeout(c.t.Context(), 2*time.Second)
		defer cancel()
		assert.Assert(t, primary.process().group.DurableBarrier(ctx) != nil)
		lost.restart()
		assert.NilError(t, <-proposed)
		assert.NilError(t, primary.process().group.DurableBarrier(c.t.Context()))
	})
}
