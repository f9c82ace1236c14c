package wal

import (
	"context"
	"errors"
	"sync"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/vfs"
)

// Options configure a log.
type Options struct {
	FS           vfs.FS
	SegmentBytes int64       // a segment that would grow larger is followed by a new one; 8 MiB where it is 0
	Logger       *zap.Logger // may be nil
}

// Log is a write-ahead log in one directory. Its methods are safe for concurrent use.
type Log struct {
	fs           vfs.FS
	segmentBytes int64
	logger       *zap.Logger

	mutex    sync.Mutex
	segments []*segment // by number; the last one takes new records
	pending  []*extent  // what the next sync writes
	inFlight []*extent  // what the running sync writes
	backlog  int64      // bytes in pending and inFlight
	spare    []byte     // an empty buffer for the next run
	appended uint64     // count of records appended
	durable  uint64     // count of records that are durable
	group    groupCommit
	failure  error // set once and for all
	full     bool  // the last sync found the disk full
	closed   bool

	snapshotMutex  sync.Mutex // held while a snapshot is written
	snapshotNumber uint64     // the newest snapshot covers all segments below this number; 0 without a snapshot
	snapshotBytes  int64

	corruptSnapshot uint64 // the newest snapshot that Open found corrupt; 0 without one

	// active belongs to the goroutine that flushes.
	active activeSegment
}

// Append adds a record. It copies the record into memory; only Sync makes it durable.
func (l *Log) Append(record []byte) (Position, error) {
	return l.AppendParts(record)
}

// AppendParts adds one record whose payload is the given parts, one after the other. It copies them into memory; only
// Sync makes the record durable.
func (l *Log) AppendParts(parts ...[]byte) (Position, error) {
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	if length > MaxRecordBytes {
		return Position{}, trace.Wrap(ErrTooLarge)
	}
	header := newRecordHeader(length, parts)

	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.checkAppend(); err != nil {
		return Position{}, trace.Wrap(err)
	}
	target := l.targetRun(int64(recordHeaderSize + length))
	before := len(target.data)
	target.data = append(target.data, header[:]...)
	for _, part := range parts {
		target.data = append(target.data, part...)
	}
	l.grow(target, len(target.data)-before)
	l.appended++
	offset := target.segment.size - int64(length)
	return Position{Segment: target.segment.number, Offset: offset, Length: int32(length)}, nil
}

// checkAppend returns why the log takes no record now, or nil.
func (l *Log) checkAppend() error {
	if err := l.checkUsable(); err != nil {
		return err
	}
	if l.backlog >= maxBacklogBytes || l.full && l.backlog >= maxFullBacklogBytes {
		return ErrBacklogFull
	}
	return nil
}

// checkUsable returns an error if the log has failed or is closed.
func (l *Log) checkUsable() error {
	if l.failure != nil {
		return l.failure
	}
	if l.closed {
		return ErrClosed
	}
	return nil
}

// targetRun returns the run that takes the next record; it begins a new segment where the current one is full.
func (l *Log) targetRun(recordSize int64) *extent {
	tail := l.tail()
	if tail.size > segmentHeaderSize && tail.size+recordSize > l.segmentBytes {
		tail = l.rollSegment()
	}
	if len(l.pending) > 0 {
		last := l.pending[len(l.pending)-1]
		if last.segment == tail {
			return last
		}
	}
	next := &extent{segment: tail, offset: tail.size, data: l.spare}
	l.spare = nil
	l.pending = append(l.pending, next)
	if tail.size == 0 {
		next.data = appendSegmentHeader(next.data, tail.number)
		l.grow(next, len(next.data))
	}
	return next
}

// grow accounts for bytes that were added to a run.
func (l *Log) grow(target *extent, bytes int) {
	target.segment.size += int64(bytes)
	l.backlog += int64(bytes)
}

// Size returns the bytes of all segments and of the newest snapshot.
func (l *Log) Size() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	total := l.snapshotBytes
	for _, each := range l.segments {
		total += each.size
	}
	return total
}

// Failing tells whether the disk seems bad: a sync has been out for over 500 ms, the log has failed, or the disk is
// full.
func (l *Log) Failing() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.failure != nil || l.full || l.group.runningFor() > failingAfter
}

// Close syncs what was appended and closes the log's files. All later calls fail.
func (l *Log) Close() error {
	l.mutex.Lock()
	if l.closed {
		l.mutex.Unlock()
		return trace.Wrap(ErrClosed)
	}
	l.closed = true
	l.mutex.Unlock()

	err := l.syncAll(context.Background())
	l.awaitIdle()
	return trace.Wrap(errors.Join(err, l.closeFiles()))
}

// closeFiles closes the segments that are open.
func (l *Log) closeFiles() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var errs []error
	for _, each := range l.segments {
		if each.file != nil {
			errs = append(errs, each.file.Close())
			each.file = nil
		}
	}
	return errors.Join(errs...)
}

// extent is a range of consecutive bytes of one segment that is not written yet.
type extent struct {
	segment *segment
	offset  int64 // 0 where the run begins with the segment's header
	data    []byte
}
