package wal

import (
	"errors"
	"io"
	"io/fs"

	"github.com/gravitational/trace"

	"gladepick/internal/vfs"
)

// Read returns a copy of the payload of the record at a position. The record may still be in memory only. The error
// satisfies errors.Is(err, ErrNoRecord) if there is no such record, and errors.Is(err, ErrCorrupt) if the stored record
// does not match the position or its checksum.
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

// locate returns either a copy of the payload, if it is still in memory, or the file that holds the record.
func (l *Log) locate(position Position) ([]byte, vfs.File, error) {
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

// findBuffered returns a copy of a payload that is in flight or pending, or nil. The caller holds the mutex.
func (l *Log) findBuffered(wanted *segment, position Position) []byte {
	for _, extents := range [][]*extent{l.inFlight, l.pending} {
		for _, candidate := range extents {
			start := position.Offset - candidate.offset
			end := start + int64(position.Length)
			if candidate.segment == wanted && start >= 0 && end <= int64(len(candidate.data)) {
				return append(make([]byte, 0, position.Length), candidate.data[start:end]...)
			}
		}
	}
	return nil
}

// readRecordAt reads the record at a position of a segment file, verifies its length and checksum, and returns its
// payload.
func readRecordAt(file vfs.File, position Position) ([]byte, error) {
	buffer := make([]byte, recordHeaderSize+int(position.Length))
	_, err := file.ReadAt(buffer, position.Offset-recordHeaderSize)
	if errors.Is(err, fs.ErrClosed) {
		return nil, ErrNoRecord // RemoveSegments closed the file after the caller had located it
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	header := recordHeader(buffer[:recordHeaderSize])
	payload := buffer[recordHeaderSize:]
	if header.length() != int64(position.Length) || !header.matches(payload) {
		return nil, ErrCorrupt
	}
	return payload, nil
}
