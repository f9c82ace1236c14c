package messagestore

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestDeliveriesNeedALeaseOrBackupLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		id := h.mustPut("r", "key", "x")
		primary, partition := h.primary(id), h.messageOf(id).Partition
		h.leases.Store(false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, primary.store.MayDeliver(partition))
		backup := h.backup(partition).name
		h.rejectRequests()
		h.network.Isolate(primary.ip, h.machines[backup].ip)
		time.Sleep(3 * time.Second)
		assert.Assert(t, !primary.store.MayDeliver(partition))
		h.network.Heal(primary.ip, h.machines[backup].ip)
	})
}
