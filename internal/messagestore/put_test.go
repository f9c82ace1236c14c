package messagestore

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/message"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/rpc"
)

func TestMessageIsStoredAndDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		id := h.mustPut("r1", "", "payload")
		synctest.Wait()
		assert.DeepEqual(t, h.primary(id).engine.ids(), []string{id})
		outcome, err := h.state(id)
		assert.NilError(t, err)
		assert.Equal(t, outcome.State, message.Queued)
		body, err := h.body(id)
		assert.NilError(t, err)
		assert.Equal(t, body, "payload")

		primary := h.primary(id)
		primary.store.Ended(h.messageOf(id), message.Outcome{State: message.Completed, Stamp: "s1"})
		outcome, err = h.state(id)
		assert.NilError(t, err)
		assert.DeepEqual(t, outcome, message.Outcome{State: message.Completed, Stamp: "s1"})
		_, err = h.body(id)
		assert.Assert(t, errors.Is(err, message.ErrBodyNotFound))
	})
}

func TestMessagesWithOneOrderKeyAreSubmittedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		var ids []string
		for i := range 20 {
			ids = append(ids, h.mustPut(fmt.Sprint(i), "key", "x"))
		}
		synctest.Wait()
		assert.DeepEqual(t, h.primary(ids[0]).engine.ids(), ids)
		last := uint64(0)
		for _, id := range ids {
			m := h.messageOf(id)
			assert.Assert(t, m.Sequence > last)
			last = m.Sequence
		}
	})
}

// TestPutIsCommittedAfterItsCallerHasGone guards against a message that is on all disks and stays pending for good, because
// its caller's connection ended while the primary's disk synced it.
func TestPutIsCommittedAfterItsCallerHasGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		time.Sleep(time.Second)
		primary := h.machines["a"]
		primary.disk.SetStalled(true)
		caller := rpc.NewPool(h.network.Host("10.0.1.9"))
		failed := make(chan error, 1)
		go func() {
			request := protocol.PutRequest{Submission: message.Submission{
				RetentionMS: 90_000, Message: message.Message{Partition: 0, ID: "r1", RequestID: "r1"},
			}}
			_, err := caller.Get(h.address("a")).Call(context.Background(), protocol.MethodPut, request, []byte("x"), nil)
			failed <- err
		}()
		time.Sleep(50 * time.Millisecond)
		caller.Close()
		assert.Assert(t, <-failed != nil)
		time.Sleep(50 * time.Millisecond)
		primary.disk.SetStalled(false)
		time.Sleep(time.Second)
		assert.DeepEqual(t, primary.engine.ids(), []string{"r1"})
	})
}

func TestPutWithTooFewReplicasIsNotAcknowledged(t *testing.T) {
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

func TestRepeatedPutIsSubmittedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		submission := message.Submission{Message: message.Message{Partition: 0, ID: "0-1", RequestID: "r"}}
		primary := h.primary("0-1")
		for range 3 {
			_, err := h.clients.Get(h.address(primary.name)).Call(t.Context(), protocol.MethodPut, protocol.PutRequest{Submission: submission}, []byte("x"), nil)
			assert.NilError(t, err)
		}
		assert.DeepEqual(t, primary.engine.ids(), []string{"0-1"})
	})
}

// TestFullDiskRejectsPutsAndKeepsMessages guards against a store that loses stored messages on a full disk, or that
// accepts no messages after the disk has room again.
func TestFullDiskRejectsPutsAndKeepsMessages(t *testing.T) {
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

// TestRepeatedPutIsAcknowledgedOnlyOnceTheBackupsHaveIt guards against a put that is sent again after a failover and is
// acknowledged although the message is on the disk of the new primary only.
func TestRepeatedPutIsAcknowledgedOnlyOnceTheBackupsHaveIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		h.rejectRequests()
		assert.NilError(t, h.putAt(0, "m"))
		view := h.currentTable().Partitions[0]
		former, successor := view.Replicas[0].Store, view.Replicas[1].Store
		h.network.Isolate(h.machines[successor].ip, h.machines["c"].ip)
		h.stop(former)
		h.setView(0, successor, "c") // c has nothing yet
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, h.putAt(0, "m") != nil)
		h.network.Heal(h.machines[successor].ip, h.machines["c"].ip)
		time.Sleep(2 * time.Second)
		assert.NilError(t, h.putAt(0, "m"))
		h.start(former)
	})
}

// TestOrderKeyThatIsNotUTF8IsKept guards against an order key whose bytes change on the way through the store: at the first
// delivery, at a backup and after a restart with and without a snapshot of the index.
func TestOrderKeyThatIsNotUTF8IsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		key := "caf\xe9"
		submission := message.Submission{
			RetentionMS: 90_000, Message: message.Message{RequestID: "r1", OrderKey: key},
		}
		submission.Message.KeepExactText()
		id, err := h.client().Put(context.Background(), submission, true, []byte("x"))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		primary := h.primary(id)
		assert.Equal(t, h.messageOf(id).OrderKey, key)
		for range 2 {
			assert.NilError(t, primary.store.log.Sync(context.Background()))
			h.stop(primary.name)
			h.start(primary.name)
			time.Sleep(time.Second)
			primary = h.primary(id)
			assert.Equal(t, h.messageOf(id).OrderKey, key)
			assert.NilError(t, primary.store.writeSnapshot())
		}
		partition := h.partitionOf(id)
		backup := h.backup(partition).name
		h.setView(partition, backup)
		time.Sleep(time.Second)
		assert.Equal(t, h.messageOf(id).OrderKey, key)
	})
}
