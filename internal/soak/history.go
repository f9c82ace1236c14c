package soak

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Attempt is a client's try to hand a message in. Each try has a request ID of its own and counts as a message if it was
// accepted. All times are since the beginning of the plan.
type Attempt struct {
	RequestID  string        `json:"request-id"`
	MessageID  string        `json:"message-id"`
	Front      string        `json:"front"`
	Route      RouteName     `json:"route"`
	OrderKey   []byte        `json:"order-key,omitempty"`
	Path       string        `json:"path"`
	SentAt     time.Duration `json:"sent-at-ns"`
	AnsweredAt time.Duration `json:"answered-at-ns"`
	Status     int           `json:"status"` // 0 without an answer
	Delay      time.Duration `json:"delay-ns"`
	BodyHash   uint64        `json:"body-hash"`
}

// accepted reports whether the message is the system's to keep.
func (a *Attempt) accepted() bool { return a.Status == statusAccepted }

// Run is a run of a message at a worker.
type Run struct {
	RequestID  string        `json:"request-id"`
	Worker     string        `json:"worker"`
	BeganAt    time.Duration `json:"began-at-ns"`
	AnsweredAt time.Duration `json:"answered-at-ns"` // when the whole answer was written; 0 if it was not
	Limit      time.Duration `json:"limit-ns"`       // the time that the caller gave the run
	Status     int           `json:"status"`         // of the answer; 0 if it was not written
	Stamp      string        `json:"stamp,omitempty"`
	OrderKey   []byte        `json:"order-key,omitempty"`
	BodyHash   uint64        `json:"body-hash"`
}

// Fault is a trouble as it was played.
type Fault struct {
	Trouble
	From  time.Duration `json:"from-ns"`
	Until time.Duration `json:"until-ns"`
}

// FinalState is what a front said of a message at the end.
type FinalState struct {
	RequestID  string `json:"request-id"`
	Status     int    `json:"status"`
	State      string `json:"state"`
	Stamp      string `json:"stamp"`
	BodyStatus int    `json:"body-status"` // 0 if the body was not asked for
	BodyHash   uint64 `json:"body-hash"`
}

// Exit is the end of a process that nobody had asked for.
type Exit struct {
	Machine string        `json:"machine"`
	At      time.Duration `json:"at-ns"`
	Reason  string        `json:"reason"`
}

// History is what clients, workers and the operator saw in a play.
type History struct {
	Plan     *Plan         `json:"plan"`
	Attempts []Attempt     `json:"attempts"`
	Runs     []Run         `json:"runs"`
	Faults   []Fault       `json:"faults"`
	Exits    []Exit        `json:"exits"`
	States   []FinalState  `json:"states"`
	Limits   []Limit       `json:"limits"`
	End      time.Duration `json:"end-ns"`
}

// Limit is a span in which a rate limit was certainly in force.
type Limit struct {
	Service   string        `json:"service"`
	PerSecond float64       `json:"per-s"`
	From      time.Duration `json:"from-ns"`
	Until     time.Duration `json:"until-ns"`
}

// Write writes a history to a file.
func (h *History) Write(path string) error {
	data, err := json.Marshal(h)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.WriteFile(path, data, 0o644))
}

// recorder collects a history. It is safe for concurrent use.
type recorder struct {
	started time.Time

	mutex   sync.Mutex
	history History
}

func newRecorder(plan *Plan) *recorder {
	return &recorder{started: time.Now(), history: History{Plan: plan}}
}

// begin sets the beginning of the plan to now.
func (r *recorder) begin() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.started = time.Now()
}

// now returns the time since the beginning of the plan.
func (r *recorder) now() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Since(r.started)
}

// write changes the history.
func (r *recorder) write(change func(history *History)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(&r.history)
}

// beginRun adds a run and returns its index.
func (r *recorder) beginRun(run Run) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	run.BeganAt = time.Since(r.started)
	r.history.Runs = append(r.history.Runs, run)
	return len(r.history.Runs) - 1
}

// endRun records the answer of a run.
func (r *recorder) endRun(index, status int, stamp string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	run := &r.history.Runs[index]
	run.AnsweredAt, run.Status, run.Stamp = time.Since(r.started), status, stamp
}
