package replication

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBackupLeavesTheInSyncSetAndReturns(t *testing.T) {
	inCluster(t, 3, 2, 2, func(c *cluster) {
		leader := c.awaitPrimary(time.Second)
		backup := c.nodes[1]
		backup.powerOff()
		started := time.Now()
		leader.mustPropose("a")
		assert.Assert(c.t, time.Since(started) < 900*time.Millisecond, "%v", time.Since(started))
		started = time.Now()
		leader.mustPropose("b")
		assert.Assert(c.t, time.Since(started) < 50*time.Millisecond, "%v", time.Since(started))
		backup.restart()
		c.awaitInSync(1500*time.Millisecond, 3)
		c.awaitAllHold(time.Second, "a", "b")
	})
}

func TestRestartedBackupNeedsNoNewView(t *testing.T) {
	inCluster(t, 3, 2, 2, func(c *cluster) {
		leader := c.awaitPrimary(time.Second)
		leader.mustPropose("a")
		c.nodes[1].kill()
		c.nodes[1].restart()
		leader.mustPropose("b")
		c.awaitInSync(time.Second, 3)
		c.awaitAllHold(time.Second, "a", "b")
	})
}

const missedChanges = 300

// TestMemberThatMissedHundredsOfChangesCatchesUp has changes go on while the member returns, isolates it once more
// while it receives the snapshot, and then lets it lead with what it has.
func TestMemberThatMissedHundredsOfChangesCatchesUp(t *testing.T) {
	for seed := range uint64(4) {
		inCluster(t, 4, 2, seed, func(c *cluster) {
			primary := c.awaitPrimary(time.Second)
			c.awaitInSync(time.Second, 4)
			away := c.nodes[3]
			if away == primary {
				away = c.nodes[2]
			}
			c.isolate(away)
			large := strings.Repeat("x", 4<<10)
			var proposed []string
			propose := func() {
				proposed = append(proposed, fmt.Sprintf("%d-%s", len(proposed), large))
				primary.mustPropose(proposed[len(proposed)-1])
			}
			for range missedChanges {
				propose()
			}
			c.rejoin(away)
			time.Sleep(time.Duration(5+seed*20) * time.Millisecond)
			c.isolate(away)
			time.Sleep(20 * time.Second)
			propose()
			c.rejoin(away)
			rejoined := time.Now()
			for len(primary.process().group.Role().View.InSync) < 4 {
				propose()
				assert.Assert(c.t, time.Since(rejoined) < 4*time.Second, "it never catches up")
			}
			c.t.Logf("in sync %v after the cut, with %d changes meanwhile", time.Since(rejoined), len(proposed)-missedChanges-1)
			for _, other := range c.nodes {
				if other != away && other != primary {
					other.kill()
				}
			}
			primary.kill()
			for _, other := range c.nodes {
				if other != away && other != primary {
					other.restart()
				}
			}
			next := c.awaitOtherPrimary(5*time.Second, primary)
			assert.NilError(c.t, next.readBarrier(3*time.Second))
			assert.DeepEqual(c.t, next.process().machine.list(), proposed)
			c.await(3*time.Second, "the member has everything", func() bool {
				return slices.Equal(away.process().machine.list(), proposed)
			})
		})
	}
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
