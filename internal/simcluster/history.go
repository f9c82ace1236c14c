package simcluster

import (
	"net/http"
	"sync"
	"time"
)

// History is everything that the simulated clients, workers, operators and platform have observed. All times count from
// the start of the cluster. Audit uses only a history.
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

// Attempt is one request by which a client submits a message. It may be a retry of an earlier one.
type Attempt struct {
	RequestID  string
	Front      string // name of the machine
	Route      string
	Path       string // with the query
	OrderKey   string
	Body       string
	Delay      time.Duration
	FirstSent  time.Duration // when the client sent the first attempt for this message
	SentAt     time.Duration
	AnsweredAt time.Duration
	Status     int // 0 if there was no response, statusNotSent if there was no connection
	MessageID  string
}

// Accepted reports whether the response promises that the message will be delivered.
func (a *Attempt) Accepted() bool { return a.Status == http.StatusAccepted }

// Refused reports whether the response promises that the message will never run.
func (a *Attempt) Refused() bool {
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Result is what a worker did with a delivery.
type Result string

// The results. The worker began to run the message in all cases except NotRun and Repeated.
const (
	NotRun    Result = "not run"   // the worker rejected the delivery
	Repeated  Result = "repeated"  // the worker deduplicated the message and repeated its first success
	Succeeded Result = "succeeded" // answered 200 with a stamp
	Failed    Result = "failed"    // answered 500
	Rejected  Result = "rejected"  // answered 422
	Overdue   Result = "overdue"   // the deadline passed before the run was complete
	Broken    Result = "broken"    // the connection ended before the run was complete
	Running   Result = "running"   // has not ended yet
)

// Ran reports whether the worker began to run the message.
func (r Result) Ran() bool { return r != NotRun && r != Repeated }

// Arrival is a delivery as a worker observed it.
type Arrival struct {
	RequestID   string
	Method      string
	Path        string // with the query
	Body        string
	Service     string
	Worker      string // ID of the worker's incarnation
	Sender      string // name of the machine
	Incarnation int    // of the sender: number of its machine's process, from 1
	Deadline    time.Duration
	At          time.Duration
	EndedAt     time.Duration
	Result      Result
	Status      int
	Stamp       string
	Unread      bool // the connection had ended before the response
}

// ConfigurationChange is a change of the configuration that an operator sent.
type ConfigurationChange struct {
	Operator      string
	Base          uint64
	Configuration Configuration // the complete configuration after the change
	SentAt        time.Duration
	AnsweredAt    time.Duration
	Status        int // of the conclusive response; 0 if there was none
}

// Acknowledged reports whether the system accepted the change.
func (c *ConfigurationChange) Acknowledged() bool { return c.Status == http.StatusOK }

// ConfigurationRead is the configuration as an operator has read it.
type ConfigurationRead struct {
	From          time.Duration // when the read began
	At            time.Duration
	Configuration Configuration
}

// StateResponse is what the system reports about an accepted message when the cluster finishes.
type StateResponse struct {
	RequestID  string
	Status     int // 0 if no front responded
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
	Until   time.Duration // 0 while the fault is in effect
}

// Start is the start of a process.
type Start struct {
	Machine string
	At      time.Duration
}

// UnexpectedExit is a process that ended although nothing had asked it to stop.
type UnexpectedExit struct {
	Machine string
	At      time.Duration
	Reason  string
}

// Departure is a worker that the platform's list shows as draining, or no longer contains.
type Departure struct {
	Worker  string
	ShownAt time.Duration
}

// recorder records a history. It is safe for concurrent use.
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

// write changes the history while it holds the mutex.
func (r *recorder) write(change func(history *History)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(&r.history)
}

// addArrival records an arrival and returns its position in the history, for endArrival.
func (r *recorder) addArrival(arrival Arrival) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	arrival.At = r.now()
	arrival.Incarnation = r.incarnations[arrival.Sender]
	r.history.Arrivals = append(r.history.Arrivals, arrival)
	return len(r.history.Arrivals) - 1
}

// endArrival records the result of an arrival, and whether the connection had ended before the response.
func (r *recorder) endArrival(position int, end outcome, unread bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	arrival := &r.history.Arrivals[position]
	arrival.EndedAt = r.now()
	arrival.Result, arrival.Status, arrival.Stamp = end.result, end.status, end.stamp
	arrival.Unread = unread
}

// addStart records the start of a process, a new incarnation of its machine.
func (r *recorder) addStart(machine string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.incarnations[machine]++
	r.history.Starts = append(r.history.Starts, Start{Machine: machine, At: r.now()})
}

// beginFault records the beginning of a fault. A planned fault is an operation such as a restart.
func (r *recorder) beginFault(machine string, kind FaultKind, planned bool) {
	r.write(func(history *History) {
		history.Faults = append(history.Faults, Fault{Machine: machine, Kind: kind, Planned: planned, From: r.now()})
	})
}

// endFaults records the end of a machine's faults of one kind, or of all of them with allFaults.
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
