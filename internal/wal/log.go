package wal

import (
	"context"
	"errors"
	"sync"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/vfs"
)

// Options configure a Log. FS is required.
type Options struct {
	FS           vfs.FS
	SegmentBytes int64       // a record that would exceed this size begins a new segment; 0 means 8 MiB
	Logger       *zap.Logger // may be nil
}

// Log is a write-ahead log in one directory. Its methods are safe for concurrent use.
type Log struct {
	fs           vfs.FS
	segmentBytes int64
	logger       *zap.Logger

	mutex       sync.Mutex
	segments    []*segment // by number; new records are appended to the last one
	pending     []*extent  // the next batch writes these
	inFlight    []*extent  // the running batch writes these
	backlog     int64      // bytes in pending and inFlight
	spareBuffer []byte     // an empty buffer for the next extent
	appended    uint64     // number of records appended
	durable     uint64     // number of records that are durable
	group       groupCommit
	failure     error // the disk error that made the log fail permanently, or nil
	diskFull    bool  // the last sync found the disk full
	closed      bool

	snapshotMutex  sync.Mutex // held while a snapshot is written
	snapshotNumber uint64     // the newest snapshot covers all segments below this number; 0 without a snapshot
	snapshotBytes  int64

	corruptSnapshot uint64 // the newest snapshot that Open found corrupt; 0 without one

	// active is owned by the goroutine that runs flushBatches.
	active activeSegment
}

// Append adds a record and returns its position. It copies the record into memory; only Sync makes it durable.
func (l *Log) Append(record []byte) (Position, error) {
	return l.AppendParts(record)
}

// AppendParts adds one record whose payload is the concatenation of the parts, and returns its position. It copies the
// parts into memory; only Sync makes the record durable.
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
	target := l.targetExtent(int64(recordHeaderSize + length))
	before := len(target.data)
	target.data = append(target.data, header[:]...)
	for _, part := range parts {
		target.data = append(target.data, part...)
	}
	l.countBytes(target, len(target.data)-before)
	l.appended++
	offset := target.segment.size - int64(length)
	return Position{Segment: target.segment.number, Offset: offset, Length: int32(length)}, nil
}

// checkAppend returns an error if the log accepts no record now. If too many bytes wait for the disk, it has them synced:
// callers that fail here never get to a call of Sync. The caller holds the mutex.
func (l *Log) checkAppend() error {
	if err := l.checkUsable(); err != nil {
		return err
	}
	if l.backlog >= maxBacklogBytes || l.diskFull && l.backlog >= maxBacklogBytesOnFullDisk {
		if !l.diskFull { // a full disk has a retry of its own
			l.nextBatch()
		}
		return ErrBacklogFull
	}
	return nil
}

// checkUsable returns an error if the log has failed or is closed. The caller holds the mutex.
func (l *Log) checkUsable() error {
	if l.failure != nil {
		return l.failure
	}
	if l.closed {
		return ErrClosed
	}
	return nil
}

// targetExtent returns the extent to which the next record is appended. It begins a new segment if the record would
// exceed the segment size. The caller holds the mutex.
func (l *Log) targetExtent(recordSize int64) *extent {
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
	next := &extent{segment: tail, offset: tail.size, data: l.spareBuffer}
	l.spareBuffer = nil
	l.pending = append(l.pending, next)
	if tail.size == 0 {
		next.data = appendSegmentHeader(next.data, tail.number)
		l.countBytes(next, len(next.data))
	}
	return next
}

// countBytes adds bytes that were appended to an extent to the segment's size and the backlog. The caller holds the
// mutex.
func (l *Log) countBytes(target *extent, bytes int) {
	target.segment.size += int64(bytes)
	l.backlog += int64(bytes)
}

// Size returns the total size of all segments and the newest snapshot, in bytes. It includes buffered records.
func (l *Log) Size() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	total := l.snapshotBytes
	for _, each := range l.segments {
		total += each.size
	}
	return total
}

// Failing reports whether the disk seems unhealthy: the running sync has taken more than 500 ms, the log has failed, or
// the disk is full.
func (l *Log) Failing() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.failure != nil || l.diskFull || l.group.runningDuration() > slowSyncThreshold
}

// Close syncs the appended records and closes the log's files. Later calls of methods that return an error fail.
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

// closeFiles closes the segment files that are open.
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

// extent is a range of consecutive bytes of one segment that are not durable yet.
type extent struct {
	segment *segment
	offset  int64 // in the segment's file, in bytes; 0 if the extent begins with the segment's header
	data    []byte
}
