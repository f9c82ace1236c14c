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
	Bytes  int64 // including what is not written yet
}

// segment is one segment file. The log's mutex guards its fields.
type segment struct {
	number uint64
	size   int64    // including what is not written yet; 0 before its first record
	file   vfs.File // nil until it is needed
}

// tail returns the segment that takes new records. The caller holds the mutex.
func (l *Log) tail() *segment { return l.segments[len(l.segments)-1] }

// rollSegment begins a new segment, whose file is made by the next sync. The caller holds the mutex.
func (l *Log) rollSegment() *segment {
	next := &segment{number: l.tail().number + 1}
	l.segments = append(l.segments, next)
	return next
}

// findSegment returns the segment with a number, or nil. The caller holds the mutex.
func (l *Log) findSegment(number uint64) *segment {
	compare := func(candidate *segment, wanted uint64) int { return cmp.Compare(candidate.number, wanted) }
	index, found := slices.BinarySearchFunc(l.segments, number, compare)
	if !found {
		return nil
	}
	return l.segments[index]
}

// openSegment returns the segment's file and opens it on first use. The caller holds the mutex.
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

// RemoveSegments removes the segments below a number, as far as the newest snapshot covers them.
func (l *Log) RemoveSegments(before uint64) error {
	numbers, err := l.removable(before)
	if err != nil || len(numbers) == 0 {
		return trace.Wrap(err)
	}
	for _, number := range numbers {
		err := l.fs.Remove(segmentName(number))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return trace.Wrap(err)
		}
		if err := l.forgetSegment(number); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(l.fs.SyncDir())
}

// removable lists the segments below a number that the newest snapshot covers.
func (l *Log) removable(before uint64) ([]uint64, error) {
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

// forgetSegment drops a segment whose file was removed. Readers that still hold the file get ErrNoRecord.
func (l *Log) forgetSegment(number uint64) error {
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
