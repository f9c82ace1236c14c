package replication

import (
	"math"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/wal"
)

// compactAfterBytes is how many bytes of records, beyond twice the size of the last snapshot, are logged before the
// next snapshot is written.
const compactAfterBytes = 1 << 20

// snapshotRetryInterval is the delay until the next attempt after a snapshot that could not be written.
const snapshotRetryInterval = time.Second

// restoreSnapshot restores the replica from a snapshot on the disk.
func (r *replica) restoreSnapshot(data []byte) error {
	decoded, err := decodeSnapshot(append([]byte(nil), data...))
	if err != nil {
		return trace.Wrap(err)
	}
	r.snapshotBytes = len(data)
	return trace.Wrap(r.adopt(decoded))
}

// adopt replaces the state and the unapplied entries with those of a snapshot. The caller holds the lock, or is the
// only user.
func (r *replica) adopt(from snapshot) error {
	if err := r.machine.Restore(from.state); err != nil {
		return trace.Wrap(err)
	}
	r.applied = from.applied
	r.committed = from.applied.Index
	r.unapplied = from.unapplied
	r.last = from.last()
	clear(r.applyErrors)
	return nil
}

// installSnapshot replaces the log and the state with the snapshot of an epoch's primary, and makes the replica follow
// that primary. It returns when the snapshot is durable.
func (r *replica) installSnapshot(epoch uint64, data []byte) error {
	decoded, err := decodeSnapshot(data)
	if err != nil {
		return trace.Wrap(err)
	}
	r.snapshotting.acquire()
	defer r.snapshotting.release()
	snapshot, err := r.beginInstall(epoch, decoded)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := snapshot.Commit(data); err != nil {
		return trace.Wrap(err)
	}
	r.endInstall(len(data))
	return trace.Wrap(r.log.RemoveSegments(math.MaxUint64))
}

// beginInstall adopts a primary's snapshot in memory and begins the snapshot on the disk.
func (r *replica) beginInstall(epoch uint64, from snapshot) (*wal.Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch < r.epoch || r.isAheadOf(epoch, from) {
		return nil, errNotAttached
	}
	snapshot, err := r.log.BeginSnapshot()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r.epoch, r.ownedSince = epoch, 0
	r.installing = true
	return snapshot, trace.Wrap(r.adopt(from))
}

// isAheadOf reports whether the log holds entries of the epoch that a snapshot from its primary lacks, which means that
// the snapshot was delayed. The caller holds the lock.
func (r *replica) isAheadOf(epoch uint64, from snapshot) bool {
	return !r.installing && r.last.Epoch == epoch && r.last.Index > from.last().Index
}

// endInstall records that the installed snapshot is durable.
func (r *replica) endInstall(size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.installing = false
	r.loggedBytes, r.snapshotBytes = 0, size
}

// snapshot returns the encoded snapshot, and the end of the log that it covers.
func (r *replica) snapshot() ([]byte, position, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.encodeSnapshot()
}

// encodeSnapshot is snapshot for callers that hold the lock.
func (r *replica) encodeSnapshot() ([]byte, position, error) {
	state, err := r.machine.Snapshot()
	if err != nil {
		return nil, position{}, trace.Wrap(err)
	}
	return snapshot{applied: r.applied, unapplied: r.unapplied, state: state}.encode(), r.last, nil
}

// compact writes a snapshot and removes the log before it, if the log is long enough and no other snapshot is being
// written.
func (r *replica) compact() {
	if !r.needsCompaction() || !r.snapshotting.tryAcquire() {
		return
	}
	defer r.snapshotting.release()
	if err := r.writeSnapshot(); err != nil {
		r.logger.Warn("snapshot failed", zap.Error(err))
		r.delayCompaction()
	}
}

// delayCompaction postpones the next snapshot after a failed one.
func (r *replica) delayCompaction() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.compactNotBefore = time.Now().Add(snapshotRetryInterval)
}

// needsCompaction reports whether the log is long enough for a snapshot, and none is delayed or being installed.
func (r *replica) needsCompaction() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isLong := r.loggedBytes > compactAfterBytes+2*r.snapshotBytes
	return isLong && !r.installing && !time.Now().Before(r.compactNotBefore)
}

// writeSnapshot writes a snapshot and removes the log before it. It does not hold the lock while it writes to the disk.
func (r *replica) writeSnapshot() error {
	snapshot, data, covered, err := r.beginSnapshot()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := snapshot.Commit(data); err != nil {
		return trace.Wrap(err)
	}
	r.endSnapshot(len(data), covered)
	return trace.Wrap(r.log.RemoveSegments(math.MaxUint64))
}

// beginSnapshot begins a snapshot of the current state. It also returns how many bytes of records the snapshot covers.
func (r *replica) beginSnapshot() (begun *wal.Snapshot, data []byte, covered int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.installing {
		return nil, nil, 0, errNotAttached
	}
	data, _, err = r.encodeSnapshot()
	if err != nil {
		return nil, nil, 0, trace.Wrap(err)
	}
	begun, err = r.log.BeginSnapshot()
	return begun, data, r.loggedBytes, trace.Wrap(err)
}

// endSnapshot records that a snapshot is durable. What was logged meanwhile counts towards the next one.
func (r *replica) endSnapshot(size, covered int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loggedBytes -= covered
	r.snapshotBytes = size
}

// compact compacts the log in a separate goroutine if it is long enough.
func (g *Group) compact() {
	if g.replica.needsCompaction() {
		go g.replica.compact()
	}
}
