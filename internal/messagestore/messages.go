package messagestore

import "gladepick/internal/message"

// The calls that a store answers.
const (
	methodPut       = "store.put"       // putRequest with the body -> putResponse
	methodState     = "store.state"     // queryRequest -> message.Outcome
	methodBody      = "store.body"      // queryRequest -> the body
	methodReplicate = "store.replicate" // replicateRequest with the records -> replicateResponse
	methodInventory = "store.inventory" // inventoryRequest -> inventoryResponse
	methodOutcome   = "store.outcome"   // outcomeRequest -> empty: an attempt that a former primary had out has ended
)

// putRequest hands a message in.
type putRequest struct {
	message.Submission
}

// queryRequest asks for a message's state or body.
type queryRequest struct {
	Partition int    `json:"partition"`
	ID        string `json:"id"`
}

// replicateRequest sends records to a backup; their bytes follow one another in the body.
type replicateRequest struct {
	From    string          `json:"from"`
	Target  string          `json:"target"` // the disk that the records are for
	Records []replicateItem `json:"records"`
	// WantsGrant tells that the sender wants a lease of backupLease from the backup, to deliver by it: its lease is over,
	// or soon will be.
	WantsGrant bool `json:"wantsGrant,omitempty"`
	// GrantsMS is for how long a former primary may still count on a lease that the sender has granted, or was told of. A
	// backup may succeed the sender before that is over.
	GrantsMS int64 `json:"grantsMs,omitempty"`
}

// replicateItem tells a record's place in the body and the epoch under which its primary sends it.
type replicateItem struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	Length    int    `json:"length"`
}

// replicateResponse names the partitions whose records were refused because their epoch is not the newest.
type replicateResponse struct {
	Refused []int `json:"refused,omitempty"`
}

// inventoryRequest asks a backup what it holds of a partition.
type inventoryRequest struct {
	Target    string `json:"target"` // the disk that is asked
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
}

// inventoryResponse lists the messages that a backup holds.
type inventoryResponse struct {
	Live  []string `json:"live,omitempty"`
	Ended []string `json:"ended,omitempty"`
}

// outcomeRequest tells a partition's primary how an attempt ended that a former primary had out.
type outcomeRequest struct {
	Partition int             `json:"partition"`
	ID        string          `json:"id"`
	Outcome   message.Outcome `json:"outcome"`
}
