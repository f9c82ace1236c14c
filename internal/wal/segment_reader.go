package wal

import (
	"bufio"
	"errors"
	"io"
)

const replayBufferBytes = 64 << 10

// errTorn means that the rest of a segment does not begin with a complete, valid record or header.
var errTorn = errors.New("wal: torn or corrupt record")

// segmentReader reads the records of one segment file in order.
type segmentReader struct {
	reader  *bufio.Reader
	size    int64
	offset  int64  // end of the last valid record or of the header, in bytes; 0 before the header
	payload []byte // reused for each record
}

// newSegmentReader returns a reader of the first size bytes of a file.
func newSegmentReader(file io.ReaderAt, size int64) *segmentReader {
	section := io.NewSectionReader(file, 0, size)
	return &segmentReader{reader: bufio.NewReaderSize(section, replayBufferBytes), size: size}
}

// readHeader reads the segment's header. It returns errTorn if the header is incomplete or invalid.
func (r *segmentReader) readHeader(number uint64) error {
	var header [segmentHeaderSize]byte
	if err := r.readFull(header[:]); err != nil {
		return err
	}
	if !validSegmentHeader(header[:], number) {
		return errTorn
	}
	r.offset = segmentHeaderSize
	return nil
}

// next returns the next payload, which is valid until the following call. It returns io.EOF at the end of the file,
// and errTorn if the next record is incomplete or invalid.
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

// readRecord reads one complete record and reports whether its checksum is valid. It returns errTorn if the length
// exceeds the limit or the file ends within the record.
func (r *segmentReader) readRecord() (payload []byte, valid bool, err error) {
	var header recordHeader
	if err := r.readFull(header[:]); err != nil {
		return nil, false, err
	}
	length := header.length()
	if length > MaxRecordBytes || length > r.size-r.offset-recordHeaderSize {
		return nil, false, errTorn
	}
	r.resizePayload(int(length))
	if err := r.readFull(r.payload); err != nil {
		return nil, false, err
	}
	return r.payload, header.matches(r.payload), nil
}

// validRecordFollows reports, after errTorn, whether a valid record follows the invalid one.
func (r *segmentReader) validRecordFollows() bool {
	_, valid, err := r.readRecord()
	return err == nil && valid
}

// resizePayload sets the length of the payload buffer, in bytes, and enlarges the buffer if necessary.
func (r *segmentReader) resizePayload(length int) {
	if cap(r.payload) < length {
		r.payload = make([]byte, length)
	}
	r.payload = r.payload[:length]
}

// readFull fills the buffer from the file. It returns errTorn if the file ends first.
func (r *segmentReader) readFull(buffer []byte) error {
	_, err := io.ReadFull(r.reader, buffer)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTorn
	}
	return err
}
