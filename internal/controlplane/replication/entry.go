package replication

import "encoding/binary"

// position identifies an entry of the log. Within a group, an epoch and an index identify one entry only, and two logs
// that end at the same position are equal (the log matching property of Raft).
type position struct {
	Epoch uint64 `json:"epoch"`
	Index uint64 `json:"index"`
}

// entry is a change in the log.
type entry struct {
	position
	// Commit is the index up to which the log was committed when the entry was written.
	Commit uint64
	Change []byte
}

// encode appends the entry's record to a buffer: epoch, index and commit as varints, then the change.
func (e entry) encode(buffer []byte) []byte {
	buffer = binary.AppendUvarint(buffer, e.Epoch)
	buffer = binary.AppendUvarint(buffer, e.Index)
	buffer = binary.AppendUvarint(buffer, e.Commit)
	return append(buffer, e.Change...)
}

// decodeEntry decodes a record. The entry shares the record's bytes.
func decodeEntry(record []byte) (entry, error) {
	reader := fieldReader{rest: record}
	decoded := entry{}
	decoded.Epoch = reader.uvarint()
	decoded.Index = reader.uvarint()
	decoded.Commit = reader.uvarint()
	decoded.Change = reader.rest
	return decoded, reader.err
}

// appendFrame appends a record to a buffer, prefixed by its length as a varint.
func appendFrame(buffer, record []byte) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(len(record)))
	return append(buffer, record...)
}

// decodeEntries decodes framed records up to the end of the data.
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
