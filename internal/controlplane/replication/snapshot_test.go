package replication

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gladepick/internal/vfs/memfs"
)

func drawEntry(t *rapid.T) entry {
	return entry{
		position: position{rapid.Uint64().Draw(t, "epoch"), rapid.Uint64().Draw(t, "index")},
		Commit:   rapid.Uint64().Draw(t, "commit"),
		Change:   rapid.SliceOf(rapid.Byte()).Draw(t, "change"),
	}
}

func sameEntry(one, other entry) bool {
	return one.position == other.position && one.Commit == other.Commit && bytes.Equal(one.Change, other.Change)
}

func TestSnapshotEncodingLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original := snapshot{
			applied:   position{rapid.Uint64().Draw(t, "epoch"), rapid.Uint64().Draw(t, "index")},
			unapplied: rapid.SliceOf(rapid.Custom(drawEntry)).Draw(t, "tail"),
			state:     rapid.SliceOf(rapid.Byte()).Draw(t, "state"),
		}
		decoded, err := decodeSnapshot(original.encode())
		assert.NilError(t, err)
		assert.Equal(t, decoded.applied, original.applied)
		assert.Equal(t, decoded.last(), original.last())
		assert.Assert(t, bytes.Equal(decoded.state, original.state))
		assert.Equal(t, len(decoded.unapplied), len(original.unapplied))
		for i := range decoded.unapplied {
			assert.Assert(t, sameEntry(decoded.unapplied[i], original.unapplied[i]))
		}
	})
}

func TestTruncatedEntriesAreRejected(t *testing.T) {
	frame := appendFrame(nil, entry{position: position{3, 4}, Commit: 2, Change: []byte("change")}.encode(nil))
	decoded, err := decodeEntries(append(bytes.Clone(frame), frame...))
	assert.NilError(t, err)
	assert.Equal(t, len(decoded), 2)
	for length := 1; length < len(frame); length++ {
		_, err := decodeEntries(frame[:length])
		assert.ErrorIs(t, err, errMalformed)
	}
}

func FuzzDecodeSnapshot(f *testing.F) {
	f.Add(snapshot{unapplied: []entry{{Change: []byte("a")}}, state: []byte("state")}.encode())
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeSnapshot(data)
		_, _ = decodeEntries(data)
	})
}

// TestFailedSnapshotIsRetried guards against a snapshot that fails on a full disk and is due again only after as many
// bytes have been logged again. It must be due when the disk has space and snapshotRetryInterval has passed.
func TestFailedSnapshotIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := memfs.New(1)
		opened, err := openReplica(Options{FS: disk.Mount(), StateMachine: &listMachine{}}.withDefaults())
		assert.NilError(t, err)
		_, err = opened.beginEpoch(1)
		assert.NilError(t, err)
		_, _, err = opened.propose(1, [][]byte{bytes.Repeat([]byte("x"), compactAfterBytes+1)})
		assert.NilError(t, err)
		assert.NilError(t, opened.log.Sync(t.Context()))
		opened.mu.Lock()
		opened.applyUpTo(1)
		opened.mu.Unlock()
		assert.Assert(t, opened.needsCompaction())
		disk.SetFull(true)
		opened.compact()
		assert.Assert(t, !opened.needsCompaction(), "the snapshot is due again without a delay")
		disk.SetFull(false)
		time.Sleep(snapshotRetryInterval)
		assert.Assert(t, opened.needsCompaction())
		opened.compact()
		assert.Assert(t, !opened.needsCompaction())
		assert.Assert(t, opened.log.Size() < 2*compactAfterBytes)
		assert.NilError(t, opened.log.Close())
	})
}

func TestLongLogsAreCompacted(t *testing.T) {
	inCluster(t, 3, 2, 1, func(c *cluster) {
		leader := c.awaitPrimary(time.Second)
		for i := range 30 {
			leader.mustPropose(fmt.Sprint(i, strings.Repeat("x", 200<<10)))
		}
		c.awaitAllHold(time.Second, leader.process().machine.list()...)
		held := leader.process().machine.list()
		for _, each := range c.nodes {
			size := each.process().group.replica.log.Size()
			assert.Assert(c.t, size < 24<<20, "%d bytes", size)
			assert.Assert(c.t, len(each.process().group.replica.log.Segments()) < 3)
			each.powerOff()
		}
		for _, each := range c.nodes {
			each.restart()
		}
		c.awaitInSync(3*time.Second, 3)
		c.awaitAllHold(time.Second, held...)
	})
}
