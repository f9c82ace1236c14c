// Package protocol defines the calls that a store answers: to clients, to the primary of a partition as its backup, and to
// stores that led a partition before. docs/format/messagestore.md lists them.
//
// Method strings and JSON names are held by processes of other versions and never change. The package has no state.
package protocol

import "gladepick/internal/message"

// The methods, with parameters and results.
const (
	MethodPut       = "store.put"       // PutRequest with the message's body -> nothing
	MethodState     = "store.state"     // QueryRequest -> message.Outcome
	MethodBody      = "store.body"      // QueryRequest -> the message's body
	MethodReplicate = "store.replicate" // ReplicateRequest with the records -> ReplicateResponse
	MethodInventory = "store.inventory" // InventoryRequest -> InventoryResponse
	MethodOutcome   = "store.outcome"   // OutcomeRequest -> nothing
)

// PutRequest asks a partition's primary to store a message. The primary answers once the message is committed.
type PutRequest struct {
	message.Submission
}

// QueryRequest asks a replica for a message's state or body.
type QueryRequest struct {
	Partition int    `json:"partition"`
	ID        string `json:"id"`
}

// ReplicateRequest sends records from a primary to a backup; their bytes follow one another in the call's body.
type ReplicateRequest struct {
	From         string         `json:"from"`   // the primary's name
	TargetDiskID string         `json:"target"` // the disk that the records are for
	Records      []RecordHeader `json:"records"`
	// WantsLease asks for a lease from the backup, as the sender's lease from the control plane is over or soon will be.
	WantsLease bool `json:"wantsGrant,omitempty"`
	// LeaseGrantsMS is for how many milliseconds a former primary may still count on a lease that the sender has granted, or
	// was told of. A backup that succeeds the sender waits for as long.
	LeaseGrantsMS int64 `json:"grantsMs,omitempty"`
}

// RecordHeader describes one record of a ReplicateRequest.
type RecordHeader struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`  // under which the primary sends the record
	Length    int    `json:"length"` // in the call's body, in bytes
}

// ReplicateResponse confirms that the records were synced, but for those of the partitions that it names.
type ReplicateResponse struct {
	Rejected []int `json:"refused,omitempty"` // partitions whose records have an epoch that is not the newest
}

// InventoryRequest asks a backup which messages of a partition it holds.
type InventoryRequest struct {
	TargetDiskID string `json:"target"` // the disk that is asked
	Partition    int    `json:"partition"`
	Epoch        uint64 `json:"epoch"`
}

// InventoryResponse lists the IDs of the messages that a backup holds.
type InventoryResponse struct {
	Queued []string `json:"live,omitempty"`
	Ended  []string `json:"ended,omitempty"`
}

// OutcomeRequest tells a partition's primary how an attempt ended that a former primary had out.
type OutcomeRequest struct {
	Partition int             `json:"partition"`
	ID        string          `json:"id"`
	Outcome   message.Outcome `json:"outcome"`
}
