package wal

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// RestoreFunc takes the data of a snapshot. It may keep the slice.
type RestoreFunc = func(snapshot []byte) error

// ReplayFunc takes one record. The slice is reused after the call returns: nobody may keep it or a part of it.
type ReplayFunc = func(position Position, record []byte) error

// Open opens the log in a directory, or begins one. It first hands the newest valid snapshot, if there is one, to
// restore, and then every record that the snapshot does not cover to replay, in order. The record slice that replay
// gets is reused after each call: nobody may keep it.
//
// In the last segment the replay ends before the first record that is torn or corrupt, and the rest of that segment is
// cut off. A crash leaves no damage in an earlier segment and no gap between segments; Open returns ErrCorrupt there.
// All that has been replayed is durable when Open returns.
func Open(options Options, restore RestoreFunc, replay ReplayFunc) (*Log, error) {
	l := &Log{fs: options.FS, segmentBytes: options.SegmentBytes, logger: options.Logger}
	if l.segmentBytes <= 0 {
		l.segmentBytes = defaultSegmentBytes
	}
	if l.logger == nil {
		l.logger = zap.NewNop()
	}
	if err := l.load(restore, replay); err != nil {
		return nil, trace.Wrap(errors.Join(err, l.closeFiles()))
	}
	return l, nil
}

// load brings the log and its owner to the state that the disk holds.
func (l *Log) load(restore RestoreFunc, replay ReplayFunc) error {
	names, err := l.fs.List()
	if err != nil {
		return err
	}
	if err := l.removeTemporaries(names); err != nil {
		return err
	}
	if err := l.restoreSnapshot(names, restore); err != nil {
		return err
	}
	if err := l.listSegments(names); err != nil {
		return err
	}
	if err := l.replaySegments(replay); err != nil {
		return err
	}
	return l.fs.SyncDir()
}

// removeTemporaries removes snapshots that were not finished.
func (l *Log) removeTemporaries(names []string) error {
	for _, name := range names {
		stem, isTemporary := strings.CutSuffix(name, temporarySuffix)
		if _, isSnapshot := parseSnapshotName(stem); !isTemporary || !isSnapshot {
			continue
		}
		if err := l.fs.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

// restoreSnapshot hands over the newest snapshot that is valid.
func (l *Log) restoreSnapshot(names []string, restore RestoreFunc) error {
	for _, number := range slices.Backward(numbersOf(names, parseSnapshotName)) {
		data, err := LoadFile(l.fs, snapshotName(number))
		if errors.Is(err, ErrCorrupt) {
			l.logger.Error("snapshot corrupt", zap.Uint64("snapshot", number))
			l.corruptSnapshot = max(l.corruptSnapshot, number)
			continue
		}
		if err != nil {
			return err
		}
		l.snapshotNumber = number
		l.snapshotBytes = fileHeaderSize + int64(len(data))
		return restore(data)
	}
	return nil
}

// listSegments fills the list of segments, so that the last one is the one that takes new records. It checks that none
// is missing among those that have to be replayed.
func (l *Log) listSegments(names []string) error {
	expected := max(l.snapshotNumber, firstSegment)
	for _, number := range numbersOf(names, parseSegmentName) {
		if number > expected {
			return fmt.Errorf("%w: segment %d is missing", ErrCorrupt, expected)
		}
		if number == expected {
			expected++
		}
		if err := l.addSegment(number); err != nil {
			return err
		}
	}
	if expected < l.corruptSnapshot {
		return fmt.Errorf("%w: snapshot %d, and its segments are gone", ErrCorrupt, l.corruptSnapshot)
	}
	if len(l.segments) == 0 || l.tail().number < max(l.snapshotNumber, firstSegment) {
		l.segments = append(l.segments, &segment{number: expected})
	}
	return nil
}

// addSegment adds a segment that a start has found. Its file stays open where it has to be replayed.
func (l *Log) addSegment(number uint64) error {
	file, err := l.fs.Open(segmentName(number))
	if err != nil {
		return err
	}
	size, err := file.Size()
	if err != nil {
		return errors.Join(err, file.Close())
	}
	added := &segment{number: number, size: size}
	l.segments = append(l.segments, added)
	if number < l.snapshotNumber {
		return file.Close()
	}
	added.file = file
	return nil
}

// replaySegments replays all segments that the snapshot does not cover.
func (l *Log) replaySegments(replay ReplayFunc) error {
	for _, each := range l.segments {
		if each.number < l.snapshotNumber || each.file == nil {
			continue
		}
		end, err := l.replaySegment(each, replay)
		if err != nil {
			return err
		}
		if each != l.tail() && end != each.size {
			return fmt.Errorf("%w: segment %d at offset %d", ErrCorrupt, each.number, end)
		}
		if each == l.tail() {
			return l.resumeSegment(each, end)
		}
	}
	return nil
}

// replaySegment replays the valid records of one segment and returns where they end.
func (l *Log) replaySegment(from *segment, replay ReplayFunc) (end int64, err error) {
	reader := newSegmentReader(from.file, from.size)
	err = reader.readHeader(from.number)
	for err == nil {
		var record []byte
		record, err = reader.next()
		if err != nil {
			break
		}
		length := int32(len(record))
		position := Position{Segment: from.number, Offset: reader.offset - int64(length), Length: length}
		if err := replay(position, record); err != nil {
			return reader.offset, err
		}
	}
	if errors.Is(err, io.EOF) {
		return reader.offset, nil
	}
	if errors.Is(err, errTorn) {
		l.reportTorn(from, reader)
		return reader.offset, nil
	}
	return reader.offset, err
}

// reportTorn logs where a segment ends. Valid records behind an invalid one are no trace of a crash.
func (l *Log) reportTorn(in *segment, reader *segmentReader) {
	fields := []zap.Field{
		zap.Uint64("segment", in.number),
		zap.Int64("offset", reader.offset),
		zap.Int64("bytes", in.size-reader.offset),
	}
	if reader.validRecordFollows() {
		l.logger.Error("corrupt record with valid ones behind it", fields...)
		return
	}
	l.logger.Warn("torn end of segment", fields...)
}

// resumeSegment prepares the last segment for new records behind its last valid one.
func (l *Log) resumeSegment(last *segment, end int64) error {
	if end != last.size {
		if err := last.file.Truncate(end); err != nil {
			return err
		}
		last.size = end
	}
	l.active = activeSegment{segment: last, file: last.file}
	return last.file.Sync()
}
