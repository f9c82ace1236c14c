// Package wal keeps a log of records in segment files, with snapshots beside it. Appended records gather in
// memory; a sync writes them and makes them durable, and concurrent callers share one sync (group commit). The package
// also holds the file systems the log runs on: a real directory, and a simulated disk for tests.
package wal

import (
	"cmp"
	"context"
	"errors"
	"io"
	"io/fs"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

const (
	defaultSegmentBytes = 8 << 20
	maxBacklogBytes     = 16 << 20 // limit of what waits for a slow disk
	maxFullBacklogBytes = 1 << 20  // limit of what waits for a full disk
	failingAfter        = 500 * time.Millisecond
	fullRetryInterval   = time.Second
	maxSpareBytes       = 128 << 10
)

// Position says where the payload of one record lies.
type Position struct {
	Segment uint64
	Offset  int64
	Length  int32
}

// Options configure a log.
type Options struct {
	FS           FS
	SegmentBytes int64 // a segment that would grow larger is followed by a new one; 8 MiB where it is 0
	Logger       *zap.Logger
}

// SegmentInfo describes one segment of a log.
type SegmentInfo struct {
	Number uint64
	Bytes  int64 // including what is not written yet
}

// segment is one segment file. The log's mutex guards its fields.
type segment struct {
	number uint64
	size   int64 // including what is not written yet; 0 before its first record
	file   File  // nil until it is needed
}

// run is a stretch of consecutive bytes of one segment that wait to be written.
type run struct {
	segment *segment
	offset  int64 // 0 where the run begins with the segment's header
	data    []byte
}

// Log is a log of records. Its methods are safe for concurrent use.
type Log struct {
	fs           FS
	segmentBytes int64
	logger       *zap.Logger

	mutex    sync.Mutex
	segments []*segment // by number; the last one takes new records
	pending  []*run     // what the next sync writes
	inFlight []*run     // what the running sync writes
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

	damagedSnapshot uint64 // the newest snapshot that Open found damaged; 0 without one

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
	if err := l.usable(); err != nil {
		return err
	}
	if l.backlog >= maxBacklogBytes || l.full && l.backlog >= maxFullBacklogBytes {
		return ErrBacklog
	}
	return nil
}

// usable returns why the log is of no use any more, or nil.
func (l *Log) usable() error {
	if l.failure != nil {
		return l.failure
	}
	if l.closed {
		return ErrClosed
	}
	return nil
}

// targetRun returns the run that takes the next record; it begins a new segment where the current one is full.
func (l *Log) targetRun(recordSize int64) *run {
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
	next := &run{segment: tail, offset: tail.size, data: l.spare}
	l.spare = nil
	l.pending = append(l.pending, next)
	if tail.size == 0 {
		next.data = appendSegmentHeader(next.data, tail.number)
		l.grow(next, len(next.data))
	}
	return next
}

// grow accounts for bytes that were added to a run.
func (l *Log) grow(target *run, bytes int) {
	target.segment.size += int64(bytes)
	l.backlog += int64(bytes)
}

func (l *Log) tail() *segment { return l.segments[len(l.segments)-1] }

func (l *Log) rollSegment() *segment {
	next := &segment{number: l.tail().number + 1}
	l.segments = append(l.segments, next)
	return next
}

// Read returns the payload of the record at a position, in a slice of its own. It also finds records that are not
// written yet.
func (l *Log) Read(position Position) ([]byte, error) {
	if position.Offset < segmentHeaderSize+recordHeaderSize || position.Length < 0 {
		return nil, trace.Wrap(ErrNoRecord)
	}
	payload, file, err := l.locate(position)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if payload != nil {
		return payload, nil
	}
	payload, err = readRecordAt(file, position)
	return payload, trace.Wrap(err)
}

// locate returns either a copy of a payload that is still in memory, or the file that holds it.
func (l *Log) locate(position Position) ([]byte, File, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return nil, nil, ErrClosed
	}
	found := l.findSegment(position.Segment)
	if found == nil || position.Offset+int64(position.Length) > found.size {
		return nil, nil, ErrNoRecord
	}
	if buffered := l.findBuffered(found, position); buffered != nil {
		return buffered, nil, nil
	}
	file, err := l.openSegment(found)
	return nil, file, err
}

func (l *Log) findSegment(number uint64) *segment {
	compare := func(candidate *segment, wanted uint64) int { return cmp.Compare(candidate.number, wanted) }
	index, found := slices.BinarySearchFunc(l.segments, number, compare)
	if !found {
		return nil
	}
	return l.segments[index]
}

func (l *Log) findBuffered(in *segment, position Position) []byte {
	for _, runs := range [][]*run{l.inFlight, l.pending} {
		for _, candidate := range runs {
			start := position.Offset - candidate.offset
			end := start + int64(position.Length)
			if candidate.segment == in && start >= 0 && end <= int64(len(candidate.data)) {
				return append(make([]byte, 0, position.Length), candidate.data[start:end]...)
			}
		}
	}
	return nil
}

// openSegment returns the segment's file and opens it on first use.
func (l *Log) openSegment(wanted *segment) (File, error) {
	if wanted.file != nil {
		return wanted.file, nil
	}
	file, err := l.fs.Open(segmentName(wanted.number))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNoRecord
	}
	if err != nil {
		return nil, err
	}
	wanted.file = file
	return file, nil
}

func readRecordAt(file File, position Position) ([]byte, error) {
	buffer := make([]byte, recordHeaderSize+int(position.Length))
	_, err := file.ReadAt(buffer, position.Offset-recordHeaderSize)
	if errors.Is(err, fs.ErrClosed) {
		return nil, ErrNoRecord // the segment was removed meanwhile
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	header := recordHeader(buffer[:recordHeaderSize])
	payload := buffer[recordHeaderSize:]
	if header.length() != int64(position.Length) || !header.matches(payload) {
		return nil, ErrDamaged
	}
	return payload, nil
}

// Segments returns the segments that hold records, by number.
func (l *Log) Segments() []SegmentInfo {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	infos := make([]SegmentInfo, 0, len(l.segments))
	for _, each := range l.segments {
		if each.size > 0 {
			infos = append(infos, SegmentInfo{Number: each.number, Bytes: each.size})
		}
	}
	return infos
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
