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

	"ivyfold/internal/cluster"
	"ivyfold/internal/message"
	"ivyfold/internal/rpc"
)

// promote gives a table in which other stores lead a partition to one machine only.
func (h *harness) promote(told string, partition int, names ...string) {
	table := *h.currentTable()
	table.Revision += 100
	table.Partitions = slices.Clone(table.Partitions)
	view := cluster.Partition{ID: partition, Epoch: table.Partitions[partition].Epoch + 1}
	for _, name := range names {
		view.Replicas = append(view.Replicas, h.replica(name))
	}
	table.Partitions[partition] = view
	h.machines[told].store.ApplyTable(&table)
}

// TestFormerPrimaryWithoutLeaseStopsBeforeItsSuccessorDelivers has a primary that the control plane can't reach go on by
// its backup's word, until that backup is promoted: at no time may both deliver.
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
				assert.Assert(t, former.store.MayDeliver(partition), "by the word of its backup")
				h.mu.Lock()
				h.refusing = true // as of a table that is not the newest
				h.mu.Unlock()
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

// TestSuccessorOfADeadPrimaryDeliversAtOnce checks that nobody waits for a word that was never asked for.
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

// TestCopyThatFailedInPartIsNotCalledSynced has a backup lose one call in the middle of a copy. It may be called synced
// only when it holds everything: it may be promoted from then on.
func TestCopyThatFailedInPartIsNotCalledSynced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		var ids []string
		for range 3 {
			ids = append(ids, h.mustPut("r", "key", strings.Repeat("x", batchBytes/2)))
		}
		partition, err := partitionOf(ids[0])
		assert.NilError(t, err)
		backup := h.currentTable().Partitions[partition].Replicas[1].Store
		added := h.names[slices.IndexFunc(h.names, func(name string) bool {
			return h.currentTable().Partitions[partition].Find(name) < 0
		})]
		target := h.machines[added]
		var failed atomic.Bool
		target.server.Handle(methodReplicate, func(ctx context.Context, call *rpc.Call) (any, []byte, error) {
			if len(call.Body) >= batchBytes/2 && !failed.Swap(true) {
				return nil, nil, &rpc.Error{Code: rpc.CodeUnavailable, Message: "the connection was reset"}
			}
			return target.store.handleReplicate(ctx, call)
		})
		synced := make(chan bool, 16)
		h.mu.Lock()
		h.onAsk = func(ask cluster.PartitionAsk) {
			if ask.Partition == partition && ask.Synced == added {
				synced <- holdsAll(target.store, partition, ids)
			}
		}
		h.mu.Unlock()
		h.replace(partition, backup)
		assert.Assert(t, <-synced, "called synced without a part of the copy")
		assert.Assert(t, failed.Load())
	})
}

// holdsAll tells whether a store holds all of some messages.
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

// TestAnotherDiskAtTheAddressConfirmsNothing has a backup come back with an empty disk before its primary learns of it.
func TestAnotherDiskAtTheAddressConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		h.mu.Lock()
		h.refusing = true
		h.mu.Unlock()
		h.stop("b")
		h.machines["b"].disk.Wipe()
		h.machines["b"].diskID = "disk-b-2"
		h.start("b")
		submission := message.Submission{Message: message.Message{Partition: 0, ID: "0-1", RequestID: "r"}}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := h.clients.Get(h.address("a")).Call(ctx, methodPut, putRequest{submission}, []byte("x"), nil)
		assert.Assert(t, err != nil, "the disk of the view has not synced it")
		assert.Assert(t, !holdsAll(h.machines["b"].store, 0, []string{"0-1"}))
	})
}

// TestOnlyASurePrimaryDeniesAMessage asks a primary that may have been replaced for a message that it does not hold.
func TestOnlyASurePrimaryDeniesAMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		ask := func() error {
			var outcome message.Outcome
			_, err := h.clients.Get(h.address("a")).Call(t.Context(), methodState, queryRequest{0, "0-1"}, nil, &outcome)
			return err
		}
		assert.Equal(t, rpc.CodeOf(ask()), rpc.CodeNotFound)
		h.machines["a"].noLease.Store(true)
		time.Sleep(time.Second)
		assert.Equal(t, rpc.CodeOf(ask()), rpc.CodeNotFound, "its backup gives its word")
		h.mu.Lock()
		h.refusing = true
		h.mu.Unlock()
		h.network.Cut(h.machines["a"].ip, h.machines["b"].ip)
		time.Sleep(2 * time.Second)
		assert.Equal(t, rpc.CodeOf(ask()), rpc.CodeUnavailable)
		_, err := h.state("0-1")
		assert.Assert(t, err != nil && !errors.Is(err, message.ErrUnknown))
		h.network.Heal(h.machines["a"].ip, h.machines["b"].ip)
	})
}

// TestPrimaryWhoseRecordsAreRefusedStopsAtOnce has a backup know a newer epoch than its primary, whose lease still runs.
func TestPrimaryWhoseRecordsAreRefusedStopsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		h.mu.Lock()
		h.refusing = true
		h.mu.Unlock()
		h.promote("b", 0, "b", "c")
		former := h.machines["a"].store
		assert.Assert(t, former.MayDeliver(0), "it has heard of nothing yet")
		submission := message.Submission{Message: message.Message{Partition: 0, ID: "0-1", RequestID: "r"}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := h.clients.Get(h.address("a")).Call(ctx, methodPut, putRequest{submission}, []byte("x"), nil)
		assert.Assert(t, err != nil)
		assert.Assert(t, !former.MayDeliver(0))
		assert.Assert(t, former.MayDeliver(1) == (h.currentTable().Partitions[1].Replicas[0].Store == "a"))
	})
}
