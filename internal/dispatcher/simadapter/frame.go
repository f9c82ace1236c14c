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

// Sizes of the wire's parts, in bytes. All numbers on it are little endian.
const (
	headerBytes = 16 // of a frame: the clock, the length of what follows it, the number of records
	eventBytes  = 48 // of a record of an event
	actionBytes = 24 // of a record of an action
	entryBytes  = 21 // of one worker in a page
	countBytes  = 4  // of the number of records, which the length includes
)

// frame is one batch of events as it came in. Its parts share the buffer that it was read into.
type frame struct {
	now     time.Duration
	records []byte // one eventBytes after the other
	tail    []byte // what records refer to by offset and length
}

// readFrame reads one batch into buffer, which is reused. It returns io.EOF only where the input ends cleanly between two
// frames.
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
	// The length is not trusted with an allocation: the buffer grows with what arrives.
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

// slice returns what a record refers to: at byte at it has an offset into the tail, and a length in units of size bytes.
func (f *frame) slice(record []byte, at, size int) ([]byte, error) {
	offset := uint64(binary.LittleEndian.Uint32(record[at:]))
	length := uint64(binary.LittleEndian.Uint32(record[at+4:])) * uint64(size)
	if offset+length > uint64(len(f.tail)) {
		return nil, fmt.Errorf("offset %d and %d bytes run past the tail of %d bytes (field at %d)",
			offset, length, len(f.tail), at)
	}
	return f.tail[offset : offset+length], nil
}
