package messagestore

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
)

// beginRecovery makes the last machine, which holds nothing of a partition, the unsynced primary beside its backup. The
// former primary stays as it is, but gets no more tables.
func (h *harness) beginRecovery(partition int) (former, source, collector *machine) {
	view := h.currentTable().Partitions[partition]
	former, source = h.machines[view.Replicas[0].Store], h.machines[view.Replicas[1].Store]
	for _, name := range h.names {
		if view.IndexOf(name) < 0 {
			collector = h.machines[name]
		}
	}
	former.stopped.Store(true)
	h.update(func(table *cluster.Table) {
		next := &table.Partitions[partition]
		next.Epoch++
		next.Replicas = []cluster.Replica{
			{Store: collector.name, DiskID: collector.diskID}, {Store: source.name, DiskID: source.diskID},
		}
		next.Retained = []cluster.RetainedReplica{{Store: former.name, DiskID: former.diskID, Epoch: view.Epoch}}
	})
	return former, source, collector
}

// TestUnsyncedPrimaryCollectsEverything guards against a recovery that begins empty, and against one that forgets how
// messages ended or how often they failed.
func TestUnsyncedPrimaryCollectsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		var ids []string
		for i := range 6 {
			ids = append(ids, h.mustPut(fmt.Sprint(i), "key", fmt.Sprintf("body %d", i)))
		}
		partition := h.partitionOf(ids[0])
		primary := h.primary(ids[0])
		primary.store.Ended(h.messageOf(ids[0]), message.Outcome{State: message.Completed, Stamp: "s"})
		primary.store.Ended(h.messageOf(ids[1]), message.Outcome{State: message.DeadLetter})
		primary.store.Failed(h.messageOf(ids[2]), 2)
		time.Sleep(time.Second)

		_, _, collector := h.beginRecovery(partition)
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, collector.engine.ids(), ids[2:])
		assert.DeepEqual(t, collector.engine.failures(), []int{2, 0, 0, 0})
		assert.Assert(t, h.currentTable().Partitions[partition].Replicas[0].Synced)
		outcome, err := h.state(ids[0])
		assert.NilError(t, err)
		assert.Equal(t, outcome.Stamp, "s")
		for i, id := range ids[1:] {
			body, err := h.body(id)
			assert.NilError(t, err)
			assert.Equal(t, body, fmt.Sprintf("body %d", i+1))
		}
		h.mustPut("new", "key", "x")
	})
}

// TestPartitionRestsWhileItsPrimaryCollects guards against a partition that accepts, delivers or denies messages while its
// primary has not asked all other replicas.
func TestPartitionRestsWhileItsPrimaryCollects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		h.rejectRequests()
		id := h.mustPut("0", "key", "x")
		partition := h.partitionOf(id)
		view := h.currentTable().Partitions[partition]
		h.network.Isolate(h.machines["c"].ip, h.machines[view.Replicas[1].Store].ip)
		_, source, collector := h.beginRecovery(partition)
		time.Sleep(3 * time.Second)
		assert.Assert(t, !collector.store.MayDeliver(partition))
		assert.Equal(t, collector.store.Stats().Collecting, 1)
		assert.Assert(t, h.putAt(partition, "late") != nil)
		_, err := h.state(id)
		assert.Assert(t, err != nil)
		assert.Equal(t, len(collector.engine.ids()), 0)

		h.network.Heal(collector.ip, source.ip)
		h.mu.Lock()
		h.rejecting = false
		h.mu.Unlock()
		time.Sleep(time.Second)
		assert.DeepEqual(t, collector.engine.ids(), []string{id})
		assert.Assert(t, collector.store.MayDeliver(partition))
		assert.Equal(t, collector.store.Stats().Collecting, 0)
	})
}

// TestRecoveryWaitsForLeasesThatOtherReplicasGranted guards against two stores that deliver: the former primary counts on
// the lease of a backup, of which the primary of the recovery knows only by that backup.
func TestRecoveryWaitsForLeasesThatOtherReplicasGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		partition, _, _ := h.cutOffWithBackupLease()
		former, _, collector := h.beginRecovery(partition)
		requireOneDelivers(t, former, collector, partition)
	})
}

// TestCollectionNeedsTheEpochOnTheDisksOfAllSources guards against a message that the former primary commits after its
// backup was asked: the backup has to know the epoch of the recovery after a restart too.
func TestCollectionNeedsTheEpochOnTheDisksOfAllSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		id := h.mustPut("0", "key", "x")
		partition := h.partitionOf(id)
		isCollected := func() bool { return h.currentTable().Partitions[partition].Replicas[0].Synced }
		backup := h.backup(partition)
		backup.disk.SetStalled(true)
		h.beginRecovery(partition)
		time.Sleep(resyncGracePeriod)
		early := isCollected()
		backup.disk.SetStalled(false)
		assert.Assert(t, !early)
		time.Sleep(time.Second)
		assert.Assert(t, isCollected())
	})
}
