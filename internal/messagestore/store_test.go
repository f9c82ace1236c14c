package messagestore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
	"gladepick/internal/messagestore/client"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/wal"
)

func TestMessageIsKeptAndDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		id := h.mustPut("r1", "", "payload")
		synctest.Wait()
		assert.DeepEqual(t, h.leader(id).engine.ids(), []string{id})
		outcome, err := h.state(id)
		assert.NilError(t, err)
		assert.Equal(t, outcome.State, message.Queued)
		body, err := h.body(id)
		assert.NilError(t, err)
		assert.Equal(t, body, "payload")

		leader := h.leader(id)
		leader.store.Ended(h.messageOf(id), message.Outcome{State: message.Completed, Stamp: "s1"})
		outcome, err = h.state(id)
		assert.NilError(t, err)
		assert.DeepEqual(t, outcome, message.Outcome{State: message.Completed, Stamp: "s1"})
		_, err = h.body(id)
		assert.Assert(t, errors.Is(err, message.ErrBodyNotFound))
	})
}

func TestMessagesWithOneOrderKeyKeepOnePartitionAndTheirOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		var ids []string
		for i := range 20 {
			ids = append(ids, h.mustPut(fmt.Sprint(i), "key", "x"))
		}
		synctest.Wait()
		assert.DeepEqual(t, h.leader(ids[0]).engine.ids(), ids)
		last := uint64(0)
		for _, id := range ids {
			m := h.messageOf(id)
			assert.Assert(t, m.Sequence > last)
			last = m.Sequence
		}
	})
}

func TestUnknownMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		for _, id := range []string{"0-12", "ff-12", "nonsense"} {
			_, err := h.state(id)
			assert.Assert(t, errors.Is(err, message.ErrNotFound), id)
		}
	})
}

func TestNothingIsAcknowledgedWithTooFewReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		for id := range testPartitions {
			h.setView(id, "a")
		}
		time.Sleep(time.Second)
		_, err := h.put("r", "", "x")
		assert.Assert(t, errors.Is(err, message.ErrNotStored))
	})
}

func TestLostBackupIsReplacedAndTheNewOneGetsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		var ids []string
		for i := range 30 {
			ids = append(ids, h.mustPut(fmt.Sprint(i), "key", fmt.Sprintf("body %d", i)))
		}
		leader := h.leader(ids[0])
		leader.store.Ended(h.messageOf(ids[0]), message.Outcome{State: message.Completed, Stamp: "s"})
		partition, err := client.PartitionOf(ids[0])
		assert.NilError(t, err)
		backup := h.currentTable().Partitions[partition].Replicas[1].Store
		h.stop(backup)
		ids = append(ids, h.mustPut("after", "key", "body after"))
		time.Sleep(3 * time.Second)
		view := h.currentTable().Partitions[partition]
		assert.Assert(t, view.IndexOf(backup) < 0)
		assert.Assert(t, view.Replicas[1].Synced)

		h.stop(leader.name)
		h.setView(partition, view.Replicas[1].Store)
		time.Sleep(time.Second)
		successor := h.machines[view.Replicas[1].Store]
		assert.DeepEqual(t, successor.engine.ids(), ids[1:])
		outcome, err := h.state(ids[0])
		assert.NilError(t, err)
		assert.Equal(t, outcome.Stamp, "s")
		for i, id := range ids[1:30] {
			body, err := h.body(id)
			assert.NilError(t, err)
			assert.Equal(t, body, fmt.Sprintf("body %d", i+1))
		}
		h.start(backup)
		h.start(leader.name)
	})
}

func TestFormerPrimaryCannotCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		former, successor := h.machines["a"], h.machines["b"]
		id := h.mustPut("r0", "key", "x")
		partition, err := client.PartitionOf(id)
		assert.NilError(t, err)
		h.setView(partition, "a", "b")
		synctest.Wait()
		next := cluster.Partition{
			ID: partition, Epoch: h.currentTable().Partitions[partition].Epoch + 1,
			Replicas: []cluster.Replica{h.replica("b"), h.replica("a")},
		}
		table := *h.currentTable()
		table.Revision += 100
		table.Partitions = slices.Clone(table.Partitions)
		table.Partitions[partition] = next
		successor.store.ApplyTable(&table)

		h.rejectRequests()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		submission := message.Submission{Message: message.Message{Partition: partition, ID: "late", RequestID: "late"}}
		_, err = h.clients.Get(h.address("a")).Call(ctx, protocol.MethodPut, protocol.PutRequest{Submission: submission}, []byte("x"), nil)
		assert.Assert(t, err != nil)
		assert.Assert(t, !slices.Contains(former.engine.ids(), "late"))
	})
}

func TestPowerLossOfAllKeepsWhatWasAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		var ids []string
		for i := range 40 {
			ids = append(ids, h.mustPut(fmt.Sprint(i), fmt.Sprint(i%5), fmt.Sprintf("body %d", i)))
		}
		for _, name := range h.names {
			h.stop(name)
			h.machines[name].disk.PowerLoss()
		}
		for _, name := range h.names {
			h.start(name)
		}
		time.Sleep(time.Second)
		for i, id := range ids {
			body, err := h.body(id)
			assert.NilError(t, err)
			assert.Equal(t, body, fmt.Sprintf("body %d", i))
			assert.Assert(t, slices.Contains(h.leader(id).engine.ids(), id))
		}
	})
}

func TestWipedStoreLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		var ids []string
		for i := range 20 {
			ids = append(ids, h.mustPut(fmt.Sprint(i), "", fmt.Sprintf("body %d", i)))
		}
		for _, name := range h.names {
			h.stop(name)
			h.machines[name].disk.PowerLoss()
		}
		h.machines["a"].disk.Wipe()
		h.start("b")
		h.start("c")
		h.setView(0, "b")
		h.setView(1, "b")
		time.Sleep(time.Second)
		for i, id := range ids {
			body, err := h.body(id)
			assert.NilError(t, err)
			assert.Equal(t, body, fmt.Sprintf("body %d", i))
		}
		h.start("a")
	})
}

func TestDrainHandsOverAfterOutcomesAreReplicated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		id := h.mustPut("r", "key", "x")
		leader := h.leader(id)
		moved := h.messageOf(id)
		leader.engine.inFlight.Store(1)
		drained := make(chan bool)
		go func() {
			leader.store.Drain(t.Context())
			close(drained)
		}()
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, !leader.store.MayDeliver(moved.Partition))
		assert.Equal(t, h.leader(id), leader)
		leader.store.Ended(moved, message.Outcome{State: message.Completed, Stamp: "s"})
		leader.engine.inFlight.Store(0)
		<-drained
		successor := h.leader(id)
		assert.Assert(t, successor != leader)
		synctest.Wait()
		assert.Assert(t, !slices.Contains(successor.engine.ids(), id))
		outcome, err := h.state(id)
		assert.NilError(t, err)
		assert.Equal(t, outcome.Stamp, "s")
	})
}

// TestHandoverWaitsForBackupsThatLackRecords checks that a partition is not handed over while a backup that may be
// promoted lacks records: it would run again what has ended.
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

func TestWishedPrimaryGetsThePartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		id := h.mustPut("r", "key", "x")
		leader, partition := h.leader(id), h.messageOf(id).Partition
		leader.engine.inFlight.Store(1)
		h.update(func(table *cluster.Table) {
			view := &table.Partitions[partition]
			view.PreferredPrimary = view.Replicas[1].Store
		})
		time.Sleep(time.Second)
		assert.Equal(t, h.leader(id), leader)
		assert.Assert(t, !leader.store.MayDeliver(partition))
		time.Sleep(2 * time.Second)
		assert.Assert(t, leader.store.MayDeliver(partition), "taken up again after its patience")

		leader.engine.inFlight.Store(0)
		h.update(func(table *cluster.Table) { table.DeliveringStores++ })
		time.Sleep(time.Second)
		successor := h.leader(id)
		assert.Assert(t, successor != leader)
		assert.DeepEqual(t, successor.engine.ids(), []string{id})
		assert.Assert(t, successor.store.MayDeliver(partition))
	})
}

func TestDeliveriesNeedALeaseOrTheBackupsWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		id := h.mustPut("r", "key", "x")
		leader, partition := h.leader(id), h.messageOf(id).Partition
		h.leases.Store(false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, leader.store.MayDeliver(partition))
		backup := h.currentTable().Partitions[partition].Replicas[1].Store
		h.rejectRequests()
		h.network.Isolate(leader.ip, h.machines[backup].ip)
		time.Sleep(3 * time.Second)
		assert.Assert(t, !leader.store.MayDeliver(partition))
		h.network.Heal(leader.ip, h.machines[backup].ip)
	})
}

func TestRepeatedHandInIsOneMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		submission := message.Submission{Message: message.Message{Partition: 0, ID: "0-1", RequestID: "r"}}
		leader := h.leader("0-1")
		for range 3 {
			_, err := h.clients.Get(h.address(leader.name)).Call(t.Context(), protocol.MethodPut, protocol.PutRequest{Submission: submission}, []byte("x"), nil)
			assert.NilError(t, err)
		}
		assert.DeepEqual(t, leader.engine.ids(), []string{"0-1"})
	})
}

func TestCompactionKeepsWhatIsNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		large := strings.Repeat("x", 100<<10)
		var ids []string
		for i := range 120 {
			ids = append(ids, h.mustPut(fmt.Sprint(i), "key", fmt.Sprint(i, large)))
		}
		leader := h.leader(ids[0])
		for _, id := range ids[10:] {
			leader.store.Ended(h.messageOf(id), message.Outcome{State: message.Completed, Stamp: id})
		}
		before := leader.store.log.Size()
		for range 6 {
			assert.NilError(t, leader.store.Compact())
		}
		assert.Assert(t, leader.store.log.Size() < before/2)
		h.stop(leader.name)
		leader.disk.PowerLoss()
		h.start(leader.name)
		time.Sleep(time.Second)
		for i, id := range ids[:10] {
			body, err := h.body(id)
			assert.NilError(t, err)
			assert.Equal(t, body, fmt.Sprint(i, large))
		}
		outcome, err := h.state(ids[50])
		assert.NilError(t, err)
		assert.Equal(t, outcome.Stamp, ids[50])
	})
}

func TestFullDiskRefusesAndKeeps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		id := h.mustPut("r", "", "x")
		for _, m := range h.machines {
			m.disk.SetFull(true)
		}
		_, err := h.put("r2", "", "y")
		assert.Assert(t, err != nil)
		body, err := h.body(id)
		assert.NilError(t, err)
		assert.Equal(t, body, "x")
		for _, m := range h.machines {
			m.disk.SetFull(false)
		}
		time.Sleep(3 * time.Second)
		h.mustPut("r3", "", "z")
	})
}

func TestOneReportOfAStoreTellsAsMuchAsMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		store := h.machines["a"].store
		assert.Assert(t, store.isReportDue("b", time.Now()))
		assert.Assert(t, !store.isReportDue("b", time.Now()))
		assert.Assert(t, store.isReportDue("c", time.Now()))
		time.Sleep(reportInterval)
		assert.Assert(t, store.isReportDue("b", time.Now()))
	})
}

func TestOldEndedMessagesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		id := h.mustPut("r", "", "x")
		leader := h.leader(id)
		leader.store.Ended(h.messageOf(id), message.Outcome{State: message.DeadLetter})
		time.Sleep(50 * time.Second)
		outcome, err := h.state(id)
		assert.NilError(t, err)
		assert.Equal(t, outcome.State, message.DeadLetter)
		time.Sleep(30 * time.Second)
		_, err = h.state(id)
		assert.Assert(t, errors.Is(err, message.ErrNotFound))
	})
}

func FuzzDecodeRecord(f *testing.F) {
	line, err := (&record{Kind: recordAccepted, Message: &message.Message{ID: "1-2"}}).encode()
	assert.NilError(f, err)
	f.Add(append(line, "body"...))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, _, err := decodeRecord(data)
		if err == nil {
			newPartition(0).apply(decoded, wal.Position{})
		}
	})
}

// handovers returns the asks for a handover that the control plane has had.
func (h *harness) handovers() []cluster.PartitionRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(h.requests), func(ask cluster.PartitionRequest) bool { return !ask.Handover })
}

// A backup may be synced by the word of the control plane before its primary knows. What the primary did not wait for may
// still be on its way there: it must not be promoted.
func TestHandoverNamesTheBackupsThatAreReady(t *testing.T) {
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
		asked := h.handovers()
		assert.Equal(t, len(asked), 1)
		assert.DeepEqual(t, asked[0].Ready, []string{"b"})
	})
}

// The end of a message may be lost on its way to a backup while the handover waits behind it.
func TestHandoverLooksAgainAfterTheFlush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		id := h.mustPut("r", "key", "x")
		leader := h.leader(id)
		ended := h.messageOf(id)
		backup := h.machines[h.currentTable().Partitions[ended.Partition].Replicas[1].Store]
		h.network.Isolate(leader.ip, backup.ip)
		leader.store.Ended(ended, message.Outcome{State: message.Completed, Stamp: "s"})
		time.Sleep(20 * time.Millisecond)
		time.AfterFunc(replicateTimeout-10*time.Millisecond, func() { h.network.Heal(leader.ip, backup.ip) })
		assert.Assert(t, leader.store.handOver(t.Context(), ended.Partition) != handoverDone)
		assert.Equal(t, len(h.handovers()), 0)
	})
}
