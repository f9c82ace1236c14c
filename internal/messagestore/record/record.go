// Package record defines what a store writes into its log, and replicas send one another: one step in the life of a partition.
// docs/format/messagestore.md describes the bytes.
//
// Kinds and JSON names are on the disks of stores and never change. The package has no state. Start reading at Record.
package record

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"gladepick/internal/message"
)

// Kind tells what a record says, and which fields it has.
type Kind string

// The kinds of records. They are the same in the log and between replicas.
const (
	Accepted Kind = "accepted" // Message, and the body behind the line
	Failed   Kind = "failed"   // ID, Failures: an attempt was answered with a failure
	Ended    Kind = "ended"    // ID, Outcome, EndedAt
	Epoch    Kind = "epoch"    // a replica group has entered Epoch
	Forget   Kind = "forget"   // this store holds the partition no more
)

// Record is one step in the life of a partition. In bytes it is a line of JSON, and for Accepted the message's body behind it.
type Record struct {
	Kind      Kind             `json:"kind"`
	Partition int              `json:"partition"`
	Epoch     uint64           `json:"epoch,omitempty"` // under which the primary has written it
	Message   *message.Message `json:"message,omitempty"`
	ID        string           `json:"id,omitempty"`
	Failures  int              `json:"failures,omitempty"` // attempts that were answered with a failure
	Outcome   *message.Outcome `json:"outcome,omitempty"`
	EndedAt   time.Time        `json:"endedAt,omitzero"`
}

// Encode returns the record's line, with its newline. The body goes behind it.
func (r *Record) Encode() ([]byte, error) {
	line, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	return append(line, '\n'), nil
}

// Decode splits bytes into the record and the body behind it. The body is a part of data.
func Decode(data []byte) (*Record, []byte, error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return nil, nil, fmt.Errorf("record of %d bytes has no line", len(data))
	}
	decoded := &Record{}
	if err := json.Unmarshal(data[:end], decoded); err != nil {
		return nil, nil, fmt.Errorf("record's line: %w", err)
	}
	if decoded.Kind == Accepted && decoded.Message == nil {
		return nil, nil, fmt.Errorf("record %q holds no message", decoded.Kind)
	}
	return decoded, data[end+1:], nil
}
