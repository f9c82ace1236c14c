package simcluster

import (
	"net/http"
	"sync"
	"time"
)

// History is everything that the simulated clients, workers, operators and platform have observed. All times count
// from the cluster's start. Audit judges a history and nothing else.
type History struct {
	Attempts        []Attempt
	Arrivals        []Arrival
	Changes         []ConfigurationChange
	Reads           []ConfigurationRead
	StateResponses  []StateResponse
	Faults          []Fault
	Starts          []Start
	UnexpectedExits []UnexpectedExit
	Departures      []Departure
	Services        []Service
	End             time.Duration
}

// Attempt is one request of a client that submits a message. It may be a retry of an earlier one.
type Attempt struct {
	RequestID  string
	Front      string // the machine's name
	Route      string
	Path       string // with the query
	OrderKey   string
	Body       string
	Delay      time.Duration
	FirstSent  time.Duration // of the client's message, before any retry
	SentAt     time.Duration
	AnsweredAt time.Duration
	Status     int // 0 where there was no response
	MessageID  string
}

// Accepted tells whether the response promises that the message will be delivered.
func (t *Attempt) Accepted() bool { return t.Status == http.StatusAccepted }

// Refused tells whether the response promises that the message will never run.
func (t *Attempt) Refused() bool {
	switch t.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Result is what a worker did with a delivery.
type Result string

// The results. A worker ran the message with each of them but NotRun and Repeated.
const (
	NotRun    Result = "not run"   // rejected
	Repeated  Result = "repeated"  // the first success was answered again from the table of ids
	Succeeded Result = "succeeded" // answered with a stamp
	Failed    Result = "failed"    // answered 500
	Rejected  Result = "rejected"  // answered 422
	Overdue   Result = "overdue"   // given up at the deadline
	Broken    Result = "broken"    // the connection ended first
	Running   Result = "running"   // not ended yet
)

// Ran tells whether the worker began to work on the message.
func (r Result) Ran() bool { return r != NotRun && r != Repeated }

// Arrival is a delivery as a worker saw it.
type Arrival struct {
	RequestID   string
	Method      string
	Path        string // with the query
	Body        string
	Service     string
	Worker      string // the incarnation's id
	Sender      string // the machine's name
	Incarnation int    // which process of the sender's machine, from 1
	Deadline    time.Duration
	At          time.Duration
	EndedAt     time.Duration
	Result      Result
	Status      int
	Stamp       string
	Unread      bool // the connection had ended before the answer
}

// ConfigurationChange is a configuration that an operator sent.
type ConfigurationChange struct {
	Operator      string
	Base          uint64
	Configuration Configuration // the complete configuration after the change
	SentAt        time.Duration
	AnsweredAt    time.Duration
	Status        int // of the conclusive response; 0 where there was none
}

// Acknowledged tells whether the configuration was accepted.
func (c *ConfigurationChange) Acknowledged() bool { return c.Status == http.StatusOK }

// ConfigurationRead is the configuration as an operator has read it.
type ConfigurationRead struct {
	From          time.Duration // when the read began
	At            time.Duration
	Configuration Configuration
}

// StateResponse is what the system reports of an accepted message at the end.
type StateResponse struct {
	RequestID  string
	Status     int // 0 where no front responded
	State      string
	Stamp      string
	BodyStatus int
	Body       string
}

// Fault is a fault that was injected into a machine.
type Fault struct {
	Machine string
	Kind    FaultKind
	Planned bool
	From    time.Duration
	Until   time.Duration // 0 while it lasts
}

// Start is the start of a process.
type Start struct {
	Machine string
	At      time.Duration
}

// UnexpectedExit is a process that ended without having been stopped.
type UnexpectedExit struct {
	Machine string
	At      time.Duration
	Reason  string
}

// Departure is a worker that the platform's list shows as draining, or no longer shows.
type Departure struct {
	Worker  string
	ShownAt time.Duration
}

// recorder writes a history. Its methods may be called from several goroutines.
type recorder struct {
	mutex        sync.Mutex
	started      time.Time
	history      History
	incarnations map[string]int
}

func newRecorder() *recorder {
	return &recorder{started: time.Now(), incarnations: make(map[string]int)}
}

func (r *recorder) now() time.Duration { return time.Since(r.started) }

// write changes the history under the lock.
func (r *recorder) write(change func(history *History)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(&r.history)
}

// addArrival records an arrival and returns its position, which endArrival needs.
func (r *recorder) addArrival(arrival Arrival) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	arrival.At = r.now()
	arrival.Incarnation = r.incarnations[arrival.Sender]
	r.history.Arrivals = append(r.history.Arrivals, arrival)
	return len(r.history.Arrivals) - 1
}

// endArrival records the result of an arrival, and whether its connection had ended before the response.
func (r *recorder) endArrival(position int, end outcome, unread bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	arrival := &r.history.Arrivals[position]
	arrival.EndedAt = r.now()
	arrival.Result, arrival.Status, arrival.Stamp = end.result, end.status, end.stamp
	arrival.Unread = unread
}

// addStart records the start of a process, which is a new incarnation of its machine.
func (r *recorder) addStart(machine string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.incarnations[machine]++
	r.history.Starts = append(r.history.Starts, Start{Machine: machine, At: r.now()})
}

// beginFault records a fault that begins. Planned ones are operations such as a restart.
func (r *recorder) beginFault(machine string, kind FaultKind, planned bool) {
	r.write(func(history *History) {
		history.Faults = append(history.Faults, Fault{Machine: machine, Kind: kind, Planned: planned, From: r.now()})
	})
}

// endFaults records the end of a machine's faults of a kind, or of allFaults.
func (r *recorder) endFaults(machine string, kind FaultKind) {
	r.write(func(history *History) {
		for i := range history.Faults {
			fault := &history.Faults[i]
			if fault.Machine == machine && fault.Until == 0 && (kind == allFaults || fault.Kind == kind) {
				fault.Until = r.now()
			}
		}
	})
}
