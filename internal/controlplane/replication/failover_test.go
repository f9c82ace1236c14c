package replication

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFailoverTimes(t *testing.T) {
	cases := []struct {
		name  string
		end   func(*node)
		limit time.Duration
	}{
		{"kill", (*node).kill, 700 * time.Millisecond},
		{"power loss", (*node).powerOff, 1600 * time.Millisecond},
		{"cut", func(n *node) { n.cluster.isolate(n) }, 1600 * time.Millisecond},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			for seed := range uint64(8) {
				inCluster(t, 3+int(seed%3), 2, seed, func(c *cluster) {
					old := c.awaitPrimary(time.Second)
					old.mustPropose("a")
					each.end(old)
					next := c.awaitOtherPrimary(each.limit, old)
					next.mustPropose("b")
					assert.DeepEqual(c.t, next.process().machine.list(), []string{"a", "b"})
				})
			}
		})
	}
}

func TestIsolatedPrimaryStepsDownAndRejoins(t *testing.T) {
	inCluster(t, 5, 3, 3, func(c *cluster) {
		old := c.awaitPrimary(time.Second)
		old.mustPropose("a")
		c.isolate(old)
		assert.ErrorIs(c.t, old.propose("lost", 5*time.Second), ErrOutcomeUnknown)
		next := c.awaitOtherPrimary(time.Second, old)
		assert.Assert(c.t, !old.process().group.Role().Primary)
		assert.ErrorIs(c.t, old.readBarrier(time.Second), ErrNotPrimary)
		next.mustPropose("b")
		c.rejoin(old)
		c.awaitInSync(3*time.Second, 5)
		c.awaitAllHold(time.Second, "a", "b")
	})
}

func TestPrimaryInMinorityNeverCommits(t *testing.T) {
	for seed := range uint64(6) {
		inCluster(t, 5, 2, seed, func(c *cluster) {
			old := c.awaitPrimary(time.Second)
			old.mustPropose("a")
			reachable := c.nodes[1]
			if reachable == old {
				reachable = c.nodes[2]
			}
			c.isolate(old, reachable)
			outcome := make(chan error, 1)
			go func() { outcome <- old.propose("minority", 6*time.Second) }()
			next := c.awaitOtherPrimary(2*time.Second, old)
			next.mustPropose("b")
			assert.Assert(c.t, <-outcome != nil)
			c.rejoin(old, reachable)
			c.awaitInSync(4*time.Second, 5)
			c.awaitAllHold(time.Second, "a", "b")
		})
	}
}

func TestHalfOfAnEvenGroupElectsNoPrimary(t *testing.T) {
	for _, size := range []int{4, 8} {
		inCluster(t, size, 2, 5, func(c *cluster) {
			old := c.awaitPrimary(time.Second)
			old.mustPropose("a")
			c.isolate(c.nodes[:size/2]...)
			time.Sleep(5 * time.Second)
			assert.Equal(c.t, len(c.primaries()), 0)
			c.rejoin(c.nodes[:size/2]...)
			next := c.awaitPrimary(3 * time.Second)
			next.mustPropose("b")
			c.awaitInSync(3*time.Second, size)
			c.awaitAllHold(time.Second, "a", "b")
		})
	}
}

func TestGroupRecoversWhenAllAreKilledAtOnce(t *testing.T) {
	for seed := range uint64(6) {
		inCluster(t, 3+int(seed%3), 2, seed, func(c *cluster) {
			c.awaitPrimary(time.Second).mustPropose("a")
			for _, each := range c.nodes {
				each.kill()
			}
			time.Sleep(300 * time.Millisecond)
			for _, each := range c.nodes {
				each.restart()
			}
			next := c.awaitPrimary(1500 * time.Millisecond)
			next.mustPropose("b")
			c.awaitInSync(2*time.Second, len(c.nodes))
			c.awaitAllHold(time.Second, "a", "b")
		})
	}
}

func TestGroupRecoversWhenAllLosePowerAtOnce(t *testing.T) {
	for seed := range uint64(6) {
		inCluster(t, 3, 2, seed, func(c *cluster) {
			c.awaitPrimary(time.Second).mustPropose("a")
			for _, each := range c.nodes {
				each.powerOff()
			}
			time.Sleep(time.Second)
			for _, each := range c.nodes {
				each.restart()
			}
			c.awaitPrimary(2 * time.Second).mustPropose("b")
			c.awaitInSync(2*time.Second, 3)
			c.awaitAllHold(time.Second, "a", "b")
		})
	}
}

func TestPrimaryThatReachesOnlyOneWitnessIsReplaced(t *testing.T) {
	inCluster(t, 4, 2, 1, func(c *cluster) {
		old := c.awaitPrimary(time.Second)
		reachable := c.nodes[1]
		for _, each := range c.nodes[2:] {
			c.network.Isolate(old.ip, each.ip)
		}
		next := c.awaitOtherPrimary(3*time.Second, old)
		next.mustPropose("a")
		assert.Assert(c.t, reachable.process().group.Role().Epoch > 1)
	})
}

func TestOneWayPartitionDoesNotReplaceThePrimary(t *testing.T) {
	inCluster(t, 3, 2, 1, func(c *cluster) {
		leader := c.awaitPrimary(time.Second)
		unreachable := c.nodes[1]
		c.network.IsolateOneWay(leader.ip, unreachable.ip)
		for i := range 10 {
			leader.mustPropose(fmt.Sprint(i))
			time.Sleep(500 * time.Millisecond)
		}
		assert.Equal(c.t, c.awaitPrimary(time.Second), leader)
		c.network.Heal(leader.ip, unreachable.ip)
		c.awaitInSync(2*time.Second, 3)
	})
}
