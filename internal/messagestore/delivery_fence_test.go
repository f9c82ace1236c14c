package messagestore

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/rpc"
)

// promote applies a table in which a partition has other replicas at one machine only. The first replica is the
// primary.
func (h *harness) promote(receiver string, partition int, names ...string) {
	table := *h.currentTable()
	table.Revision += 100
	table.Partitions = slices.Clone(table.Partitions)
	view := cluster.Partition{ID: partition, Epoch: table.Partitions[partition].Epoch + 1}
	for _, name := range names {
		view.Replicas = append(view.Replicas, h.replica(name))
	}
	table.Partitions[partition] = view
	h.machines[receiver].store.ApplyTable(&table)
}

// TestFormerPrimaryWithoutLeaseStopsBeforeItsSuccessorDelivers guards against two stores that deliver at the same time.
// A primary without a lease from the control plane delivers by a lease from its backup until that backup is promoted.
func TestFormerPrimaryWithoutLeaseStopsBeforeItsSuccessorDelivers(t *testing.T) {
	for _, partition := range []int{0, 1} {
		for offset := range 8 {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, "a", "b", "c")
				defer h.close()
				view := h.currentTable().Partitions[partition]
				former, successor := h.machines[view.Replicas[0].Store], h.machines[view.Replicas[1].Store]
				third := h.names[(slices.Index(h.names, successor.name)+1)%len(h.names)]
				former.noLease.Store(true)
				time.Sleep(2*time.Second + time.Duration(offset)*45*time.Millisecond)
				assert.Assert(t, former.store.MayDeliver(partition), "by a lease from its backup")
				h.rejectRequests() // like a control plane whose table is newer than that of the former primary
				h.promote(successor.name, partition, successor.name, third)
				delivers := false
				for range 600 {
					delivers = successor.store.MayDeliver(partition)
					assert.Assert(t, !delivers || !former.store.MayDeliver(partition), "two stores deliver")
					time.Sleep(5 * time.Millisecond)
				}
				assert.Assert(t, delivers)
				assert.Assert(t, !former.store.MayDeliver(partition))
			})
		}
	}
}

// TestSuccessorOfADeadPrimaryDeliversAtOnce guards against a new primary that waits for a lease which was never
// granted.
func TestSuccessorOfADeadPrimaryDeliversAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		time.Sleep(time.Second)
		h.stop("a")
		h.promote("b", 0, "b", "c")
		assert.Assert(t, h.machines["b"].store.MayDeliver(0))
		h.start("a")
	})
}

// TestBackupIsMarkedSyncedOnlyAfterCompleteResync guards against a backup that is marked as synced, and so may be
// promoted, without all messages. One call in the middle of its resync fails.
func TestBackupIsMarkedSyncedOnlyAfterCompleteResync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		var ids []string
		for range 3 {
			ids = append(ids, h.mustPut("r", "key", strings.Repeat("x", batchBytes/2)))
		}
		partition := h.partitionOf(ids[0])
		backup := h.backup(partition).name
		added := h.names[slices.IndexFunc(h.names, func(name string) bool {
			return h.currentTable().Partitions[partition].IndexOf(name) < 0
		})]
		target := h.machines[added]
		var failed atomic.Bool
		target.server.Handle(protocol.MethodReplicate, func(ctx context.Context, call *rpc.Call) (any, []byte, error) {
			if len(call.Body) >= batchBytes/2 && !failed.Swap(true) {
				return nil, nil, &rpc.Error{Code: rpc.CodeUnavailable, Message: "the connection was reset"}
			}
			return target.store.handleReplicate(ctx, call)
		})
		synced := make(chan bool, 16)
		h.mu.Lock()
		h.onRequest = func(request cluster.PartitionRequest) {
			if request.Partition == partition && request.Synced == added {
				synced <- holdsAll(target.store, partition, ids)
			}
		}
		h.mu.Unlock()
		h.replace(partition, backup)
		assert.Assert(t, <-synced, "the backup was marked as synced without all messages")
		assert.Assert(t, failed.Load())
	})
}

// holdsAll reports whether a store has all of the given messages of a partition.
func holdsAll(store *Store, partition int, ids []string) bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, id := range ids {
		if store.partition(partition).entries[id] == nil {
			return false
		}
	}
	return true
}

// TestAnotherDiskAtTheAddressConfirmsNothing guards against confirmations that count for the wrong disk. A backup
// restarts with an empty disk at the same address before its primary learns of it.
func TestAnotherDiskAtTheAddressConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		h.rejectRequests()
		h.stop("b")
		h.machines["b"].disk.Wipe()
		h.machines["b"].diskID = "disk-b-2"
		h.start("b")
		submission := message.Submission{Message: message.Message{Partition: 0, ID: "0-1", RequestID: "r"}}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := h.clients.Get(h.address("a")).Call(ctx, protocol.MethodPut, protocol.PutRequest{Submission: submission}, []byte("x"), nil)
		assert.Assert(t, err != nil, "acknowledged, but the backup's disk in the view has not synced the message")
		assert.Assert(t, !holdsAll(h.machines["b"].store, 0, []string{"0-1"}))
	})
}

// TestOnlyAConfirmedPrimaryAnswersNotFound guards against a primary that may have been replaced and answers that a
// message does not exist, although the new primary may have it.
func TestOnlyAConfirmedPrimaryAnswersNotFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		query := func() error {
			var outcome message.Outcome
			_, err := h.clients.Get(h.address("a")).Call(t.Context(), protocol.MethodState, protocol.QueryRequest{Partition: 0, ID: "0-1"}, nil, &outcome)
			return err
		}
		assert.Equal(t, rpc.CodeOf(query()), rpc.CodeNotFound)
		h.machines["a"].noLease.Store(true)
		time.Sleep(time.Second)
		assert.Equal(t, rpc.CodeOf(query()), rpc.CodeNotFound, "with a lease from its backup")
		h.rejectRequests()
		h.network.Isolate(h.machines["a"].ip, h.machines["b"].ip)
		time.Sleep(2 * time.Second)
		assert.Equal(t, rpc.CodeOf(query()), rpc.CodeUnavailable)
		_, err := h.state("0-1")
		assert.Assert(t, err != nil && !errors.Is(err, message.ErrNotFound))
		h.network.Heal(h.machines["a"].ip, h.machines["b"].ip)
	})
}

// TestPrimaryWhoseRecordsAreRejectedStopsAtOnce guards against a primary that continues to deliver after a backup has
// rejected its records because of a newer epoch. The primary's lease from the control plane is still valid.
func TestPrimaryWhoseRecordsAreRejectedStopsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		h.rejectRequests()
		h.promote("b", 0, "b", "c")
		former := h.machines["a"].store
		assert.Assert(t, former.MayDeliver(0), "before its first rejected record")
		submission := message.Submission{Message: message.Message{Partition: 0, ID: "0-1", RequestID: "r"}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := h.clients.Get(h.address("a")).Call(ctx, protocol.MethodPut, protocol.PutRequest{Submission: submission}, []byte("x"), nil)
		assert.Assert(t, err != nil)
		assert.Assert(t, !former.MayDeliver(0))
		assert.Assert(t, former.MayDeliver(1) == (h.currentTable().Partitions[1].Replicas[0].Store == "a"))
	})
}

// TestSecondSuccessorWaitsForLeaseGrants guards against two stores that deliver at the same time after two promotions
// in quick succession. The first successor has granted a lease to the former primary. The second one has not, but must
// wait for the end of that lease too.
func TestSecondSuccessorWaitsForLeaseGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		former, second := h.machines["a"], h.machines["c"]
		former.noLease.Store(true)
		time.Sleep(2*time.Second + 310*time.Millisecond)
		assert.Assert(t, former.store.MayDeliver(0), "by a lease from its backup")
		h.rejectRequests()
		h.network.Isolate(former.ip, h.machines["b"].ip)
		h.promote("b", 0, "b", "c")
		time.Sleep(50 * time.Millisecond)
		table := *h.machines["b"].store.table
		table.Revision++
		table.Partitions = slices.Clone(table.Partitions)
		table.Partitions[0] = cluster.Partition{
			ID: 0, Epoch: table.Partitions[0].Epoch + 1, Replicas: []cluster.Replica{h.replica("c"), h.replica("b")},
		}
		second.store.ApplyTable(&table)
		delivers := false
		for range 600 {
			delivers = second.store.MayDeliver(0)
			assert.Assert(t, !delivers || !former.store.MayDeliver(0), "two stores deliver")
			time.Sleep(5 * time.Millisecond)
		}
		assert.Assert(t, delivers)
		h.network.Heal(former.ip, h.machines["b"].ip)
	})
}

// TestDeliveriesStayStoppedWhileAHandoversOutcomeIsUnknown guards against a former primary that resumes deliveries
// after a handover which the control plane has executed, but whose answer was lost. It must not resume before it has
// applied the next view.
func TestDeliveriesStayStoppedWhileAHandoversOutcomeIsUnknown(t *testing.T) {
	for _, failure := range []error{cluster.ErrOutcomeUnknown, &rpc.Error{Code: rpc.CodeConflict}, &rpc.Error{Code: rpc.CodeInternal}} {
		assert.Equal(t, handoverOutcomeOf(failure), handoverUnknown)
	}
	for _, rejection := range []error{cluster.ErrNoPrimary, &rpc.Error{Code: rpc.CodeUnavailable}} {
		assert.Equal(t, handoverOutcomeOf(rejection), handoverRejected)
	}
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		h.rejectRequests() // with a conflict, like after an earlier request that was executed
		a := h.machines["a"].store
		a.mu.Lock()
		p := a.partition(0)
		a.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), preferredPrimaryTimeout)
		defer cancel()
		ended := make(chan bool)
		go func() {
			a.handOverToPreferred(ctx, p)
			close(ended)
		}()
		for range 300 {
			time.Sleep(20 * time.Millisecond)
			assert.Assert(t, !a.MayDeliver(0))
		}
		h.setView(0, "b", "a")
		<-ended
		assert.Assert(t, !a.MayDeliver(0))
	})
}

// TestConfirmationsFromBeforeABackupLeftDoNotCount guards against a message that is acknowledged by stale
// confirmations. A backup leaves its group and rejoins it between two tables that its primary applies, and so drops
// messages that it has confirmed. Its earlier confirmation of a message that waits for another backup must not count.
func TestConfirmationsFromBeforeABackupLeftDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		h.rejectRequests()
		a, c := h.machines["a"].store, h.machines["c"].store
		view := func(epoch uint64, replicas ...cluster.Replica) *cluster.Table {
			table := *h.currentTable()
			table.Revision += epoch
			table.Partitions = slices.Clone(table.Partitions)
			table.Partitions[0] = cluster.Partition{ID: 0, Epoch: epoch, Replicas: replicas}
			return &table
		}
		added := h.replica("c")
		added.Synced = false
		with := func(epoch uint64) *cluster.Table { return view(epoch, h.replica("a"), h.replica("b"), added) }
		a.ApplyTable(with(2))
		c.ApplyTable(with(2))
		time.Sleep(time.Second)

		h.network.Isolate(h.machines["a"].ip, h.machines["b"].ip)
		accepted := make(chan error, 1)
		go func() {
			submission := message.Submission{Message: message.Message{Partition: 0, ID: "0-1", RequestID: "r"}}
			_, err := h.clients.Get(h.address("a")).Call(t.Context(), protocol.MethodPut, protocol.PutRequest{Submission: submission}, []byte("x"), nil)
			accepted <- err
		}()
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, holdsAll(c, 0, []string{"0-1"}), "the backup has confirmed the message")
		c.ApplyTable(view(3, h.replica("a"), h.replica("b")))
		assert.Assert(t, !holdsAll(c, 0, []string{"0-1"}), "the backup has left the group and dropped the message")
		a.ApplyTable(with(4))
		h.network.Heal(h.machines["a"].ip, h.machines["b"].ip)
		assert.NilError(t, <-accepted)
		assert.Assert(t, holdsAll(c, 0, []string{"0-1"}), "acknowledged, but missing on a disk of the view")
	})
}

// cutOffWithBackupLease puts a message and cuts off its partition's primary from its backup. The primary has no lease from the
// control plane any more, and counts on that of the backup.
func (h *harness) cutOffWithBackupLease() (partition int, primary, backup *machine) {
	h.t.Helper()
	id := h.mustPut("0", "key", "x")
	partition, primary = h.partitionOf(id), h.primary(id)
	backup = h.backup(partition)
	primary.noLease.Store(true)
	time.Sleep(2 * heartbeatInterval)
	assert.Assert(h.t, primary.store.MayDeliver(partition))
	h.network.Isolate(primary.ip, backup.ip)
	return partition, primary, backup
}

// requireOneDelivers checks for some time that two stores never may deliver a partition at once, and that the second one may
// in the end.
func requireOneDelivers(t *testing.T, former, successor *machine, partition int) {
	t.Helper()
	for range 60 {
		synctest.Wait()
		both := former.store.MayDeliver(partition) && successor.store.MayDeliver(partition)
		assert.Assert(t, !both, "both stores deliver")
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, successor.store.MayDeliver(partition))
}

// TestRestartedBackupWaitsForTheLeaseThatItGranted guards against two stores that deliver: a backup grants a lease to a
// primary that the control plane can't reach, starts again, and is promoted by the first table that it gets.
func TestRestartedBackupWaitsForTheLeaseThatItGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		partition, former, successor := h.cutOffWithBackupLease() // the former primary does not notice the restart
		h.stop(successor.name)
		former.stopped.Store(true) // it gets no table from now on
		h.update(func(table *cluster.Table) {
			view := &table.Partitions[partition]
			view.Epoch++
			view.Replicas = []cluster.Replica{h.replica(successor.name)}
		})
		h.start(successor.name)
		requireOneDelivers(t, former, successor, partition)
	})
}

// TestPromotedStoreWaitsForItsPredecessorAfterARestart guards against two stores that deliver: a backup is promoted while
// its predecessor counts on its lease, and forgets at a restart that it waits for the end of that lease.
func TestPromotedStoreWaitsForItsPredecessorAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		partition, former, successor := h.cutOffWithBackupLease()
		former.stopped.Store(true) // it gets no table from now on
		h.setView(partition, successor.name)
		time.Sleep(10 * syncDelay)
		h.stop(successor.name)
		h.start(successor.name)
		requireOneDelivers(t, former, successor, partition)

		time.Sleep(time.Second)
		h.stop(successor.name)
		h.start(successor.name)
		assert.Assert(t, successor.store.MayDeliver(partition), "it led without a predecessor before this restart")
	})
}
