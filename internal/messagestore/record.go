package messagestore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"gladepick/internal/message"
)

// recordKind tells what a record says.
type recordKind string

// The kinds of records. They are the same in the log and between replicas.
const (
	recordAccepted recordKind = "accepted" // Message, and the body behind the line
	recordFailed   recordKind = "failed"   // ID, Failures: an attempt was answered with a failure
	recordEnded    recordKind = "ended"    // ID, Outcome, EndedAt
	recordEpoch    recordKind = "epoch"    // a replica group has entered Epoch
	recordForget   recordKind = "forget"   // this store holds the partition no more
)

// record is one step in the life of a partition. In bytes it is a line of JSON, and the message's body behind it.
type record struct {
	Kind      recordKind       `json:"kind"`
	Partition int              `json:"partition"`
	Epoch     uint64           `json:"epoch,omitempty"`
	Message   *message.Message `json:"message,omitempty"`
	ID        string           `json:"id,omitempty"`
	Failures  int              `json:"failures,omitempty"`
	Outcome   *message.Outcome `json:"outcome,omitempty"`
	EndedAt   time.Time        `json:"endedAt,omitzero"`
}

// encode returns the record's line, with its newline.
func (r *record) encode() ([]byte, error) {
	line, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	return append(line, '\n'), nil
}

// decodeRecord splits bytes into the record and the body behind it. The body is a part of data.
func decodeRecord(data []byte) (*record, []byte, error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return nil, nil, fmt.Errorf("record of %d bytes has no line", len(data))
	}
	decoded := &record{}
	if err := json.Unmarshal(data[:end], decoded); err != nil {
		return nil, nil, fmt.Errorf("record's line: %w", err)
	}
	if decoded.Kind == recordAccepted && decoded.Message == nil {
		return nil, nil, fmt.Errorf("record %q holds no message", decoded.Kind)
	}
	return decoded, data[end+1:], nil
}
