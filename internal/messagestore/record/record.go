// Package record defines the records that a store writes to its log and that replicas send to each other. A record is
// one change of a partition. docs/format/messagestore.md describes the encoding.
//
// Kinds and JSON names are stored on the disks of stores and never change. The package has no state. Start reading at
// Record.
package record

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"gladepick/internal/message"
)

// Kind is the kind of change that a record describes. It determines which fields the record has.
type Kind string

// The kinds of records. They are encoded alike in the log and between replicas, but replicas do not send Forget and
// Settled.
const (
	Accepted Kind = "accepted" // a message was accepted: Message, Failures, and the body after the line
	Failed   Kind = "failed"   // a worker answered an attempt with a failure: ID, Failures
	Ended    Kind = "ended"    // a message has ended: ID, Outcome, EndedAt
	Epoch    Kind = "epoch"    // the replica group has entered Epoch
	Forget   Kind = "forget"   // this store has dropped the partition
	Settled  Kind = "settled"  // this store leads under Epoch, and no lease of a former primary is valid any more
	Dropped  Kind = "dropped"  // the primary of Epoch does not know a message of an earlier epoch: ID
)

// Record is one change of a partition. It is encoded as a line of JSON, which for Accepted is followed by the message's
// body.
type Record struct {
	Kind      Kind             `json:"kind"`
	Partition int              `json:"partition"`
	Epoch     uint64           `json:"epoch,omitempty"` // under which the primary wrote the record
	Message   *message.Message `json:"message,omitempty"`
	ID        string           `json:"id,omitempty"`
	Failures  int              `json:"failures,omitempty"` // attempts that were answered with a failure
	Outcome   *message.Outcome `json:"outcome,omitempty"`
	EndedAt   time.Time        `json:"endedAt,omitzero"`
}

// Encode returns the record's line including its newline. The body follows it in the log and in calls.
func (r *Record) Encode() ([]byte, error) {
	line, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	return append(line, '\n'), nil
}

// Decode decodes the record at the start of data and returns it with the body that follows it. The body is a slice of
// data.
func Decode(data []byte) (*Record, []byte, error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return nil, nil, fmt.Errorf("record of %d bytes has no newline", len(data))
	}
	decoded := &Record{}
	if err := json.Unmarshal(data[:end], decoded); err != nil {
		return nil, nil, fmt.Errorf("decoding the record's line: %w", err)
	}
	if decoded.Kind == Accepted && decoded.Message == nil {
		return nil, nil, fmt.Errorf("record of kind %q has no message", decoded.Kind)
	}
	if decoded.Message != nil {
		decoded.Message.RestoreExactText()
	}
	return decoded, data[end+1:], nil
}
