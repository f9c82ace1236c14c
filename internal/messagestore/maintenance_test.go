package messagestore

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/message"
)

// TestCompactionKeepsBodiesAndOutcomes guards against a compaction that loses the bodies of queued messages or the
// outcomes of completed ones. A power loss and a replay follow the compaction.
func TestCompactionKeepsBodiesAndOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		large := strings.Repeat("x", 100<<10)
		var ids []string
		for i := range 120 {
			ids = append(ids, h.mustPut(fmt.Sprint(i), "key", fmt.Sprint(i, large)))
		}
		primary := h.primary(ids[0])
		for _, id := range ids[10:] {
			primary.store.Ended(h.messageOf(id), message.Outcome{State: message.Completed, Stamp: id})
		}
		before := primary.store.log.Size()
		for range 6 {
			assert.NilError(t, primary.store.Compact())
		}
		assert.Assert(t, primary.store.log.Size() < before/2)
		h.stop(primary.name)
		primary.disk.PowerLoss()
		h.start(primary.name)
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

// TestCompactionSyncsItsCopiesInSteps guards against a compaction that fails, and leaves a store that accepts nothing,
// because its copies fill the memory for records that wait for the disk.
func TestCompactionSyncsItsCopiesInSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		large := strings.Repeat("x", 1<<20)
		var ids []string
		for i := range 48 {
			ids = append(ids, h.mustPut(fmt.Sprint(i), "key", fmt.Sprint(i, large)))
		}
		primary := h.primary(ids[0])
		assert.NilError(t, primary.store.Compact())
		h.mustPut("after", "key", "x")
		for i, id := range ids {
			body, err := h.body(id)
			assert.NilError(t, err)
			assert.Assert(t, body == fmt.Sprint(i, large))
		}
	})
}

// TestSnapshotDoesNotBlockStore guards against a snapshot that blocks the store during its I/O. While the disk is
// stalled, the store answers calls that need no disk, and a later replay includes the changes made meanwhile.
func TestSnapshotDoesNotBlockStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		first, second := h.mustPut("1", "key", "one"), h.mustPut("2", "key", "two")
		primary := h.primary(first)
		primary.disk.SetStalled(true)
		written := make(chan error, 1)
		go func() { written <- primary.store.writeSnapshot() }()
		synctest.Wait()
		started := time.Now()
		outcome, err := h.state(first)
		assert.NilError(t, err)
		assert.Equal(t, outcome.State, message.Queued)
		primary.store.Ended(h.messageOf(first), message.Outcome{State: message.Completed, Stamp: "s"})
		assert.Assert(t, time.Since(started) < 100*time.Millisecond)
		assert.Equal(t, len(written), 0)
		primary.disk.SetStalled(false)
		assert.NilError(t, <-written)
		assert.NilError(t, primary.store.log.Sync(t.Context()))
		h.stop(primary.name)
		h.start(primary.name)
		time.Sleep(time.Second)
		outcome, err = h.state(first)
		assert.NilError(t, err)
		assert.DeepEqual(t, outcome, message.Outcome{State: message.Completed, Stamp: "s"})
		body, err := h.body(second)
		assert.NilError(t, err)
		assert.Equal(t, body, "two")
	})
}

// TestSnapshotsDuringWritesReplayToTheSameIndex guards against snapshots that are inconsistent with the log. It writes
// snapshots while messages are stored and end, and compares the index before and after a restart.
func TestSnapshotsDuringWritesReplayToTheSameIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		primary := h.machines["a"]
		var writers sync.WaitGroup
		for writer := range 4 {
			writers.Go(func() {
				for i := range 20 {
					id := h.mustPut(fmt.Sprintf("%d-%d", writer, i), fmt.Sprint("key", writer), "body")
					if i%2 == 0 {
						h.primary(id).store.Ended(h.messageOf(id), message.Outcome{State: message.Completed, Stamp: id})
					}
				}
			})
		}
		writers.Go(func() {
			for range 30 {
				assert.Check(t, primary.store.writeSnapshot() == nil)
				time.Sleep(time.Millisecond)
			}
		})
		writers.Wait()
		synctest.Wait()
		before, err := primary.store.encodeIndex()
		assert.NilError(t, err)
		assert.NilError(t, primary.store.log.Sync(t.Context()))
		h.stop("a")
		h.start("a")
		after, err := primary.store.encodeIndex()
		assert.NilError(t, err)
		assert.DeepEqual(t, indexedIDs(t, before), indexedIDs(t, after))
	})
}

// indexedIDs returns the messages of an encoded index with their states, sorted.
func indexedIDs(t *testing.T, data []byte) []string {
	t.Helper()
	var all []snapshotPartition
	assert.NilError(t, json.Unmarshal(data, &all))
	var ids []string
	for _, one := range all {
		for _, each := range one.Entries {
			ids = append(ids, fmt.Sprintf("%d %s %s %s", one.ID, each.ID, each.Outcome.State, each.Outcome.Stamp))
		}
	}
	slices.Sort(ids)
	return ids
}

func TestExpiredMessagesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		id := h.mustPut("r", "", "x")
		primary := h.primary(id)
		primary.store.Ended(h.messageOf(id), message.Outcome{State: message.DeadLetter})
		time.Sleep(50 * time.Second)
		outcome, err := h.state(id)
		assert.NilError(t, err)
		assert.Equal(t, outcome.State, message.DeadLetter)
		time.Sleep(30 * time.Second)
		_, err = h.state(id)
		assert.Assert(t, errors.Is(err, message.ErrNotFound))
	})
}

func TestReportsOfAStoreAreLimited(t *testing.T) {
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
