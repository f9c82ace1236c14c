package replication

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/wal"
)

// replica is a copy of the log and of the state machine. Entries are applied when they are known to be committed.
type replica struct {
	machine StateMachine
	logger  *zap.Logger
	log     *wal.Log

	// snapshots is held while a snapshot is made and written; it is taken before mu.
	snapshotting semaphore

	mu         sync.Mutex
	epoch      uint64   // the epoch whose primary's log this replica follows; 0 for none
	ownedSince uint64   // the epoch since which the log was only this process's own; 0 where it follows another's
	last       position // the end of the log
	applied    position // the last entry the state machine has
	unapplied  []entry  // what follows it
	committed  uint64
	// undurable is set while the memory holds a state from another process that the disk does not hold yet.
	installing    bool
	loggedBytes   int // bytes of records since the last snapshot
	snapshotBytes int
	applyErrors   map[uint64]error // what the state machine said to changes that are waited for
}

func openReplica(options Options) (*replica, error) {
	r := &replica{machine: options.StateMachine, logger: options.Logger, snapshotting: newSemaphore(), applyErrors: map[uint64]error{}}
	log, err := wal.Open(wal.Options{FS: options.FS, Logger: options.Logger}, r.restoreSnapshot, r.replayRecord)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r.log = log
	return r, nil
}

// replayRecord takes a record from the log on disk. The entry says up to where the log was committed when it was made.
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

// addEntry puts an entry at the end. The caller holds the lock.
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

func (r *replica) apply(next entry) {
	err := r.machine.Apply(next.Change)
	if _, awaited := r.applyErrors[next.Index]; awaited {
		r.applyErrors[next.Index] = err
	}
	r.applied = next.position
}

// beginEpoch makes the replica follow its own process as the primary of an epoch, and returns the end of its log. Nothing
// is taken from primaries of lower epochs afterwards.
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

// ownsSinceLocked reports whether nothing in the log was replaced by another process since an epoch.
func (r *replica) ownsSinceLocked(epoch uint64) bool {
	return r.ownedSince != 0 && r.ownedSince <= epoch
}

// ownsSince is owns for callers without the lock.
func (r *replica) ownsSince(epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownsSinceLocked(epoch)
}

// committedIn returns what the primary of an epoch may call committed: nothing where its log has been replaced.
func (r *replica) committedIn(epoch uint64) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ownsSinceLocked(epoch) {
		return 0, false
	}
	return r.committed, true
}

// propose appends changes at the primary of an epoch. It returns the position they follow and their framed records.
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

// appendFromPrimary appends entries from the primary of an epoch behind a position, except those it already has.
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

// endsWithin reports whether the log ends within the entries, which follow a position: an earlier copy of the call has come.
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

// commit applies what is committed according to the primary of an epoch. It reports whether the replica follows it, and
// holds all that is committed.
func (r *replica) commit(epoch, index uint64) (attached, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch != r.epoch || r.installing {
		return false, false
	}
	r.applyUpTo(index)
	return true, r.applied.Index >= index
}

// attach makes the replica follow the primary of an epoch if both logs end at the same position.
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

// sync returns when all that has been appended is durable.
func (r *replica) sync(ctx context.Context) error { return trace.Wrap(r.log.Sync(ctx)) }

// syncWithin is sync with a limit.
func (r *replica) syncWithin(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return r.sync(ctx)
}

// takeApplyError returns what the state machine said to a proposed change, and forgets it.
func (r *replica) takeApplyError(index uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := r.applyErrors[index]
	delete(r.applyErrors, index)
	return outcome
}

// end returns the end of the log.
func (r *replica) end() position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}
