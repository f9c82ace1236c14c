package messagestore

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
)

func TestDrainHandsOverAfterOutcomesAreReplicated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		id := h.mustPut("r", "key", "x")
		primary := h.primary(id)
		moved := h.messageOf(id)
		primary.engine.inFlight.Store(1)
		drained := make(chan bool)
		go func() {
			primary.store.Drain(t.Context())
			close(drained)
		}()
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, !primary.store.MayDeliver(moved.Partition))
		assert.Equal(t, h.primary(id), primary)
		primary.store.Ended(moved, message.Outcome{State: message.Completed, Stamp: "s"})
		primary.engine.inFlight.Store(0)
		<-drained
		successor := h.primary(id)
		assert.Assert(t, successor != primary)
		synctest.Wait()
		assert.Assert(t, !slices.Contains(successor.engine.ids(), id))
		outcome, err := h.state(id)
		assert.NilError(t, err)
		assert.Equal(t, outcome.Stamp, "s")
	})
}

// TestHandoverWaitsForBackupsThatLackRecords guards against a handover while a backup that may be promoted lacks
// records: as primary it would run ended messages again.
func TestHandoverWaitsForBackupsThatLackRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		h.setView(0, "a", "b", "c")
		time.Sleep(time.Second)
		store := h.machines["a"].store
		store.mu.Lock()
		p := store.partition(0)
		p.resync["disk-b"] = &resyncState{running: true}
		store.mu.Unlock()
		assert.Assert(t, store.handOver(t.Context(), 0) != handoverDone)
		store.mu.Lock()
		delete(p.resync, "disk-b")
		store.mu.Unlock()
		assert.Equal(t, store.handOver(t.Context(), 0), handoverDone)
	})
}

func TestPreferredPrimaryGetsThePartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		id := h.mustPut("r", "key", "x")
		primary, partition := h.primary(id), h.messageOf(id).Partition
		primary.engine.inFlight.Store(1)
		h.update(func(table *cluster.Table) {
			view := &table.Partitions[partition]
			view.PreferredPrimary = view.Replicas[1].Store
		})
		time.Sleep(time.Second)
		assert.Equal(t, h.primary(id), primary)
		assert.Assert(t, !primary.store.MayDeliver(partition))
		time.Sleep(2 * time.Second)
		assert.Assert(t, primary.store.MayDeliver(partition), "deliveries did not resume after the time-out of the handover")

		primary.engine.inFlight.Store(0)
		h.update(func(table *cluster.Table) { table.DeliveringStores++ })
		time.Sleep(time.Second)
		successor := h.primary(id)
		assert.Assert(t, successor != primary)
		assert.DeepEqual(t, successor.engine.ids(), []string{id})
		assert.Assert(t, successor.store.MayDeliver(partition))
	})
}

// handovers returns the requests for a handover that the control plane has received.
func (h *harness) handovers() []cluster.PartitionRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(h.requests), func(request cluster.PartitionRequest) bool { return !request.Handover })
}

// TestHandoverRequestListsOnlyReadyBackups guards against the promotion of a backup that lacks records. The control
// plane may mark a backup as synced before its primary knows of that. Records that the primary did not wait for may
// then still be in flight to the backup.
func TestHandoverRequestListsOnlyReadyBackups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		h.update(func(table *cluster.Table) {
			unsynced := h.replica("c")
			unsynced.Synced = false
			table.Partitions[0].Epoch++
			table.Partitions[0].Replicas = []cluster.Replica{h.replica("a"), h.replica("b"), unsynced}
		})
		h.rejectRequests() // the backup stays unsynced
		time.Sleep(time.Second)
		h.mu.Lock()
		h.rejecting = false
		h.mu.Unlock()
		store := h.machines["a"].store
		store.mu.Lock()
		store.partition(0).resync["disk-c"] = &resyncState{running: true}
		store.mu.Unlock()
		assert.Equal(t, store.handOver(t.Context(), 0), handoverDone)
		requested := h.handovers()
		assert.Equal(t, len(requested), 1)
		assert.DeepEqual(t, requested[0].Ready, []string{"b"})
	})
}

// TestHandoverChecksBackupsAgainAfterTheFlush guards against a handover to a backup that lacks an outcome: the call
// with the outcome may fail while the handover waits for the flush.
func TestHandoverChecksBackupsAgainAfterTheFlush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		id := h.mustPut("r", "key", "x")
		primary := h.primary(id)
		ended := h.messageOf(id)
		backup := h.machines[h.currentTable().Partitions[ended.Partition].Replicas[1].Store]
		h.network.Isolate(primary.ip, backup.ip)
		primary.store.Ended(ended, message.Outcome{State: message.Completed, Stamp: "s"})
		time.Sleep(20 * time.Millisecond)
		time.AfterFunc(replicateTimeout-10*time.Millisecond, func() { h.network.Heal(primary.ip, backup.ip) })
		assert.Assert(t, primary.store.handOver(t.Context(), ended.Partition) != handoverDone)
		assert.Equal(t, len(h.handovers()), 0)
	})
}
