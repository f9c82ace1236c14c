package decision

import "time"

// Identifiers of workers and jobs. Their values carry no further meaning.
type (
	WorkerID uint32 // a worker, unchanged when its process restarts
	JobID    uint32 // one request of a client, not reused while the job is open
)

// EventKind is the type of an Event and determines which of its fields are set.
type EventKind uint8

// The kinds of events, each with the fields that it sets.
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

// ListKind specifies how complete and how current a list of workers is.
type ListKind uint8

// The values of ListKind.
const (
	ListFailed ListKind = iota // the call failed or the watch broke; no entries
	ListCached                 // all workers as last known; may be outdated
	ListDelta                  // changed workers only
	ListFull                   // all workers; a worker that is missing has left
)

// State is the state of a listed worker.
type State uint8

// The values of State.
const (
	Gone State = iota
	Ready
	Draining
)

// Entry describes one worker in a list. Entries may be shared between dispatchers and are never modified.
type Entry struct {
	Worker  WorkerID
	Started time.Duration // when its process started; 0: long ago
	Cell    int           // workers of a cell share deduplication, see DedupByCell
	Zone    int
	Kind    int     // kind of worker, from 0
	Weight  float64 // its capacity relative to that of other workers
	State   State
}

// Outcome is the result of an attempt or a health check.
type Outcome uint8

// The values of Outcome.
const (
	OK            Outcome = iota + 1
	Error                 // failed; it may have run
	Rejected              // rejected before it started: it never ran, unless Settings.RejectionUnproven
	TimedOut              // it may have run, or may still be running
	ConnectFailed         // no connection: it never ran
	Reset                 // connection lost: it may have run
	Cancelled             // it may have run
	NeverSent             // not sent: it never ran
)

// ProgressKind specifies what an EventJobProgress reports.
type ProgressKind uint8

// The values of ProgressKind.
const (
	JobStarted  ProgressKind = iota + 1 // the job has started
	JobAdvanced                         // Value is the share that is done
)

// Event is an input of the dispatcher. Kind determines which fields are set.
type Event struct {
	Kind     EventKind
	List     ListKind
	Outcome  Outcome
	Progress ProgressKind
	JobEnded bool // the job has ended, with this outcome or earlier
	Retry    bool // the client marks the job as a retry of an earlier request
	HasHint  bool
	Job      JobID
	Worker   WorkerID
	Attempt  int // index of the Send action among those of the job, from 0
	Class    int
	Tenant   int
	Key      uint64        // jobs of the same key go to few workers; 0: no key
	Deadline time.Duration // when the client stops waiting
	Hint     time.Duration
	Slots    float64 // the number of slots that the job takes at a worker
	Memory   float64
	Duration time.Duration
	Value    float64 // of an EventJobProgress
	Load     Load
	Token    uint32 // of the SetTimer action that set the timer
	From     int    // number of the sending dispatcher
	Data     []byte
	Entries  []Entry
}
