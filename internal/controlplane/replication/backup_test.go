package replication

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUnresponsiveBackupDoesNotBlockCommits(t *testing.T) {
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

func TestRestartedBackupCatchesUp(t *testing.T) {
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

// TestMemberThatMissedHundredsOfChangesCatchesUp guards against a member that never gets back in sync, or leads without
// changes that it has missed. Changes continue while the member returns, and it is isolated once more while it receives
// the snapshot. At the end the primary is killed, and the next primary, which may be that member, must have all
// changes.
func TestMemberThatMissedHundredsOfChangesCatchesUp(t *testing.T) {
	for seed := range uint64(4) {
		inCluster(t, 4, 2, seed, func(c *cluster) {
			primary := c.awaitPrimary(time.Second)
			c.awaitInSync(time.Second, 4)
			lagging := c.nodes[3]
			if lagging == primary {
				lagging = c.nodes[2]
			}
			c.isolate(lagging)
			large := strings.Repeat("x", 4<<10)
			var proposed []string
			propose := func() {
				proposed = append(proposed, fmt.Sprintf("%d-%s", len(proposed), large))
				primary.mustPropose(proposed[len(proposed)-1])
			}
			for range missedChanges {
				propose()
			}
			c.rejoin(lagging)
			time.Sleep(time.Duration(5+seed*20) * time.Millisecond)
			c.isolate(lagging)
			time.Sleep(20 * time.Second)
			propose()
			c.rejoin(lagging)
			rejoined := time.Now()
			for len(primary.process().group.Role().View.InSync) < 4 {
				propose()
				assert.Assert(c.t, time.Since(rejoined) < 4*time.Second, "the member does not catch up")
			}
			c.t.Logf("in sync %v after the isolation ended, with %d changes meanwhile",
				time.Since(rejoined), len(proposed)-missedChanges-1)
			for _, other := range c.nodes {
				if other != lagging && other != primary {
					other.kill()
				}
			}
			primary.kill()
			for _, other := range c.nodes {
				if other != lagging && other != primary {
					other.restart()
				}
			}
			next := c.awaitOtherPrimary(5*time.Second, primary)
			assert.NilError(c.t, next.readBarrier(3*time.Second))
			assert.DeepEqual(c.t, next.process().machine.list(), proposed)
			c.await(3*time.Second, "the member has all changes", func() bool {
				return slices.Equal(lagging.process().machine.list(), proposed)
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
