package simcluster

import (
	"net/http"
	"sync"
	"time"
)

// History is everything that the stand-ins around a cluster have seen. All times count from the cluster's start. The
// auditors judge a history alone.
type History struct {
	Tries     []Try
	Arrivals  []Arrival
	Orders    []Order
	Reads     []ConfigurationRead
	Answers   []StateAnswer
	Troubles  []Trouble
	Starts    []Start
	OwnEnds   []OwnEnd
	Departing []Departure
	Services  []Service
	End       time.Duration
}

// Try is one request of a client, which may be a retry of an earlier one.
type Try struct {
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
	Status     int // 0 where there was no answer
	MessageID  string
}

// Accepted tells whether the message has become the system's to keep.
func (t *Try) Accepted() bool { return t.Status == http.StatusAccepted }

// Refused tells whether the answer promises that the message never runs.
func (t *Try) Refused() bool {
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
	NotRun    Result = "not run"   // turned away
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
	RequestID string
	Method    string
	Path      string // with the query
	Body      string
	Service   string
	Worker    string // the incarnation's id
	Sender    string // the machine's name
	Life      int    // which process of the sender's machine, from 1
	Deadline  time.Duration
	At        time.Duration
	EndedAt   time.Duration
	Result    Result
	Status    int
	Stamp     string
	Unread    bool // the connection had ended before the answer
}

// Order is a configuration that an operator sent.
type Order struct {
	Operator      string
	Base          uint64
	Configuration Configuration // the whole configuration that the order leads to
	SentAt        time.Duration
	AnsweredAt    time.Duration
	Status        int // of the clear answer; 0 where none came
}

// Acknowledged tells whether the configuration was taken.
func (o *Order) Acknowledged() bool { return o.Status == http.StatusOK }

// ConfigurationRead is the configuration as read back.
type ConfigurationRead struct {
	From          time.Duration // when it was first asked for
	At            time.Duration
	Configuration Configuration
}

// StateAnswer is what the system says of an accepted message at the end.
type StateAnswer struct {
	RequestID  string
	Status     int // 0 where no front gave an answer
	State      string
	Stamp      string
	BodyStatus int
	Body       string
}

// Trouble is something done to a machine.
type Trouble struct {
	Machine string
	Kind    string
	Planned bool
	From    time.Duration
	Until   time.Duration // 0 while it lasts
}

// Start is the start of a process.
type Start struct {
	Machine string
	At      time.Duration
}

// OwnEnd is a process that ended although nobody had told it to.
type OwnEnd struct {
	Machine string
	At      time.Duration
	Reason  string
}

// Departure is a worker that the platform's list shows as draining, or no longer shows.
type Departure struct {
	Worker  string
	ShownAt time.Duration
}

// recorder writes a history.
type recorder struct {
	mutex   sync.Mutex
	started time.Time
	history History
	lives   map[string]int
}

func newRecorder() *recorder {
	return &recorder{started: time.Now(), lives: make(map[string]int)}
}

func (r *recorder) now() time.Duration { return time.Since(r.started) }

// write changes the history.
func (r *recorder) write(change func(history *History)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(&r.history)
}

// addArrival notes an arrival and returns its position, for its end.
func (r *recorder) addArrival(arrival Arrival) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	arrival.At = r.now()
	arrival.Life = r.lives[arrival.Sender]
	r.history.Arrivals = append(r.history.Arrivals, arrival)
	return len(r.history.Arrivals) - 1
}

// endArrival notes what came of an arrival, and whether its connection had ended before.
func (r *recorder) endArrival(position int, end outcome, unread bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	arrival := &r.history.Arrivals[position]
	arrival.EndedAt = r.now()
	arrival.Result, arrival.Status, arrival.Stamp = end.result, end.status, end.stamp
	arrival.Unread = unread
}

func (r *recorder) addStart(machine string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lives[machine]++
	r.history.Starts = append(r.history.Starts, Start{Machine: machine, At: r.now()})
}

// beginTrouble notes something that is done to a machine.
func (r *recorder) beginTrouble(machine, kind string, planned bool) {
	r.write(func(history *History) {
		history.Troubles = append(history.Troubles, Trouble{Machine: machine, Kind: kind, Planned: planned, From: r.now()})
	})
}

// endTroubles ends what was done to a machine; an empty kind stands for all kinds.
func (r *recorder) endTroubles(machine, kind string) {
	r.write(func(history *History) {
		for i := range history.Troubles {
			trouble := &history.Troubles[i]
			if trouble.Machine == machine && trouble.Until == 0 && (kind == "" || trouble.Kind == kind) {
				trouble.Until = r.now()
			}
		}
	})
}
