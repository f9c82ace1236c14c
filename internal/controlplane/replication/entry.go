package replication

import (
	"encoding/binary"
	"errors"
)

var errMalformed = errors.New("replication: malformed record")

// position names a record of the log. Within a group an epoch and an index name one record only, and two logs that end
// at the same position are equal.
type position struct {
	Epoch uint64 `json:"epoch"`
	Index uint64 `json:"index"`
}

// entry is a change in the log.
type entry struct {
	position
	// Commit is the index up to which the log was committed when the entry was made.
	Commit uint64
	Change []byte
}

// encode appends the entry's record to a buffer.
func (e entry) encode(buffer []byte) []byte {
	buffer = binary.AppendUvarint(buffer, e.Epoch)
	buffer = binary.AppendUvarint(buffer, e.Index)
	buffer = binary.AppendUvarint(buffer, e.Commit)
	return append(buffer, e.Change...)
}

// decodeEntry reads a record. The entry shares the record's bytes.
func decodeEntry(record []byte) (entry, error) {
	reader := fieldReader{rest: record}
	decoded := entry{}
	decoded.Epoch = reader.uvarint()
	decoded.Index = reader.uvarint()
	decoded.Commit = reader.uvarint()
	decoded.Change = reader.rest
	return decoded, reader.err
}

// appendFrame appends a record with its length before it.
func appendFrame(buffer, record []byte) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(len(record)))
	return append(buffer, record...)
}

// decodeEntries reads framed records up to the end.
func decodeEntries(data []byte) ([]entry, error) {
	var entries []entry
	reader := fieldReader{rest: data}
	for len(reader.rest) > 0 && reader.err == nil {
		decoded, err := decodeEntry(reader.frame())
		if err != nil {
			return nil, err
		}
		entries = append(entries, decoded)
	}
	return entries, reader.err
}

// image is the whole state of a replica: the state machine's, and the entries that are not applied yet.
type snapshot struct {
	applied   position
	unapplied []entry
	state     []byte
}

// last returns the end of the log that the image stands for.
func (i snapshot) last() position {
	if len(i.unapplied) == 0 {
		return i.applied
	}
	return i.unapplied[len(i.unapplied)-1].position
}

func (i snapshot) encode() []byte {
	buffer := binary.AppendUvarint(nil, i.applied.Epoch)
	buffer = binary.AppendUvarint(buffer, i.applied.Index)
	buffer = binary.AppendUvarint(buffer, uint64(len(i.unapplied)))
	for _, waiting := range i.unapplied {
		buffer = appendFrame(buffer, waiting.encode(nil))
	}
	return append(buffer, i.state...)
}

// decodeImage reads an encoded image. The image shares the bytes.
func decodeSnapshot(data []byte) (snapshot, error) {
	reader := fieldReader{rest: data}
	decoded := snapshot{}
	decoded.applied.Epoch = reader.uvarint()
	decoded.applied.Index = reader.uvarint()
	count := reader.uvarint()
	for i := uint64(0); i < count && reader.err == nil; i++ {
		waiting, err := decodeEntry(reader.frame())
		if err != nil {
			return snapshot{}, err
		}
		decoded.unapplied = append(decoded.unapplied, waiting)
	}
	decoded.state = reader.rest
	return decoded, reader.err
}

// fieldReader reads numbers and framed records from the front of a buffer. The first failure stays.
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
