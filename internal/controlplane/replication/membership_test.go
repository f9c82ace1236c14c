package replication

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMembersAreAddedAndRemoved(t *testing.T) {
	inCluster(t, 3, 2, 1, func(c *cluster) {
		leader := c.awaitPrimary(time.Second)
		leader.mustPropose("a")
		for size := 4; size <= 6; size++ {
			added := c.addNode()
			added.start()
			assert.NilError(c.t, leader.process().group.AddMember(c.t.Context(), added.member))
			c.awaitInSync(time.Second, size)
		}
		removed := c.nodes[1]
		assert.NilError(c.t, leader.process().group.RemoveMember(c.t.Context(), removed.member.DiskID))
		c.awaitInSync(time.Second, 5)
		view := leader.process().group.Role().View
		assert.Equal(c.t, len(view.Members), 5)
		assert.Equal(c.t, len(view.Previous), 0)
		leader.mustPropose("b")
		leader.kill()
		next := c.awaitOtherPrimary(time.Second, leader)
		assert.Assert(c.t, next != removed)
		next.mustPropose("c")
		time.Sleep(5 * time.Second)
		assert.Equal(c.t, len(c.primaries()), 1)
	})
}

func TestPrimaryDoesNotRemoveItself(t *testing.T) {
	inCluster(t, 3, 2, 1, func(c *cluster) {
		leader := c.awaitPrimary(time.Second)
		assert.Assert(c.t, leader.process().group.RemoveMember(c.t.Context(), leader.member.DiskID) != nil)
	})
}

func TestWipedMemberDoesNotRejoinUntilReplaced(t *testing.T) {
	inCluster(t, 3, 2, 1, func(c *cluster) {
		leader := c.awaitPrimary(time.Second)
		leader.mustPropose("a")
		wiped := c.nodes[1]
		oldID := wiped.member.DiskID
		wiped.wipe()
		wiped.restart()
		c.awaitInSync(2*time.Second, 2)
		assert.Assert(c.t, wiped.process().group.witness.record().Accepted == nil)
		assert.NilError(c.t, leader.process().group.ReplaceMember(c.t.Context(), oldID, wiped.member))
		c.awaitInSync(time.Second, 3)
		leader.mustPropose("b")
		c.awaitAllHold(time.Second, "a", "b")
		leader.kill()
		c.awaitOtherPrimary(time.Second, leader).mustPropose("c")
	})
}

func TestWipedPrimaryIsReplaced(t *testing.T) {
	inCluster(t, 4, 2, 1, func(c *cluster) {
		old := c.awaitPrimary(time.Second)
		old.mustPropose("a")
		oldID := old.member.DiskID
		old.wipe()
		old.restart()
		next := c.awaitOtherPrimary(2*time.Second, old)
		assert.NilError(c.t, next.process().group.ReplaceMember(c.t.Context(), oldID, old.member))
		c.awaitInSync(2*time.Second, 4)
		c.awaitAllHold(time.Second, "a")
	})
}

func TestGroupOfFiveSurvivesTwoWipedDisks(t *testing.T) {
	for seed := range uint64(5) {
		inCluster(t, 5, 3, seed, func(c *cluster) {
			leader := c.awaitPrimary(time.Second)
			leader.mustPropose("a")
			lostIDs := []string{c.nodes[0].member.DiskID, c.nodes[1].member.DiskID}
			for _, each := range c.nodes[:2] {
				each.wipe()
				each.restart()
			}
			next := c.awaitOtherPrimary(2*time.Second, c.nodes[0], c.nodes[1])
			for i, each := range c.nodes[:2] {
				ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
				assert.NilError(c.t, next.process().group.ReplaceMember(ctx, lostIDs[i], each.member))
				cancel()
			}
			c.awaitInSync(2*time.Second, 5)
			next.mustPropose("b")
			c.awaitAllHold(time.Second, "a", "b")
		})
	}
}
