package wal

import (
	"bufio"
	"errors"
	"io"
)

const replayBufferBytes = 64 << 10

// errTorn ends the reading of a segment: what follows is not a complete, valid record.
var errTorn = errors.New("wal: torn or corrupt record")

// segmentReader reads the records of one segment file in their order.
type segmentReader struct {
	reader  *bufio.Reader
	size    int64
	offset  int64 // end of the last valid record or of the header; 0 before the header
	payload []byte
}

// newSegmentReader returns a reader of the first size bytes of a file.
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

// readRecord reads one complete record, valid or not. It returns errTorn where the file ends within it.
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

// reserve sets the length of the buffer for a payload.
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
