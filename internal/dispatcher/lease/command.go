package lease

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the operation of a command. The numbers are part of the encoding.
type Kind uint8

// Operations on the lease table.
const (
	Acquire    Kind = iota + 1 // Owner makes a job durable and acquires its lease
	IntendSend                 // Owner is about to send the job to a worker
	Finish                     // Owner reports the job's outcome
	Release                    // Owner releases the lease without an outcome
	TakeOver                   // Owner gets the leases of PreviousOwner, which has failed, under new epochs
	Expire                     // finished and released records past their retention are removed
)

// Command is one entry of a group's log. Times are Unix milliseconds by the clock of the proposing dispatcher.
type Command struct {
	_             struct{} `cbor:",toarray"`
	Kind          Kind
	Key           string
	Owner         string // the proposing dispatcher: its name and membership incarnation
	Epoch         uint64 // IntendSend, Finish, Release: the epoch of the lease, its fencing token
	Time          int64
	Terms         Terms  // Acquire
	Job           []byte // Acquire: the encoded job, for another owner to run it
	Attempt       uint32 // IntendSend: number of the attempt, from 1 in each epoch
	Place         uint32 // IntendSend: the zone or cell of the worker, within which workers detect duplicates
	NothingRan    bool   // IntendSend, Release: provably, no earlier send of this epoch has run
	Outcome       Outcome
	Result        []byte
	PreviousOwner string // TakeOver: the failed owner; empty: the owners of overdue records
	Limit         int    // TakeOver, Expire: maximum number of records
}

// Terms are the rules for a job that follow from its class. They are fixed when the lease is first acquired, except
// that a later Acquire of a released record updates RequestID and may extend Deadline.
type Terms struct {
	_             struct{} `cbor:",toarray"`
	RetryWindow   int64    // ms in which repeats are allowed, from the first send that may have run; 0: none
	SamePlaceOnly bool     // the job may be sent again only to workers of the same Place
	Deadline      int64    // of the client, Unix ms; nothing is sent after it
	Retention     int64    // ms that the outcome is kept after Deadline or, if later, the last change
	MaxRecords    int      // maximum number of records in a table
	RequestID     uint64   // hash of the client's request ID; a repeated Acquire of the same request is granted again
}

// Decision is the result of a command.
type Decision uint8

// Results that a replica can give for a command.
const (
	Granted         Decision = iota + 1 // the command is applied; Epoch is the owner's
	OwnedElsewhere                      // another owner or request has the lease; the caller waits for its outcome
	AlreadyFinished                     // the job is finished; Outcome and Result are set
	Fenced                              // the owner has lost the lease
	Forbidden                           // the terms forbid this send, or the command is invalid
	TableFull                           // the table has MaxRecords records
	Done                                // TakeOver, Expire: Moved records were moved or removed
)

// String returns the name under which operators see the decision.
func (d Decision) String() string {
	return [...]string{"none", "granted", "joined", "known", "fenced", "barred", "full", "done"}[min(d, Done)]
}

// Response is a replica's response to a command.
type Response struct {
	_          struct{} `cbor:",toarray"`
	Decision   Decision
	Epoch      uint64
	MayHaveRun bool // Acquire: a worker may have run the job in an earlier epoch
	Outcome    Outcome
	Result     []byte
	Moved      int
	More       bool // TakeOver, Expire: Limit was reached, and more records remain
}

// Encode encodes a Command or a Response. Decode and DecodeResponse are the inverse.
func Encode(v any) ([]byte, error) { return cbor.Marshal(v) }

// Decode decodes a command.
func Decode(data []byte) (*Command, error) {
	c := new(Command)
	if err := cbor.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("lease: decoding a command: %w", err)
	}
	return c, nil
}

// DecodeResponse decodes a response.
func DecodeResponse(data []byte) (r Response, err error) {
	if err = cbor.Unmarshal(data, &r); err != nil {
		err = fmt.Errorf("lease: decoding a response: %w", err)
	}
	return r, err
}
