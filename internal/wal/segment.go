package wal

import (
	"cmp"
	"errors"
	"io/fs"
	"slices"

	"github.com/gravitational/trace"

	"gladepick/internal/vfs"
)

// SegmentInfo describes one segment of a log.
type SegmentInfo struct {
	Number uint64
	Bytes  int64 // size in bytes, including buffered records
}

// segment is one segment file. Log.mutex guards its fields.
type segment struct {
	number uint64
	size   int64    // in bytes, including buffered records; 0 before its first record
	file   vfs.File // nil until the file is created or opened
}

// tail returns the segment that receives new records. The caller holds the mutex.
func (l *Log) tail() *segment { return l.segments[len(l.segments)-1] }

// rollSegment begins a new segment. The next batch creates its file. The caller holds the mutex.
func (l *Log) rollSegment() *segment {
	next := &segment{number: l.tail().number + 1}
	l.segments = append(l.segments, next)
	return next
}

// findSegment returns the segment with the given number, or nil. The caller holds the mutex.
func (l *Log) findSegment(number uint64) *segment {
	compare := func(candidate *segment, wanted uint64) int { return cmp.Compare(candidate.number, wanted) }
	index, found := slices.BinarySearchFunc(l.segments, number, compare)
	if !found {
		return nil
	}
	return l.segments[index]
}

// openSegment returns the segment's file, which it opens on first use. The caller holds the mutex.
func (l *Log) openSegment(wanted *segment) (vfs.File, error) {
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

// Segments returns the segments that hold records, sorted by number.
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

// RemoveSegments removes the segments whose number is less than before and that the newest snapshot covers.
func (l *Log) RemoveSegments(before uint64) error {
	numbers, err := l.removableSegments(before)
	if err != nil || len(numbers) == 0 {
		return trace.Wrap(err)
	}
	for _, number := range numbers {
		err := l.fs.Remove(segmentName(number))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return trace.Wrap(err)
		}
		if err := l.dropSegment(number); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(l.fs.SyncDir())
}

// removableSegments returns the numbers of the segments below a number that the newest snapshot covers.
func (l *Log) removableSegments(before uint64) ([]uint64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err := l.checkUsable(); err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, each := range l.segments {
		if each.number < min(before, l.snapshotNumber) {
			numbers = append(numbers, each.number)
		}
	}
	return numbers, nil
}

// dropSegment removes a segment whose file was removed from the list, and closes its file. A concurrent Read that has
// already located the file returns ErrNoRecord.
func (l *Log) dropSegment(number uint64) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for i, each := range l.segments {
		if each.number != number {
			continue
		}
		l.segments = append(l.segments[:i:i], l.segments[i+1:]...)
		if each.file != nil {
			return each.file.Close()
		}
		return nil
	}
	return nil
}
