// Package message defines a message as fronts, stores and the delivery engine pass it on.
package message

import (
	"errors"
	"time"
)

// State is what a client hears of a message.
type State string

// The states.
const (
	Queued     State = "queued"
	Completed  State = "completed"
	DeadLetter State = "dead_letter"
)

// Message is a message without its body. It does not change after a store has numbered it.
type Message struct {
	ID            string    `json:"id,omitempty"` // names the partition, so that any front finds the message
	Partition     int       `json:"partition"`
	Sequence      uint64    `json:"sequence,omitempty"` // order of acceptance within the partition
	Route         string    `json:"route"`              // the route's name
	Host          string    `json:"host"`
	Method        string    `json:"method"`
	Target        string    `json:"target"` // path and query, byte for byte as they came
	RequestID     string    `json:"requestId"`
	OrderKey      string    `json:"orderKey,omitempty"` // only on ordered routes
	ContentType   string    `json:"contentType,omitempty"`
	ConfigVersion uint64    `json:"configVersion"` // the configuration by which the front took it in
	DueAt         time.Time `json:"dueAt"`         // when it may run first
	ExpiresAt     time.Time `json:"expiresAt"`     // when its retention ends
}

// Outcome is how a message ended.
type Outcome struct {
	State State  `json:"state"`           // Completed or DeadLetter
	Stamp string `json:"stamp,omitempty"` // the worker's stamp, of Completed
}

// Submission is a message as a front hands it to a store: times are relative, so that clocks may differ.
type Submission struct {
	Message     Message `json:"message"`
	DelayMS     int64   `json:"delayMs,omitempty"`
	RetentionMS int64   `json:"retentionMs"`
}

// ErrNotStored means that a message surely is not kept and will never run: its client may send it again.
var ErrNotStored = errors.New("message not kept")

// ErrNotFound means that nothing is known of a message.
var ErrNotFound = errors.New("unknown message")

// ErrBodyNotFound means that a message's body is not kept any more.
var ErrBodyNotFound = errors.New("message body not kept")
