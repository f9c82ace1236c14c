// What a front hands in and what comes back: jobs, attempts, answers, and who takes them.

package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// Verdict is the kind of a final answer.
type AnswerKind uint8

// The verdicts.
const (
	Served   AnswerKind = iota + 1 // a worker gave the result
	Rejected                       // trying again is harmless
	Failed                         // no promise about what the job did
)

// Answer is the final answer to a job.
type Answer struct {
	Kind       AnswerKind
	Result     []byte        // Served: as the worker gave it
	RetryAfter time.Duration // Refused: when the client may come back
}

// Field is a header line that passes through as it came.
type HeaderField struct{ Name, Value string }

// Job is one try of a client. A front fills in the exported fields, hands it
// to Core.Take and from then on leaves it alone.
type Job struct {
	ID             string        // the client's name for it, unique to the try
	IdempotencyKey string        // names the effect, where the class has keys
	Target         string        // method's target as it came
	Header         []HeaderField // other lines, as they came
	Body           []byte        // as it came
	Class          int
	Tenant         int
	AffinityKey    uint64 // what the job is about; 0 = none
	Retry          bool
	Slots          float64
	Memory         float64
	Timeout        time.Duration // until the client gives up, from now

	// Reply gets the final answer, once, on the core's goroutine: it must not block.
	Reply func(Answer)
	// MayStart is asked just before an attempt's first byte, on any goroutine, and Ended told of each outcome that the
	// module gets, on the core's: both for jobs that are kept elsewhere too (internal/keep). nil: nobody asks.
	MayStart     func() bool
	OnAttemptEnd func(a *Attempt, o decision.Outcome)

	number   decision.JobID
	until    time.Duration // when waiting for workers ends
	tries    []*Attempt
	out      int // attempts that have no outcome yet
	answered bool
	over     atomic.Bool // the same, or the client has just left: nothing more is sent
}

// Attempt is one send of a job to a worker. Exactly one End must follow.
type Attempt struct {
	Job      *Job
	Worker   config.Worker
	Context  context.Context // over once the attempt is given up
	Deadline time.Time       // when waiting ends at the latest

	core     *Core
	seat     *seat
	cancel   context.CancelFunc
	begun    atomic.Bool // its first byte may be out
	whole    atomic.Bool // its last byte is out
	number   int
	ended    bool // it has its outcome
	recalled bool // given up by the module
	expired  bool // its own time-out has passed
}

// Floor carries attempts to workers. Neither method may block.
type Transport interface {
	Send(*Attempt)
	CloseIdle(config.Worker)
}

// Taker is what a front gives its jobs to: the Core, or what keeps them and hands them on.
type Submitter interface {
	Submit(*Job) error // after nil the job's Reply is called once; after an error never
	Abandon(*Job)      // the client has gone
}

// Asker keeps the watch on the roster. It must not block.
type ListWatcher interface{ Watch(on bool) }

// Sight is what an Observer sees.
type EventKind uint8

// The sights.
const (
	JobAccepted    EventKind = iota + 1 // Job: it is open now
	JobOverflowed                       // Job: not taken, too many are open; it has no number
	AttemptSent                         // Attempt
	AttemptStarted                      // Attempt: the job has started at the worker
	AttemptEnded                        // Attempt, Outcome, Load; of an attempt that never went out too, as Moot
	JobAnswered                         // Job, Answer
	JobAbandoned                        // Job: the client has gone without an answer
)

// Moment is one sight.
type Event struct {
	Kind    EventKind
	At      time.Duration // on the core's clock
	Job     *Job          // of an attempt too
	Attempt *Attempt
	Outcome decision.Outcome
	Load    decision.Load
	Answer  Answer
}

// Observer sees what the core does, in order and on the core's goroutine, but for SawTurned, which comes on the
// front's. It must not block, change anything it is shown, or keep it beyond the call.
type Observer interface{ Observe(*Event) }

// Number counts a job's attempts from 0.
func (a *Attempt) Number() int { return a.number }

// MayStart looks at the worker and the client just before the first byte of a send goes out: a connection takes time
// to come up, and meanwhile the worker may have been told off, or the client may have left.
func (a *Attempt) MayStart() bool {
	a.begun.Store(true) // before the look: Leave looks the other way round, and one of the two sees the other
	return !a.Job.over.Load() && !a.seat.leaving.Load() && a.Context.Err() == nil && (a.Job.MayStart == nil || a.Job.MayStart())
}

// Whole tells that the last byte of the send has gone out.
func (a *Attempt) MarkSent() { a.whole.Store(true) }

// Note passes on that the job has started at the worker, or how far it is.
func (a *Attempt) ReportProgress(kind decision.ProgressKind, share float64) {
	a.core.post(func() {
		if !a.ended {
			if kind == decision.JobStarted {
				a.core.see(Event{Kind: AttemptStarted, Job: a.Job, Attempt: a})
			}
			a.core.handle(&decision.Event{Kind: decision.EventJobProgress, Job: a.Job.number, Attempt: a.number,
				Worker: a.seat.number, Progress: kind, Value: share})
		}
	})
}

// End passes on how the attempt ended. Its connection must be closed or clean by then: another send may follow.
func (a *Attempt) End(o decision.Outcome, load decision.Load, result []byte) {
	a.core.post(func() { a.core.end(a, o, load, result) })
}
