package simadapter

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// Sizes of the parts of the wire format, in bytes. All numbers are little endian.
const (
	headerBytes = 16 // header of a frame: the clock, the length of the data after that field, the number of records
	eventBytes  = 48 // record of an event
	actionBytes = 24 // record of an action
	entryBytes  = 21 // one worker in a page
	countBytes  = 4  // number of records, which the length includes
)

// frame is one batch of encoded events. Its slices share the buffer that the frame was read into.
type frame struct {
	now     time.Duration
	records []byte // records of eventBytes each
	tail    []byte // data that records refer to by offset and length
}

// readFrame reads one frame into buffer, whose previous content it overwrites. It returns io.EOF only if the input ends
// between two frames.
func readFrame(r io.Reader, buffer *bytes.Buffer) (frame, error) {
	var header [headerBytes]byte
	if n, err := io.ReadFull(r, header[:]); err != nil {
		switch {
		case errors.Is(err, io.EOF):
			return frame{}, io.EOF
		case errors.Is(err, io.ErrUnexpectedEOF):
			return frame{}, fmt.Errorf("header cut off after %d of %d bytes", n, headerBytes)
		}
		return frame{}, err
	}
	now := binary.LittleEndian.Uint64(header[0:])
	length := binary.LittleEndian.Uint32(header[8:])
	count := binary.LittleEndian.Uint32(header[12:])
	if now > math.MaxInt64 {
		return frame{}, fmt.Errorf("clock value %d is out of range (byte 0)", now)
	}
	if length < countBytes {
		return frame{}, fmt.Errorf("length %d is below the 4 bytes of the record count (byte 8)", length)
	}
	body := int64(length) - countBytes
	if int64(count)*eventBytes > body {
		return frame{}, fmt.Errorf("%d records of %d bytes do not fit into %d bytes (byte 12)", count, eventBytes, body)
	}
	// The buffer grows with the bytes that arrive, because a malformed length must not cause a large allocation.
	buffer.Reset()
	if n, err := io.CopyN(buffer, r, body); err != nil {
		if errors.Is(err, io.EOF) {
			return frame{}, fmt.Errorf("body cut off after %d of %d bytes", n, body)
		}
		return frame{}, err
	}
	b := buffer.Bytes()
	return frame{now: time.Duration(now), records: b[:count*eventBytes], tail: b[count*eventBytes:]}, nil
}

// slice returns the part of the tail that a record refers to. At byte at, the record has an offset into the tail and a
// length in units of size bytes.
func (f *frame) slice(record []byte, at, size int) ([]byte, error) {
	offset := uint64(binary.LittleEndian.Uint32(record[at:]))
	length := uint64(binary.LittleEndian.Uint32(record[at+4:])) * uint64(size)
	if offset+length > uint64(len(f.tail)) {
		return nil, fmt.Errorf("offset %d and %d bytes run past the tail of %d bytes (field at %d)",
			offset, length, len(f.tail), at)
	}
	return f.tail[offset : offset+length], nil
}
