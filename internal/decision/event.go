package decision

import "time"

// Identifiers. They carry no meaning beyond identity.
type (
	WorkerID uint32 // a worker, unchanged when its process restarts
	JobID    uint32 // one request of a client, never reused while it is open
)

// EventKind tells which fields of an Event count.
type EventKind uint8

// The events, with the fields that count.
const (
	EventList          EventKind = iota + 1 // List, Entries
	EventJob                                // Job, Class, Tenant, Key, Deadline, Hint, Slots, Memory, Retry
	EventStreamStarted                      // Job, Attempt, Worker: a streamed answer has begun
	EventJobProgress                        // Job, Attempt, Worker, Progress, Value
	EventOutcome                            // Job, Attempt, Worker, Outcome, JobEnded, Duration, Load
	EventClientLeft                         // Job: the client has left
	EventTimer                              // Token
	EventHealthChecked                      // Worker, Outcome, Duration, Load
	EventPeerMessage                        // From, Data
)

// ListKind says how a list of workers is to be read.
type ListKind uint8

// The list kinds.
const (
	ListFailed ListKind = iota // a call failed or the watch broke; no entries
	ListCached                 // everything, as last held; maybe outdated
	ListDelta                  // changed workers only
	ListFull                   // everything; who is missing has left
)

// State of a listed worker.
type State uint8

// The states.
const (
	Gone State = iota
	Ready
	Draining
)

// Entry is one line of a list of workers. Entries may be shared between instances and are never changed.
type Entry struct {
	Worker  WorkerID
	Started time.Duration // when its process started; 0 = long ago
	Cell    int
	Zone    int
	Kind    int
	Weight  float64 // its size beside other workers
	State   State
}

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// The outcomes.
const (
	OK            Outcome = iota + 1
	Error                 // it may have run
	Rejected              // rejected before it started: it never ran
	TimedOut              // it may have run or may run still
	ConnectFailed         // no connection: it never ran
	Reset                 // connection lost: it may have run
	Cancelled             // it may have run
	NeverSent             // never issued
)

// ProgressKind tells what an EventJobProgress says.
type ProgressKind uint8

// The kinds of progress.
const (
	JobStarted  ProgressKind = iota + 1 // the job has started
	JobAdvanced                         // Value is the share done
)

// Event is one thing that happened. Kind tells which fields count.
type Event struct {
	Kind     EventKind
	List     ListKind
	Outcome  Outcome
	Progress ProgressKind
	JobEnded bool // the job has ended, with this outcome or before
	Retry    bool // marked by the client as a retry of an earlier request
	HasHint  bool
	Job      JobID
	Worker   WorkerID
	Attempt  int // counts the job's Send actions from 0
	Class    int
	Tenant   int
	Key      uint64        // jobs of one key go to few workers; 0 for none
	Deadline time.Duration // when the client stops waiting
	Hint     time.Duration
	Slots    float64 // how many of a worker's slots the job takes
	Memory   float64
	Duration time.Duration
	Value    float64
	Load     Load
	Token    uint32 // of the SetTimer action
	From     int
	Data     []byte
	Entries  []Entry
}
