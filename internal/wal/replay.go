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

// RestoreFunc receives the data of a snapshot. It may keep the slice. Its error ends Open.
type RestoreFunc = func(snapshot []byte) error

// ReplayFunc receives one record. The record's slice is reused after the call returns, so the function must not keep it
// or a part of it. Its error ends Open.
type ReplayFunc = func(position Position, record []byte) error

// Open opens the log in a directory, or starts a new one. It first passes the newest valid snapshot, if there is one,
// to restore. Then it passes every record that the snapshot does not cover to replay, in order. The record's slice is
// reused after each call of replay, which must not keep it.
//
// In the last segment the replay ends before the first torn or corrupt record, and Open truncates the segment there. A
// crash causes neither damage in an earlier segment nor a gap between segments, so Open returns ErrCorrupt for either.
// All replayed records are durable when Open returns.
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

// load reads the directory, passes the snapshot and the records to the owner, and prepares the log for appends.
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

// removeTemporaries removes the temporary files of snapshots that a crash interrupted.
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

// restoreSnapshot passes the newest valid snapshot to restore. It skips corrupt ones and records the newest of these.
func (l *Log) restoreSnapshot(names []string, restore RestoreFunc) error {
	for _, number := range slices.Backward(sortedNumbers(names, parseSnapshotName)) {
		data, err := LoadFile(l.fs, snapshotName(number))
		if errors.Is(err, ErrCorrupt) {
			l.logger.Error("snapshot is corrupt", zap.Uint64("snapshot", number))
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

// listSegments fills the list of segments. Its last segment receives new records. It returns ErrCorrupt if a segment
// that must be replayed is missing.
func (l *Log) listSegments(names []string) error {
	expected := max(l.snapshotNumber, firstSegmentNumber)
	for _, number := range sortedNumbers(names, parseSegmentName) {
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
		return fmt.Errorf("%w: snapshot %d, and the segments it covers were removed", ErrCorrupt, l.corruptSnapshot)
	}
	if len(l.segments) == 0 || l.tail().number < max(l.snapshotNumber, firstSegmentNumber) {
		l.segments = append(l.segments, &segment{number: expected})
	}
	return nil
}

// addSegment adds a segment that Open found on the disk. Its file stays open if the segment must be replayed.
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

// replaySegments replays all segments that the snapshot does not cover. It returns ErrCorrupt if a segment other than
// the last one ends with invalid data.
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

// replaySegment replays the records of one segment up to the first invalid one, and returns the offset where they end.
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
		l.logTornSegment(from, reader)
		return reader.offset, nil
	}
	return reader.offset, err
}

// logTornSegment logs at which offset the valid records of a segment end. A valid record after the invalid one means
// corruption, because a crash only leaves an incomplete tail.
func (l *Log) logTornSegment(torn *segment, reader *segmentReader) {
	fields := []zap.Field{
		zap.Uint64("segment", torn.number),
		zap.Int64("offset", reader.offset),
		zap.Int64("bytes", torn.size-reader.offset),
	}
	if reader.validRecordFollows() {
		l.logger.Error("corrupt record is followed by a valid one", fields...)
		return
	}
	l.logger.Warn("segment ends with an incomplete or corrupt record", fields...)
}

// resumeSegment truncates the last segment after its last valid record, makes it durable, and makes it the active one.
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
