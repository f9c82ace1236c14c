package replication

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestBootstrapAddsAllMembers(t *testing.T) {
	for _, size := range []int{1, 2, 3, 4, 5, 8} {
		inCluster(t, size, 1, uint64(size), func(c *cluster) {
			c.awaitInSync(time.Second, size)
			leader := c.awaitPrimary(time.Second)
			assert.Equal(c.t, leader.member.Name, "member-1")
			assert.Assert(c.t, leader.process().group.Role().Epoch >= 1)
			leader.mustPropose("a")
			assert.NilError(c.t, leader.readBarrier(time.Second))
			c.awaitAllHold(time.Second, "a")
		})
	}
}

func TestBootstrapIsRefusedWithoutPermission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0, 2, 1)
		defer c.close()
		for range 3 {
			added := c.addNode()
			added.options = func(options *Options) { options.AllowBootstrap = added.member.Name == "member-1" }
			added.start()
		}
		err := c.nodes[0].process().group.Bootstrap(t.Context(), c.members())
		assert.ErrorIs(c.t, err, ErrNoQuorum)
		err = c.nodes[1].process().group.Bootstrap(t.Context(), c.members())
		assert.ErrorIs(c.t, err, ErrBootstrapRefused)
		time.Sleep(5 * time.Second)
		assert.Equal(c.t, len(c.primaries()), 0)
	})
}

func TestOnlyOneOfTwoBootstrapsWins(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 4, 2, seed)
			defer c.close()
			for _, initiator := range c.nodes[:2] {
				go func() { _ = initiator.process().group.Bootstrap(t.Context(), c.members()) }()
			}
			time.Sleep(2 * time.Second)
			_ = c.nodes[0].process().group.Bootstrap(t.Context(), c.members())
			c.awaitPrimary(5 * time.Second)
			c.awaitInSync(3*time.Second, 4)
		})
	}
}
