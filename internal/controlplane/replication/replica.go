package replication

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/wal"
)

// compactAfterBytes is how much is logged, beyond twice the size of the last snapshot, before the next is written.
const compactAfterBytes = 1 << 20

// errDetached means that the replica does not follow the log of the epoch in question, or not at that position.
var errDetached = errors.New("replication: replica is not attached to this epoch")

// replica is a copy of the log and of the state machine. Entries are applied when they are known to be committed.
type replica struct {
	machine StateMachine
	logger  *zap.Logger
	log     *wal.Log

	// snapshots is held while a snapshot is made and written; it is taken before mu.
	snapshots gate

	mu        sync.Mutex
	epoch     uint64   // the epoch whose primary's log this replica follows; 0 for none
	ownSince  uint64   // the epoch since which the log was only this process's own; 0 where it follows another's
	last      position // the end of the log
	applied   position // the last entry the state machine has
	tail      []entry  // what follows it
	committed uint64
	// undurable is set while the memory holds a state from another process that the disk does not hold yet.
	undurable    bool
	logged       int // bytes of records since the last snapshot
	snapshotSize int
	outcomes     map[uint64]error // what the state machine said to changes that are waited for
}

func openReplica(options Options) (*replica, error) {
	r := &replica{machine: options.StateMachine, logger: options.Logger, snapshots: newGate(), outcomes: map[uint64]error{}}
	log, err := wal.Open(wal.Options{FS: options.FS, Logger: options.Logger}, r.restore, r.replay)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r.log = log
	return r, nil
}

// restore takes the state from a snapshot.
func (r *replica) restore(data []byte) error {
	decoded, err := decodeImage(append([]byte(nil), data...))
	if err != nil {
		return trace.Wrap(err)
	}
	r.snapshotSize = len(data)
	return trace.Wrap(r.load(decoded))
}

// load replaces the state. The caller holds the lock.
func (r *replica) load(from image) error {
	if err := r.machine.Restore(from.state); err != nil {
		return trace.Wrap(err)
	}
	r.applied = from.applied
	r.committed = from.applied.Index
	r.tail = from.tail
	r.last = from.last()
	clear(r.outcomes)
	return nil
}

// replay takes a record from the log on disk. The entry says up to where the log was committed when it was made.
func (r *replica) replay(_ wal.Position, record []byte) error {
	decoded, err := decodeEntry(append([]byte(nil), record...))
	if err != nil {
		return trace.Wrap(err)
	}
	if decoded.Index != r.last.Index+1 {
		return trace.Errorf("the log has a gap: entry %d follows %d", decoded.Index, r.last.Index)
	}
	r.add(decoded, len(record))
	r.applyUpTo(decoded.Commit)
	return nil
}

// add puts an entry at the end. The caller holds the lock.
func (r *replica) add(added entry, size int) {
	r.tail = append(r.tail, added)
	r.last = added.position
	r.logged += size
}

// applyUpTo applies the entries up to an index. The caller holds the lock.
func (r *replica) applyUpTo(index uint64) {
	count := 0
	for count < len(r.tail) && r.tail[count].Index <= index {
		r.apply(r.tail[count])
		count++
	}
	if count > 0 {
		r.tail = append([]entry(nil), r.tail[count:]...)
	}
	r.committed = max(r.committed, min(index, r.last.Index))
}

func (r *replica) apply(next entry) {
	err := r.machine.Apply(next.Change)
	if _, awaited := r.outcomes[next.Index]; awaited {
		r.outcomes[next.Index] = err
	}
	r.applied = next.position
}

// begin makes the replica follow its own process as the primary of an epoch, and returns the end of its log. Nothing
// is taken from primaries of lower epochs afterwards.
func (r *replica) begin(epoch uint64) (position, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch < r.epoch || r.undurable {
		return position{}, errDetached
	}
	r.epoch = epoch
	if r.ownSince == 0 {
		r.ownSince = epoch
	}
	return r.last, nil
}

// owns tells whether nothing in the log was replaced by another process since an epoch.
func (r *replica) owns(epoch uint64) bool { return r.ownSince != 0 && r.ownSince <= epoch }

// isOwn is owns for callers without the lock.
func (r *replica) isOwn(epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owns(epoch)
}

// committedIn returns what the primary of an epoch may call committed: nothing where its log has been replaced.
func (r *replica) committedIn(epoch uint64) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.owns(epoch) {
		return 0, false
	}
	return r.committed, true
}

// propose appends changes at the primary of an epoch. It returns the position they follow and their framed records.
func (r *replica) propose(epoch uint64, changes [][]byte) (after position, records []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch != r.epoch {
		return position{}, nil, errDetached
	}
	after = r.last
	for _, change := range changes {
		added := entry{position: position{epoch, r.last.Index + 1}, Commit: r.committed, Change: change}
		record := added.encode(nil)
		if _, err := r.log.Append(record); err != nil {
			return position{}, nil, trace.Wrap(err)
		}
		r.add(added, len(record))
		r.outcomes[added.Index] = nil
		records = appendFrame(records, record)
	}
	return after, records, nil
}

// follow appends entries from the primary of an epoch behind a position, except those it already has.
func (r *replica) follow(epoch uint64, after position, entries []entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch != r.epoch || r.undurable {
		return errDetached
	}
	if after != r.last && !r.holds(after, entries) {
		return errDetached
	}
	for _, added := range entries {
		if added.Index <= r.last.Index {
			continue
		}
		record := added.encode(nil)
		if _, err := r.log.Append(record); err != nil {
			return trace.Wrap(err)
		}
		r.add(added, len(record))
	}
	return nil
}

// holds tells whether the log ends within the entries, which follow a position: an earlier copy of the call has come.
func (r *replica) holds(after position, entries []entry) bool {
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

// commit applies what is committed according to the primary of an epoch. It tells whether the replica follows it, and
// holds all that is committed.
func (r *replica) commit(epoch, index uint64) (attached, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch != r.epoch || r.undurable {
		return false, false
	}
	r.applyUpTo(index)
	return true, r.applied.Index >= index
}

// attach makes the replica follow the primary of an epoch if both logs end at the same position.
func (r *replica) attach(epoch uint64, last position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch < r.epoch || r.undurable || last != r.last {
		return false
	}
	r.epoch, r.ownSince = epoch, 0
	clear(r.outcomes)
	return true
}

// install replaces the log and the state by the image of an epoch's primary, and makes the replica follow it. It
// returns when the image is durable.
func (r *replica) install(epoch uint64, data []byte) error {
	decoded, err := decodeImage(data)
	if err != nil {
		return trace.Wrap(err)
	}
	r.snapshots.enter()
	defer r.snapshots.leave()
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

func (r *replica) beginInstall(epoch uint64, from image) (*wal.Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch < r.epoch || r.isAhead(epoch, from) {
		return nil, errDetached
	}
	snapshot, err := r.log.BeginSnapshot()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r.epoch, r.ownSince = epoch, 0
	r.undurable = true
	return snapshot, trace.Wrap(r.load(from))
}

// isAhead tells whether the log holds entries of the epoch that an image from its primary lacks: the image is late.
func (r *replica) isAhead(epoch uint64, from image) bool {
	return !r.undurable && r.last.Epoch == epoch && r.last.Index > from.last().Index
}

func (r *replica) endInstall(size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.undurable = false
	r.logged, r.snapshotSize = 0, size
}

// image returns the whole state, encoded, and the end of the log it stands for.
func (r *replica) image() ([]byte, position, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.encodeImage()
}

func (r *replica) encodeImage() ([]byte, position, error) {
	state, err := r.machine.Snapshot()
	if err != nil {
		return nil, position{}, trace.Wrap(err)
	}
	return image{applied: r.applied, tail: r.tail, state: state}.encode(), r.last, nil
}

// compact writes a snapshot and removes the log before it, where the log has grown long.
func (r *replica) compact() {
	if !r.isLong() || !r.snapshots.tryEnter() {
		return
	}
	defer r.snapshots.leave()
	if err := r.writeSnapshot(); err != nil {
		r.logger.Warn("snapshot failed", zap.Error(err))
	}
}

func (r *replica) isLong() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.undurable && r.logged > compactAfterBytes+2*r.snapshotSize
}

func (r *replica) writeSnapshot() error {
	r.mu.Lock()
	if r.undurable {
		r.mu.Unlock()
		return errDetached
	}
	data, _, err := r.encodeImage()
	var snapshot *wal.Snapshot
	if err == nil {
		snapshot, err = r.log.BeginSnapshot()
	}
	if err == nil {
		r.logged, r.snapshotSize = 0, len(data)
	}
	r.mu.Unlock()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := snapshot.Commit(data); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(r.log.RemoveSegments(math.MaxUint64))
}

// sync returns when all that has been appended is durable.
func (r *replica) sync(ctx context.Context) error { return trace.Wrap(r.log.Sync(ctx)) }

// syncWithin is sync with a limit.
func (r *replica) syncWithin(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return r.sync(ctx)
}

// takeOutcome returns what the state machine said to a proposed change, and forgets it.
func (r *replica) takeOutcome(index uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := r.outcomes[index]
	delete(r.outcomes, index)
	return outcome
}

// end returns the end of the log.
func (r *replica) end() position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}
