// Package message defines a message as fronts, stores and the delivery engine pass it on, and how it ends.
//
// The JSON names of the types are on stores' disks and in calls between processes: the files under testdata hold each of
// them, and later versions must write the same and read these. A body is never a part of these types; it travels beside
// them, unencoded.
//
// The package has no state, and no code but the types. Start reading at Message; internal/ingress makes submissions of
// clients' requests, and internal/messagestore makes messages of submissions.
package message

import (
	"errors"
	"time"
)

// State is what a client learns of a message.
type State string

// The states. They are a part of the answers to clients.
const (
	Queued     State = "queued"      // it waits, is being delivered, or will be retried
	Completed  State = "completed"   // a worker has run it
	DeadLetter State = "dead_letter" // it has ended without success and will not run again
)

// Message is a message without its body. It does not change after a store has numbered it.
type Message struct {
	ID            string    `json:"id,omitempty"` // names the partition, so that any front finds the message
	Partition     int       `json:"partition"`
	Sequence      uint64    `json:"sequence,omitempty"` // rises in the order of acceptance within the partition
	Route         string    `json:"route"`              // the route's name
	Host          string    `json:"host"`
	Method        string    `json:"method"`
	Target        string    `json:"target"` // path and query, byte for byte as they came
	RequestID     string    `json:"requestId"`
	OrderKey      string    `json:"orderKey,omitempty"` // only on ordered routes
	ContentType   string    `json:"contentType,omitempty"`
	ConfigVersion uint64    `json:"configVersion"` // the configuration by which the front accepted it
	DueAt         time.Time `json:"dueAt"`         // when it may run first
	ExpiresAt     time.Time `json:"expiresAt"`     // when its retention ends
}

// Outcome is how a message ended.
type Outcome struct {
	State State  `json:"state"`           // Completed or DeadLetter
	Stamp string `json:"stamp,omitempty"` // the worker's stamp, of Completed
}

// Submission is a message as a front sends it to a store: times are relative, so that clocks may differ.
type Submission struct {
	Message     Message `json:"message"`
	DelayMS     int64   `json:"delayMs,omitempty"` // from acceptance to Message.DueAt, in milliseconds
	RetentionMS int64   `json:"retentionMs"`       // from acceptance to Message.ExpiresAt, in milliseconds
}

// ErrNotStored means that a message surely is not stored and will never run: its client may send it again.
var ErrNotStored = errors.New("message not kept")

// ErrNotFound means that nothing is known of a message.
var ErrNotFound = errors.New("unknown message")

// ErrBodyNotFound means that a message's body is not stored any more.
var ErrBodyNotFound = errors.New("message body not kept")
