package replication

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLongLogsAreShortened(t *testing.T) {
	inCluster(t, 3, 2, 1, func(c *cluster) {
		leader := c.awaitPrimary(time.Second)
		for i := range 30 {
			leader.mustPropose(fmt.Sprint(i, strings.Repeat("x", 200<<10)))
		}
		c.awaitAllHold(time.Second, leader.process().machine.list()...)
		held := leader.process().machine.list()
		for _, each := range c.nodes {
			size := each.process().group.replica.log.Size()
			assert.Assert(c.t, size < 24<<20, "%d bytes", size)
			assert.Assert(c.t, len(each.process().group.replica.log.Segments()) < 3)
			each.powerOff()
		}
		for _, each := range c.nodes {
			each.restart()
		}
		c.awaitInSync(3*time.Second, 3)
		c.awaitAllHold(time.Second, held...)
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

func TestOneWayCutDoesNotUnseatThePrimary(t *testing.T) {
	inCluster(t, 3, 2, 1, func(c *cluster) {
		leader := c.awaitPrimary(time.Second)
		deaf := c.nodes[1]
		c.network.IsolateOneWay(leader.ip, deaf.ip)
		for i := range 10 {
			leader.mustPropose(fmt.Sprint(i))
			time.Sleep(500 * time.Millisecond)
		}
		assert.Equal(c.t, c.awaitPrimary(time.Second), leader)
		c.network.Heal(leader.ip, deaf.ip)
		c.awaitInSync(2*time.Second, 3)
	})
}

func TestPrimaryThatReachesOnlyOneWitnessIsReplaced(t *testing.T) {
	inCluster(t, 4, 2, 1, func(c *cluster) {
		old := c.awaitPrimary(time.Second)
		companion := c.nodes[1]
		for _, each := range c.nodes[2:] {
			c.network.Isolate(old.ip, each.ip)
		}
		next := c.awaitOtherPrimary(3*time.Second, old)
		next.mustPropose("a")
		assert.Assert(c.t, companion.process().group.Role().Epoch > 1)
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

func TestLargeStateIsCopiedToANewMember(t *testing.T) {
	inCluster(t, 3, 2, 1, func(c *cluster) {
		leader := c.awaitPrimary(time.Second)
		for i := range 5 {
			leader.mustPropose(fmt.Sprint(i, strings.Repeat("x", 500<<10)))
		}
		added := c.addNode()
		added.start()
		assert.NilError(c.t, leader.process().group.AddMember(c.t.Context(), added.member))
		c.awaitAllHold(time.Second, leader.process().machine.list()...)
	})
}
