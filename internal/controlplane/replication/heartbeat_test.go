package replication

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestIsolatedBackupIsNotUpToDate(t *testing.T) {
	inCluster(t, 3, 2, 4, func(c *cluster) {
		backup := c.nodes[1]
		c.await(time.Second, "up to date", func() bool { return backup.process().group.Role().UpToDate })
		c.isolate(backup)
		time.Sleep(time.Second)
		assert.Assert(c.t, !backup.process().group.Role().UpToDate)
		c.rejoin(backup)
		c.await(2*time.Second, "up to date again", func() bool { return backup.process().group.Role().UpToDate })
	})
}

func TestHeartbeatsCarryPayloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0, 2, 1)
		defer c.close()
		down, up := make(chan string, 1000), make(chan string, 1000)
		for range 3 {
			added := c.addNode()
			added.options = func(options *Options) {
				options.HeartbeatPayload = func() []byte { return []byte("down") }
				options.OnHeartbeat = func(payload []byte, _ time.Time) { down <- string(payload) }
				options.ResponsePayload = func(uint64) []byte { return []byte(added.member.Name) }
				options.OnHeartbeatResponse = func(from Member, payload []byte) { up <- from.Name + "=" + string(payload) }
			}
			added.start()
		}
		c.bootstrap()
		assert.Equal(c.t, <-down, "down")
		received := <-up
		assert.Assert(c.t, received == "member-2=member-2" || received == "member-3=member-3", received)
	})
}

func TestObserversAreCalledOnRoleChange(t *testing.T) {
	inCluster(t, 3, 2, 4, func(c *cluster) {
		backup := c.nodes[1]
		roles := make(chan Role, 100)
		backup.process().group.OnRoleChange(func(role Role) { roles <- role })
		c.isolate(c.nodes[0])
		c.awaitOtherPrimary(2*time.Second, c.nodes[0])
		seen := <-roles
		assert.Assert(c.t, seen.Epoch >= 1)
	})
}

// TestDelayedHeartbeatMakesNoBackupUpToDate delivers an old heartbeat of the primary to an isolated backup, as a
// network does after a partition has delayed it. The backup lacks what was committed meanwhile, so it must not count as
// up to date, however recently the heartbeat has arrived.
func TestDelayedHeartbeatMakesNoBackupUpToDate(t *testing.T) {
	inCluster(t, 3, 2, 1, func(c *cluster) {
		primary := c.awaitPrimary(time.Second)
		primary.mustPropose("a")
		c.awaitInSync(time.Second, 3)
		backup := c.nodes[1]
		if backup == primary {
			backup = c.nodes[2]
		}
		c.await(time.Second, "the backup is up to date", func() bool { return backup.process().group.Role().UpToDate })
		group := backup.process().group
		group.monitor.mu.Lock()
		echo := group.monitor.responses.last
		group.monitor.mu.Unlock()
		delayed := heartbeatRequest{
			Target: backup.member.DiskID, Epoch: primary.process().group.Role().Epoch, Primary: primary.member.DiskID,
			Commit: 1, Leading: true, Echo: echo,
		}
		c.isolate(backup)
		time.Sleep(20 * time.Second)
		primary.mustPropose("b")
		assert.Assert(t, !group.Role().UpToDate)
		for _, echo := range []uint64{delayed.Echo, 0, delayed.Echo + 1000} {
			delayed.Echo = echo
			response, _, err := group.serveHeartbeat(c.t.Context(), delayed, nil)
			assert.NilError(t, err)
			assert.Assert(t, response.(heartbeatResponse).Supported, "the backup does not support the only primary it knows")
			assert.Assert(t, !group.Role().UpToDate, "the backup counts as up to date with a state that is 20 s old")
		}
		c.rejoin(backup)
		c.await(3*time.Second, "the backup is up to date again", func() bool { return group.Role().UpToDate })
		assert.DeepEqual(t, backup.process().machine.list(), []string{"a", "b"})
	})
}
