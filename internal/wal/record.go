package wal

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

// The layout of a segment file: a header, then records.
//
//	header: magic (8 bytes), format version (4), segment number (8), CRC-32C of these (4)
//	record: length of the payload (4), CRC-32C over length and payload (4), payload
//
// All integers are little-endian.
const (
	segmentMagic      = "ivyfseg\n"
	formatVersion     = 1
	segmentHeaderSize = 24
	recordHeaderSize  = 8
)

// MaxRecordBytes is the largest payload of one record.
const MaxRecordBytes = 64 << 20

const replayBufferBytes = 64 << 10

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errTorn ends the reading of a segment: what follows is not a whole, valid record.
var errTorn = errors.New("journal: torn or damaged record")

// appendSegmentHeader appends the header of a segment file to a buffer.
func appendSegmentHeader(buffer []byte, number uint64) []byte {
	start := len(buffer)
	buffer = append(buffer, segmentMagic...)
	buffer = binary.LittleEndian.AppendUint32(buffer, formatVersion)
	buffer = binary.LittleEndian.AppendUint64(buffer, number)
	checksum := crc32.Checksum(buffer[start:], castagnoli)
	return binary.LittleEndian.AppendUint32(buffer, checksum)
}

// validSegmentHeader tells whether a buffer begins with the header of the segment with this number.
func validSegmentHeader(buffer []byte, number uint64) bool {
	var space [segmentHeaderSize]byte
	want := appendSegmentHeader(space[:0], number)
	return len(buffer) >= len(want) && string(buffer[:len(want)]) == string(want)
}

// recordHeader is the encoded header of one record.
type recordHeader [recordHeaderSize]byte

// newRecordHeader returns the header of the record whose payload is these parts, one after the other.
func newRecordHeader(length int, parts [][]byte) recordHeader {
	var header recordHeader
	binary.LittleEndian.PutUint32(header[:4], uint32(length))
	checksum := crc32.Checksum(header[:4], castagnoli)
	for _, part := range parts {
		checksum = crc32.Update(checksum, castagnoli, part)
	}
	binary.LittleEndian.PutUint32(header[4:], checksum)
	return header
}

// length returns the length of the payload as the header states it.
func (h recordHeader) length() int64 { return int64(binary.LittleEndian.Uint32(h[:4])) }

// matches tells whether the checksum is that of the payload.
func (h recordHeader) matches(payload []byte) bool {
	checksum := crc32.Checksum(h[:4], castagnoli)
	checksum = crc32.Update(checksum, castagnoli, payload)
	return checksum == binary.LittleEndian.Uint32(h[4:])
}

// segmentReader reads the records of one segment file in their order.
type segmentReader struct {
	reader  *bufio.Reader
	size    int64
	offset  int64 // end of the last valid record or of the header; 0 before the header
	payload []byte
}

func newSegmentReader(file io.ReaderAt, size int64) *segmentReader {
	section := io.NewSectionReader(file, 0, size)
	return &segmentReader{reader: bufio.NewReaderSize(section, replayBufferBytes), size: size}
}

// readHeader reads the segment's header. It returns errTorn where there is no valid one.
func (r *segmentReader) readHeader(number uint64) error {
	var header [segmentHeaderSize]byte
	if err := r.fill(header[:]); err != nil {
		return err
	}
	if !validSegmentHeader(header[:], number) {
		return errTorn
	}
	r.offset = segmentHeaderSize
	return nil
}

// next returns the next payload, which is valid until the following call. It returns io.EOF at the end of the file
// and errTorn where the rest is not a valid record.
func (r *segmentReader) next() ([]byte, error) {
	if r.offset == r.size {
		return nil, io.EOF
	}
	payload, valid, err := r.readRecord()
	if err != nil {
		return nil, err
	}
	if !valid {
		return nil, errTorn
	}
	r.offset += recordHeaderSize + int64(len(payload))
	return payload, nil
}

// readRecord reads one whole record, valid or not. It returns errTorn where the file ends within it.
func (r *segmentReader) readRecord() (payload []byte, valid bool, err error) {
	var header recordHeader
	if err := r.fill(header[:]); err != nil {
		return nil, false, err
	}
	length := header.length()
	if length > MaxRecordBytes || length > r.size-r.offset-recordHeaderSize {
		return nil, false, errTorn
	}
	r.reserve(int(length))
	if err := r.fill(r.payload); err != nil {
		return nil, false, err
	}
	return r.payload, header.matches(r.payload), nil
}

// validRecordFollows tells, after errTorn, whether the record behind the invalid one is valid.
func (r *segmentReader) validRecordFollows() bool {
	_, valid, err := r.readRecord()
	return err == nil && valid
}

func (r *segmentReader) reserve(length int) {
	if cap(r.payload) < length {
		r.payload = make([]byte, length)
	}
	r.payload = r.payload[:length]
}

// fill reads exactly as many bytes as the buffer holds. The end of the file within them counts as a torn record.
func (r *segmentReader) fill(buffer []byte) error {
	_, err := io.ReadFull(r.reader, buffer)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTorn
	}
	return err
}
