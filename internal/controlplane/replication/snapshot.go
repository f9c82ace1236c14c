package replication

import (
	"encoding/binary"
	"sync"
)

// snapshot is the whole state of a replica: that of the state machine, and the entries that are not applied yet.
type snapshot struct {
	applied   position
	unapplied []entry
	state     []byte
}

// last returns the end of the log that the snapshot covers.
func (s snapshot) last() position {
	if len(s.unapplied) == 0 {
		return s.applied
	}
	return s.unapplied[len(s.unapplied)-1].position
}

// encode returns the snapshot's bytes, as they are stored and sent: the applied position, the count of unapplied
// entries, these as framed records, and the state machine's snapshot up to the end. Integers are varints.
func (s snapshot) encode() []byte {
	buffer := binary.AppendUvarint(nil, s.applied.Epoch)
	buffer = binary.AppendUvarint(buffer, s.applied.Index)
	buffer = binary.AppendUvarint(buffer, uint64(len(s.unapplied)))
	for _, waiting := range s.unapplied {
		buffer = appendFrame(buffer, waiting.encode(nil))
	}
	return append(buffer, s.state...)
}

// decodeSnapshot decodes a snapshot. The snapshot shares the memory of the data.
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

// lazySnapshot is a replica's snapshot that is encoded when it is first needed. A view change sends the same one to all
// members.
type lazySnapshot struct {
	once sync.Once
	data []byte
	last position
	err  error
}

// get returns the snapshot's bytes and the end of the log that it covers.
func (l *lazySnapshot) get(from *replica) ([]byte, position, error) {
	l.once.Do(func() { l.data, l.last, l.err = from.snapshot() })
	return l.data, l.last, l.err
}
