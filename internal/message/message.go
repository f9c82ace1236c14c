// Package message defines the messages that fronts, stores and the delivery engine exchange, and their outcomes.
//
// The JSON encoding of the types is stored on the disks of stores and used in calls between processes. Later versions
// must read and write the same encoding; the files under testdata have an example of each type. The types do not
// include the body of a message, which is sent and stored beside them without any encoding.
//
// The package has only types and errors, and no state. Start reading at Message. internal/ingress converts clients'
// requests to submissions, and internal/messagestore converts submissions to messages.
package message

import (
	"errors"
	"time"
)

// State is the state of a message as clients see it.
type State string

// The values of State. Answers to clients contain these strings.
const (
	Queued     State = "queued"      // the message is waiting, in flight, or will be retried
	Completed  State = "completed"   // a worker has run the message
	DeadLetter State = "dead_letter" // the message has ended without success and will not run again
)

// Message is a message without its body. It does not change once a store has assigned its sequence number.
type Message struct {
	ID            string    `json:"id,omitempty"` // begins with the partition, so that any front can find the message
	Partition     int       `json:"partition"`
	Sequence      uint64    `json:"sequence,omitempty"` // increases in the order of acceptance within the partition
	Route         string    `json:"route"`              // the route's name
	Host          string    `json:"host"`
	Method        string    `json:"method"`
	Target        string    `json:"target"` // path and query, byte for byte as received
	RequestID     string    `json:"requestId"`
	OrderKey      string    `json:"orderKey,omitempty"` // only on ordered routes
	ContentType   string    `json:"contentType,omitempty"`
	ConfigVersion uint64    `json:"configVersion"` // version of the configuration when the front accepted the message
	DueAt         time.Time `json:"dueAt"`         // earliest time of the first attempt
	ExpiresAt     time.Time `json:"expiresAt"`     // end of the retention
	// Exact has the bytes of texts that are not valid UTF-8; nil if there are none.
	Exact *ExactText `json:"exact,omitempty"`
}

// Outcome is the state of a message and, once it has completed, the worker's stamp.
type Outcome struct {
	State State  `json:"state"`           // Queued until the message has ended
	Stamp string `json:"stamp,omitempty"` // the worker's stamp if State is Completed
}

// Submission is a message as a front sends it to a store. Times are relative, so that the clocks of the two may differ.
type Submission struct {
	Message     Message `json:"message"`
	DelayMS     int64   `json:"delayMs,omitempty"` // from acceptance to Message.DueAt, in milliseconds
	RetentionMS int64   `json:"retentionMs"`       // from acceptance to Message.ExpiresAt, in milliseconds
}

// ErrNotStored means that a message is certainly not stored and will never run, so its client may send it again.
var ErrNotStored = errors.New("message not stored")

// ErrNotFound means that a message does not exist or has expired.
var ErrNotFound = errors.New("message not found")

// ErrBodyNotFound means that a message's body is not stored or no longer stored.
var ErrBodyNotFound = errors.New("message body not found")
