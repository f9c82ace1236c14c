package messagestore

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/messagestore/record"
)

// TestReplacementOfALostBackupGetsAllMessages guards against a replacement that lacks messages or outcomes from before
// it joined: after it is promoted, it has to deliver and answer for all of them.
func TestReplacementOfALostBackupGetsAllMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		var ids []string
		for i := range 30 {
			ids = append(ids, h.mustPut(fmt.Sprint(i), "key", fmt.Sprintf("body %d", i)))
		}
		primary := h.primary(ids[0])
		primary.store.Ended(h.messageOf(ids[0]), message.Outcome{State: message.Completed, Stamp: "s"})
		partition := h.partitionOf(ids[0])
		backup := h.backup(partition).name
		h.stop(backup)
		ids = append(ids, h.mustPut("after", "key", "body after"))
		time.Sleep(3 * time.Second)
		view := h.currentTable().Partitions[partition]
		assert.Assert(t, view.IndexOf(backup) < 0)
		assert.Assert(t, view.Replicas[1].Synced)

		h.stop(primary.name)
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
		h.start(primary.name)
	})
}

// receiveEnded has a machine's store receive the record of how a message ended.
func (m *machine) receiveEnded(partition int, id string, outcome message.Outcome) error {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	ended := &record.Record{Kind: record.Ended, Partition: partition, ID: id, Outcome: &outcome, EndedAt: time.Now()}
	line, err := ended.Encode()
	if err != nil {
		return err
	}
	return m.store.appendReceivedRecord(protocol.RecordHeader{Partition: partition, Length: len(line)}, line)
}

// TestReplacementGetsTheBodiesOfRecentDeadLetters guards against a replacement that gets the outcome of a dead letter,
// which waits for all replicas, before the primary asks what it lacks, and then never gets the message with its body.
func TestReplacementGetsTheBodiesOfRecentDeadLetters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		dead := h.mustPut("dead", "key", "body")
		primary := h.primary(dead)
		partition := h.partitionOf(dead)
		backup := h.backup(partition).name
		h.onRequest = func(cluster.PartitionRequest) { // the outcome arrives before all else
			for _, m := range h.machines {
				if m != primary && m.name != backup {
					assert.Check(t, m.receiveEnded(partition, dead, message.Outcome{State: message.DeadLetter}) == nil)
				}
			}
		}
		h.stop(backup)
		primary.store.Ended(h.messageOf(dead), message.Outcome{State: message.DeadLetter})
		h.mustPut("after", "key", "body after")
		time.Sleep(3 * time.Second)

		view := h.currentTable().Partitions[partition]
		assert.Assert(t, view.Replicas[1].Synced)
		h.stop(primary.name)
		h.setView(partition, view.Replicas[1].Store)
		time.Sleep(time.Second)
		body, err := h.body(dead)
		assert.NilError(t, err)
		assert.Equal(t, body, "body")
		h.start(backup)
		h.start(primary.name)
	})
}

// TestFormerPrimaryCannotCommit guards against a former primary that acknowledges a message after its backup was
// promoted.
func TestFormerPrimaryCannotCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		former, successor := h.machines["a"], h.machines["b"]
		id := h.mustPut("r0", "key", "x")
		partition := h.partitionOf(id)
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
		_, err := h.clients.Get(h.address("a")).Call(ctx, protocol.MethodPut, protocol.PutRequest{Submission: submission}, []byte("x"), nil)
		assert.Assert(t, err != nil)
		assert.Assert(t, !slices.Contains(former.engine.ids(), "late"))
	})
}

func TestAcknowledgedMessagesSurvivePowerLossOfAllStores(t *testing.T) {
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
			assert.Assert(t, slices.Contains(h.primary(id).engine.ids(), id))
		}
	})
}

func TestAcknowledgedMessagesSurviveAWipedDisk(t *testing.T) {
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

// TestReturningReplicaDropsMessagesThatItsPrimaryHasForgotten guards against messages that run again: a store is away while
// they complete and their outcomes expire, and is made a replica again, with its old disk, before any table tells it that
// it was none.
func TestReturningReplicaDropsMessagesThatItsPrimaryHasForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		old := h.mustPut("old", "key", "x")
		primary := h.primary(old)
		partition := h.partitionOf(old)
		backup := h.backup(partition).name
		h.stop(backup)
		h.mustPut("after", "key", "y")
		time.Sleep(3 * time.Second) // the third store replaces the backup
		primary.store.Ended(h.messageOf(old), message.Outcome{State: message.Completed, Stamp: "s"})
		time.Sleep(2 * time.Minute) // the outcome expires
		third := h.backup(partition).name
		assert.Assert(t, third != backup)

		h.stop(third)
		h.replaceUnsynced(partition, third, backup)
		h.start(backup)
		time.Sleep(3 * time.Second)
		assert.Assert(t, h.currentTable().Partitions[partition].Replicas[1].Synced)
		h.stop(primary.name)
		h.setView(partition, backup)
		time.Sleep(2 * time.Second)
		assert.Assert(t, !slices.Contains(h.machines[backup].engine.ids(), old))
		h.start(primary.name)
		h.start(third)
	})
}
