package replication

import "encoding/binary"

// fieldReader reads varints and framed records from the front of a buffer. It keeps the first error.
type fieldReader struct {
	rest []byte
	err  error
}

func (r *fieldReader) uvarint() uint64 {
	if r.err != nil {
		return 0
	}
	value, length := binary.Uvarint(r.rest)
	if length <= 0 {
		r.err = errMalformed
		return 0
	}
	r.rest = r.rest[length:]
	return value
}

func (r *fieldReader) frame() []byte {
	length := r.uvarint()
	if r.err != nil || length > uint64(len(r.rest)) {
		r.err = errMalformed
		return nil
	}
	frame := r.rest[:length]
	r.rest = r.rest[length:]
	return frame
}
