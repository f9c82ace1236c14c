package replication

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStalledDiskOfPrimaryMakesItResign(t *testing.T) {
	inCluster(t, 3, 2, 4, func(c *cluster) {
		old := c.awaitPrimary(time.Second)
		old.mustPropose("a")
		old.disk.SetStalled(true)
		go func() { _ = old.propose("stalled", 5*time.Second) }()
		next := c.awaitOtherPrimary(3*time.Second, old)
		next.mustPropose("b")
		old.disk.SetStalled(false)
		c.awaitInSync(3*time.Second, 3)
	})
}

func TestBackupWithAStalledDiskLeavesTheInSyncSet(t *testing.T) {
	inCluster(t, 3, 2, 4, func(c *cluster) {
		leader := c.awaitPrimary(time.Second)
		leader.mustPropose("a")
		c.nodes[1].disk.SetStalled(true)
		leader.mustPropose("b")
		assert.NilError(c.t, leader.propose("c", 500*time.Millisecond))
		c.nodes[1].disk.SetStalled(false)
		c.awaitInSync(4*time.Second, 3)
		c.awaitAllHold(time.Second, "a", "b", "c")
	})
}

func TestAFullDiskMakesThePrimaryResign(t *testing.T) {
	inCluster(t, 3, 2, 1, func(c *cluster) {
		old := c.awaitPrimary(time.Second)
		old.mustPropose("a")
		old.disk.SetFull(true)
		assert.Assert(c.t, old.propose("b", 2*time.Second) != nil)
		next := c.awaitOtherPrimary(3*time.Second, old)
		next.mustPropose("c")
		old.disk.SetFull(false)
		c.awaitInSync(4*time.Second, 3)
		held := next.process().machine.list()
		c.awaitAllHold(2*time.Second, held...)
		assert.Equal(c.t, firstMissing(held, []string{"a", "c"}), "")
	})
}
