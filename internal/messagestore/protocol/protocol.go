// Package protocol defines the calls that a store answers: from clients, from the primary of a partition that has the
// store as a backup, and from former primaries. docs/format/messagestore.md lists them.
//
// Processes of other versions use the same method strings and JSON names, so these never change. The package has no
// state.
package protocol

import (
	"time"

	"gladepick/internal/message"
)

// The methods, each with its parameters and its result.
const (
	MethodPut       = "store.put"       // PutRequest with the message's body -> nothing
	MethodState     = "store.state"     // QueryRequest -> message.Outcome
	MethodBody      = "store.body"      // QueryRequest -> the message's body
	MethodReplicate = "store.replicate" // ReplicateRequest with the records -> ReplicateResponse
	MethodInventory = "store.inventory" // InventoryRequest -> InventoryResponse
	MethodOutcome   = "store.outcome"   // OutcomeRequest -> nothing
	MethodRecords   = "store.records"   // RecordsRequest -> RecordsResponse with the records
)

// PutRequest asks a partition's primary to store a message, whose body is that of the call. The primary answers once
// the message is committed.
type PutRequest struct {
	message.Submission
}

// QueryRequest asks a replica for a message's state or body.
type QueryRequest struct {
	Partition int    `json:"partition"`
	ID        string `json:"id"`
}

// ReplicateRequest sends records from a primary to a backup. The records are concatenated in the call's body.
type ReplicateRequest struct {
	From         string         `json:"from"`   // the primary's name
	TargetDiskID string         `json:"target"` // the disk that the records are for
	Records      []RecordHeader `json:"records"`
	// WantsLease asks the backup for a lease, because the sender's lease from the control plane has ended or is about
	// to.
	WantsLease bool `json:"wantsGrant,omitempty"`
	// LeaseGrantsMS is the time in milliseconds for which a former primary may still count on a lease that the sender
	// has granted or knows of. A backup that becomes primary after the sender waits for that time.
	LeaseGrantsMS int64 `json:"grantsMs,omitempty"`
}

// RecordHeader describes one record of a ReplicateRequest.
type RecordHeader struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`  // under which the primary sends the record
	Length    int    `json:"length"` // in the call's body, in bytes
}

// ReplicateResponse confirms that the records were synced, except for those of the partitions in Rejected.
type ReplicateResponse struct {
	Rejected []int `json:"refused,omitempty"` // partitions whose records were sent under a stale epoch
}

// InventoryRequest asks a backup for the IDs of a partition's messages that it has.
type InventoryRequest struct {
	TargetDiskID string `json:"target"` // the disk that is asked
	Partition    int    `json:"partition"`
	Epoch        uint64 `json:"epoch"`
	From         string `json:"from,omitempty"` // the primary's name; set if WantsDetails is
	// WantsDetails also asks for what a new primary needs to know before it runs messages again: outcomes, failed
	// attempts and lease grants.
	WantsDetails bool `json:"wantsDetails,omitempty"`
	// DetailsOf limits the details to the messages that the primary has queued. If it is empty, all are asked for.
	DetailsOf []string `json:"detailsOf,omitempty"`
}

// InventoryResponse lists the IDs of a partition's messages at a backup.
type InventoryResponse struct {
	Queued []string `json:"live,omitempty"`
	Ended  []string `json:"ended,omitempty"`
	// Outcomes and Failures are only in an answer to a request for details. Failures has the queued messages with at
	// least one failed attempt.
	Outcomes map[string]EndedMessage `json:"outcomes,omitempty"`
	Failures map[string]int          `json:"failures,omitempty"`
	// LeaseGrantsMS is the time in milliseconds for which other stores than the asking one may still count on a lease
	// that the replica has granted or knows of. It is only in an answer to a request for details.
	LeaseGrantsMS int64 `json:"grantsMs,omitempty"`
}

// EndedMessage tells how and when a message ended.
type EndedMessage struct {
	Outcome message.Outcome `json:"outcome"`
	EndedAt time.Time       `json:"endedAt,omitzero"`
}

// RecordsRequest asks a replica for the accepted records of messages, with their bodies.
type RecordsRequest struct {
	TargetDiskID string   `json:"target"` // the disk that is asked
	Partition    int      `json:"partition"`
	Epoch        uint64   `json:"epoch"`
	IDs          []string `json:"ids"`
}

// RecordsResponse has the records of the first messages of a request, concatenated in the body of the response. A message
// that the replica no longer has counts as one without a record.
type RecordsResponse struct {
	Records []RecordHeader `json:"records"`
	Handled int            `json:"handled"` // number of IDs, from the first, that the response covers
}

// OutcomeRequest tells a partition's primary the outcome of an attempt that a former primary had in flight.
type OutcomeRequest struct {
	Partition int             `json:"partition"`
	ID        string          `json:"id"`
	Outcome   message.Outcome `json:"outcome"`
}
