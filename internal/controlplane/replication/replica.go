package replication

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/wal"
)

// replica is this process's copy of the log and of the state machine. Entries are applied when they are known to be
// committed. mu guards the fields below it and the state machine.
type replica struct {
	machine StateMachine
	logger  *zap.Logger
	log     *wal.Log

	// snapshotting is held while a snapshot is taken and written. It is acquired before mu.
	snapshotting semaphore

	mu         sync.Mutex
	epoch      uint64   // the epoch whose primary's log the replica follows; 0 if there is none
	ownedSince uint64   // the epoch since which no other process has replaced the log; 0 if another one has
	last       position // the end of the log
	applied    position // position of the last entry that was applied
	unapplied  []entry  // the entries after applied
	committed  uint64   // the index up to which the log is known to be committed
	// installing is set while a primary's snapshot is in memory but not yet durable.
	installing    bool
	loggedBytes   int // bytes of records since the last snapshot
	snapshotBytes int
	// compactNotBefore is the earliest time of the next snapshot after a failed one.
	compactNotBefore time.Time
	applyErrors      map[uint64]error // results of Apply, by index, for the changes that proposers wait for
}

// openReplica restores the replica from the newest snapshot and the log on the disk.
func openReplica(options Options) (*replica, error) {
	r := &replica{
		machine:      options.StateMachine,
		logger:       options.Logger,
		snapshotting: newSemaphore(),
		applyErrors:  map[uint64]error{},
	}
	log, err := wal.Open(wal.Options{FS: options.FS, Logger: options.Logger}, r.restoreSnapshot, r.replayRecord)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r.log = log
	return r, nil
}

// replayRecord replays a record of the log on the disk. The entry holds the commit index of the time when it was
// written, and replayRecord applies the entries up to that index.
func (r *replica) replayRecord(_ wal.Position, record []byte) error {
	decoded, err := decodeEntry(append([]byte(nil), record...))
	if err != nil {
		return trace.Wrap(err)
	}
	if decoded.Index != r.last.Index+1 {
		return trace.Errorf("the log has a gap: entry %d follows %d", decoded.Index, r.last.Index)
	}
	r.addEntry(decoded, len(record))
	r.applyUpTo(decoded.Commit)
	return nil
}

// addEntry adds an entry to the end. The caller holds the lock.
func (r *replica) addEntry(added entry, size int) {
	r.unapplied = append(r.unapplied, added)
	r.last = added.position
	r.loggedBytes += size
}

// applyUpTo applies the entries up to an index. The caller holds the lock.
func (r *replica) applyUpTo(index uint64) {
	count := 0
	for count < len(r.unapplied) && r.unapplied[count].Index <= index {
		r.apply(r.unapplied[count])
		count++
	}
	if count > 0 {
		r.unapplied = append([]entry(nil), r.unapplied[count:]...)
	}
	r.committed = max(r.committed, min(index, r.last.Index))
}

// apply applies an entry, and keeps the result if a proposer waits for it. The caller holds the lock.
func (r *replica) apply(next entry) {
	err := r.machine.Apply(next.Change)
	if _, awaited := r.applyErrors[next.Index]; awaited {
		r.applyErrors[next.Index] = err
	}
	r.applied = next.position
}

// beginEpoch makes the replica follow this process as the primary of an epoch, and returns the end of its log.
// Afterwards the replica rejects entries from primaries of lower epochs.
func (r *replica) beginEpoch(epoch uint64) (position, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch < r.epoch || r.installing {
		return position{}, errNotAttached
	}
	r.epoch = epoch
	if r.ownedSince == 0 {
		r.ownedSince = epoch
	}
	return r.last, nil
}

// ownsSinceLocked reports whether no other process has replaced anything of the log since an epoch. The caller holds
// the lock.
func (r *replica) ownsSinceLocked(epoch uint64) bool {
	return r.ownedSince != 0 && r.ownedSince <= epoch
}

// ownsSince is ownsSinceLocked for callers without the lock.
func (r *replica) ownsSince(epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownsSinceLocked(epoch)
}

// committedIn returns the commit index that the primary of an epoch may report. It returns false if another process has
// replaced the log since.
func (r *replica) committedIn(epoch uint64) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ownsSinceLocked(epoch) {
		return 0, false
	}
	return r.committed, true
}

// propose appends changes at the primary of an epoch. It returns the position that they follow, and their framed
// records.
func (r *replica) propose(epoch uint64, changes [][]byte) (after position, records []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch != r.epoch {
		return position{}, nil, errNotAttached
	}
	after = r.last
	for _, change := range changes {
		added := entry{position: position{epoch, r.last.Index + 1}, Commit: r.committed, Change: change}
		record := added.encode(nil)
		if _, err := r.log.Append(record); err != nil {
			return position{}, nil, trace.Wrap(err)
		}
		r.addEntry(added, len(record))
		r.applyErrors[added.Index] = nil
		records = appendFrame(records, record)
	}
	return after, records, nil
}

// appendFromPrimary appends entries that follow a position in the log of an epoch's primary, except those that the
// replica already has. It returns errNotAttached if the replica does not follow that log, or lacks entries before them.
func (r *replica) appendFromPrimary(epoch uint64, after position, entries []entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch != r.epoch || r.installing {
		return errNotAttached
	}
	if after != r.last && !r.endsWithin(after, entries) {
		return errNotAttached
	}
	for _, added := range entries {
		if added.Index <= r.last.Index {
			continue
		}
		record := added.encode(nil)
		if _, err := r.log.Append(record); err != nil {
			return trace.Wrap(err)
		}
		r.addEntry(added, len(record))
	}
	return nil
}

// endsWithin reports whether the log ends with one of the entries that follow a position, which is the case after an
// earlier copy of the same call. The caller holds the lock.
func (r *replica) endsWithin(after position, entries []entry) bool {
	if after.Index >= r.last.Index {
		return false
	}
	for _, known := range entries {
		if known.position == r.last {
			return true
		}
	}
	return false
}

// commit applies what the primary of an epoch reports as committed. It reports whether the replica follows that
// primary, and whether it has applied all that is committed.
func (r *replica) commit(epoch, index uint64) (attached, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch != r.epoch || r.installing {
		return false, false
	}
	r.applyUpTo(index)
	return true, r.applied.Index >= index
}

// attach makes the replica follow the primary of an epoch if both logs end at the same position, and reports whether
// they do.
func (r *replica) attach(epoch uint64, last position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch < r.epoch || r.installing || last != r.last {
		return false
	}
	r.epoch, r.ownedSince = epoch, 0
	clear(r.applyErrors)
	return true
}

// sync returns when everything that has been appended is durable.
func (r *replica) sync(ctx context.Context) error { return trace.Wrap(r.log.Sync(ctx)) }

// syncWithin is sync with a time limit.
func (r *replica) syncWithin(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return r.sync(ctx)
}

// takeApplyError returns the result of Apply for a proposed change, and removes it.
func (r *replica) takeApplyError(index uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.applyErrors[index]
	delete(r.applyErrors, index)
	return result
}

// end returns the position of the end of the log.
func (r *replica) end() position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}
