package lease

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the operation of a command.
type Kind uint8

// The commands.
const (
	Acquire    Kind = iota + 1 // Owner makes a job durable and holds it
	IntendSend                 // Owner is about to send it to a worker
	Finish                     // Owner reports its outcome
	Release                    // Owner releases it without an outcome
	TakeOver                   // Owner gets all that PreviousOwner holds, in new epochs: that one is no member any more
	Expire                     // records that are finished or released, and past their retention, are removed
)

// Command is one entry of the log. Times are Unix time in milliseconds, by the clock of who wrote it.
type Command struct {
	_             struct{} `cbor:",toarray"`
	Kind          Kind
	Key           string
	Owner         string // a dispatcher's name and incarnation
	Epoch         uint64 // IntendSend, Finish, Release: under which the owner holds it
	Time          int64
	Terms         Terms  // Acquire
	Job           []byte // Acquire: all that another owner needs to run it
	Attempt       uint32 // IntendSend: counted from 1 in the epoch
	Place         uint32 // IntendSend: the zone or cell of the worker, whichever binds a repeat
	NothingRan    bool   // IntendSend, Release: every earlier send of this epoch is proved never to have run
	Outcome       Outcome
	Result        []byte
	PreviousOwner string // TakeOver: whose; empty for all that are overdue
	Limit         int    // TakeOver, Expire: records at most
}

// Terms are what the class of a job allows, fixed when it is first taken.
type Terms struct {
	_             struct{} `cbor:",toarray"`
	RetryWindow   int64    // ms after the first send that may have run, within which it may be sent again; 0: never again
	SamePlaceOnly bool     // and only to a worker of the same place
	Deadline      int64    // the client's own deadline: nothing is sent after it
	Retention     int64    // ms that the outcome is kept
	MaxRecords    int      // records that a table may hold
	RequestID     uint64   // whose attempt this is: the same command, repeated, is granted again
}

// Decision is what becomes of a command.
type Decision uint8

// The decisions.
const (
	Granted         Decision = iota + 1 // go ahead; Epoch is the owner's
	OwnedElsewhere                      // another owner holds it: its outcome is to be waited for
	AlreadyFinished                     // it is finished: Outcome and Result say how
	Fenced                              // the owner does not hold it any more
	Forbidden                           // the class forbids this send; the owner may only finish it
	TableFull                           // no room for another record
	Done                                // TakeOver, Expire: Moved records were moved or forgotten
)

// String returns the name of the value.
func (w Decision) String() string {
	return [...]string{"none", "granted", "joined", "known", "fenced", "barred", "full", "done"}[min(w, Done)]
}

// Response answers a command.
type Response struct {
	_          struct{} `cbor:",toarray"`
	Decision   Decision
	Epoch      uint64
	MayHaveRun bool // Acquire: an earlier epoch may have run it
	Outcome    Outcome
	Result     []byte
	Moved      int
	More       bool // TakeOver, Expire: there are more
}

// Encode writes a command or a reply, Decode and DecodeReply read them.
func Encode(v any) ([]byte, error) { return cbor.Marshal(v) }

// Decode reads a command.
func Decode(data []byte) (*Command, error) {
	c := new(Command)
	if err := cbor.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("lease: command: %w", err)
	}
	return c, nil
}

// DecodeResponse reads a reply.
func DecodeResponse(data []byte) (r Response, err error) {
	if err = cbor.Unmarshal(data, &r); err != nil {
		err = fmt.Errorf("lease: reply: %w", err)
	}
	return r, err
}
