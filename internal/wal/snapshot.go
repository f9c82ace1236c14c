package wal

import (
	"context"

	"github.com/gravitational/trace"

	"gladepick/internal/vfs"
)

// Snapshot is a snapshot in progress. BeginSnapshot fixes which records it covers; Commit receives its data.
type Snapshot struct {
	log    *Log
	number uint64 // number of the first segment that it does not cover
}

// BeginSnapshot begins a snapshot that covers all records appended before this call; later records go to a new segment.
// It does no I/O, so that a caller may hold its own lock during this call and release it before Commit.
func (l *Log) BeginSnapshot() (*Snapshot, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.checkUsable(); err != nil {
		return nil, trace.Wrap(err)
	}
	tail := l.tail()
	if tail.size > 0 {
		tail = l.rollSegment()
	}
	return &Snapshot{log: l, number: tail.number}, nil
}

// Commit syncs the log, makes the snapshot durable and removes older snapshots. It does nothing further if a newer
// snapshot has been committed meanwhile.
func (s *Snapshot) Commit(data []byte) error {
	l := s.log
	if err := l.Sync(context.Background()); err != nil {
		return trace.Wrap(err)
	}
	l.snapshotMutex.Lock()
	defer l.snapshotMutex.Unlock()
	if s.number < l.newestSnapshot() {
		return nil
	}
	if err := SaveFile(l.fs, snapshotName(s.number), data); err != nil {
		return trace.Wrap(err)
	}
	l.mutex.Lock()
	l.snapshotNumber = s.number
	l.snapshotBytes = fileHeaderSize + int64(len(data))
	l.mutex.Unlock()
	return trace.Wrap(removeSnapshots(l.fs, s.number))
}

// WriteSnapshot durably writes a snapshot that covers all records appended before this call, and removes older
// snapshots. Records appended afterwards go to a new segment. Older segments stay until RemoveSegments, so that their
// records can still be read by position. Use BeginSnapshot if the caller's lock must not be held during the I/O.
func (l *Log) WriteSnapshot(data []byte) error {
	snapshot, err := l.BeginSnapshot()
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(snapshot.Commit(data))
}

// newestSnapshot returns the number of the newest snapshot, or 0 if there is none.
func (l *Log) newestSnapshot() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.snapshotNumber
}

// removeSnapshots removes all snapshots whose number is less than below.
func removeSnapshots(disk vfs.FS, below uint64) error {
	names, err := disk.List()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, name := range names {
		number, isSnapshot := parseSnapshotName(name)
		if !isSnapshot || number >= below {
			continue
		}
		if err := disk.Remove(name); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
