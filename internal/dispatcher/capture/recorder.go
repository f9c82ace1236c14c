// Package capture records the requests and attempts of a dispatcher to files and reads them back. It implements the
// file format of docs/capture-format.md: a capture is a pair of Parquet files, one with a row per client request and
// one with a row per attempt, and a manifest in the same directory with the length and checksum of each file.
//
// Recorder observes the events of the dispatcher's core. The core's goroutine builds complete rows and sends them to
// two bounded channels without blocking. Only the goroutine of Recorder.Run accesses files. Recording must never block
// the core or fail a job: if a channel or the disk is full, the row is dropped and counted. A file that no manifest
// lists is incomplete.
//
// Start reading at Recorder.Observe for what is recorded, at writer.go for when it is written, and at Read for reading
// captures.
package capture

import (
	"context"
	"fmt"
	"math"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// Values of Request.Outcome. They are part of the file format.
const (
	OutcomeServed     = "served"
	OutcomeRejected   = "refused"
	OutcomeFailed     = "failed"
	OutcomeAbandoned  = "left"
	OutcomeOverflowed = "turned"
)

// attemptOpen is the value of Attempt.Outcome for an attempt that was in flight when the dispatcher stopped.
const attemptOpen = "open"

// notSeen is the value of a time column if the event did not happen.
const notSeen = -1

var answerNames = map[dispatch.AnswerKind]string{
	dispatch.Served:   OutcomeServed,
	dispatch.Rejected: OutcomeRejected,
	dispatch.Failed:   OutcomeFailed,
}

// openJob is an accepted job that has not been answered.
type openJob struct {
	job      int64 // Request.Job
	arrived  int64 // Unix time in nanoseconds
	attempts int32
}

// openAttempt is an attempt that is in flight.
type openAttempt struct {
	job     int64 // Attempt.Job
	sent    int64 // Unix time in nanoseconds
	started int64 // nanoseconds after sent; notSeen until a start is reported
}

// Recorder is an observer that writes the core's events to files. The core calls Observe. Run needs a goroutine of its
// own and returns after Close.
type Recorder struct {
	node        *config.Node
	settings    *config.Capture
	counters    *dispatch.Counters
	clockOrigin time.Time // wall clock at the core's time 0
	bootNanos   int64     // the dispatcher's start, Unix time in nanoseconds
	wallClock   func() time.Time
	createFile  func(name string) (outputFile, error) // replaced by tests to inject disk faults

	// Used only by the core's goroutine.
	acceptedJobs int64
	jobs         map[*dispatch.Job]openJob
	attempts     map[*dispatch.Attempt]openAttempt

	requestRows chan Request
	attemptRows chan Attempt
	droppedRows atomic.Int64 // since the last manifest
	stop        chan struct{}
	stopOnce    sync.Once
	done        chan struct{}
}

// NewRecorder returns a recorder for a dispatcher. clock returns the core's time and the wall-clock time of the same
// instant.
func NewRecorder(n *config.Node, counters *dispatch.Counters, clock func() (time.Duration, time.Time)) *Recorder {
	coreTime, now := clock()
	return &Recorder{
		node:        n,
		settings:    n.Capture,
		counters:    counters,
		clockOrigin: now.Add(-coreTime),
		bootNanos:   now.UnixNano(),
		wallClock:   time.Now,
		createFile: func(name string) (outputFile, error) {
			return os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_EXCL, 0o640)
		},
		jobs:        map[*dispatch.Job]openJob{},
		attempts:    map[*dispatch.Attempt]openAttempt{},
		requestRows: make(chan Request, n.Limits.CaptureQueueRows),
		attemptRows: make(chan Attempt, n.Limits.CaptureQueueRows),
		stop:        make(chan struct{}),
		done:        make(chan struct{}),
	}
}

// unixNanos converts the core's time to Unix time in nanoseconds. The result ignores steps of the wall clock since the
// start.
func (r *Recorder) unixNanos(at time.Duration) int64 { return r.clockOrigin.UnixNano() + int64(at) }

// Observe converts the core's events to rows. It never blocks.
func (r *Recorder) Observe(event *dispatch.Event) {
	switch event.Kind {
	case dispatch.JobAccepted:
		r.acceptedJobs++
		r.jobs[event.Job] = openJob{job: r.acceptedJobs, arrived: r.unixNanos(event.At)}
	case dispatch.JobOverflowed:
		// A front's goroutine delivers this event, so this case must not access the fields of the core's goroutine.
		r.recordRequest(event.Job, openJob{arrived: r.unixNanos(event.At)}, event.At, OutcomeOverflowed, r.node.Limits.RetryAfter)
	case dispatch.AttemptSent:
		r.attemptSent(event)
	case dispatch.AttemptStarted:
		if open, ok := r.attempts[event.Attempt]; ok && open.started < 0 {
			open.started = r.unixNanos(event.At) - open.sent
			r.attempts[event.Attempt] = open
		}
	case dispatch.AttemptEnded:
		if open, ok := r.attempts[event.Attempt]; ok {
			delete(r.attempts, event.Attempt)
			r.recordAttempt(event.Attempt, open, r.unixNanos(event.At)-open.sent, dispatch.OutcomeName(event.Outcome), &event.Load)
		}
	case dispatch.JobAnswered, dispatch.JobAbandoned:
		r.jobEnded(event)
	}
}

func (r *Recorder) attemptSent(event *dispatch.Event) {
	open, ok := r.jobs[event.Job]
	if !ok {
		return
	}
	open.attempts++
	r.jobs[event.Job] = open
	r.attempts[event.Attempt] = openAttempt{job: open.job, sent: r.unixNanos(event.At), started: notSeen}
}

func (r *Recorder) jobEnded(event *dispatch.Event) {
	open, ok := r.jobs[event.Job]
	if !ok {
		return
	}
	delete(r.jobs, event.Job)
	outcome := OutcomeAbandoned
	if event.Kind == dispatch.JobAnswered {
		outcome = answerNames[event.Answer.Kind]
	}
	r.recordRequest(event.Job, open, event.At, outcome, event.Answer.RetryAfter)
}

// recordRequest sends the row of a request that ended at the core's time at. It drops the row if the channel is full.
func (r *Recorder) recordRequest(job *dispatch.Job, open openJob, at time.Duration, outcome string, retryAfter time.Duration) {
	row := Request{
		Node:       r.node.Name,
		Boot:       r.bootNanos,
		Job:        open.job,
		Arrived:    open.arrived,
		Class:      nameAt(r.node.Classes, job.Class),
		Tenant:     nameAt(r.node.Tenants, job.Tenant),
		Retry:      job.Retry,
		Slots:      job.Slots,
		Memory:     job.Memory,
		Timeout:    int64(job.Timeout),
		Outcome:    outcome,
		Duration:   r.unixNanos(at) - open.arrived,
		RetryAfter: int64(retryAfter),
		Attempts:   open.attempts,
	}
	row.ClockOffset = r.wallClock().UnixNano() - r.unixNanos(at)
	if job.AffinityKey != 0 {
		// 0 means no key, so a hash of 0 is stored as 1.
		row.AffinityHash = max(xxhash.Sum64String(r.settings.Salt+"/"+strconv.FormatUint(job.AffinityKey, 16)), 1)
	}
	select {
	case r.requestRows <- row:
	default:
		r.countDropped(1)
	}
}

// recordAttempt sends the row of an attempt that ended duration nanoseconds after it was sent. It drops the row if the
// channel is full.
func (r *Recorder) recordAttempt(attempt *dispatch.Attempt, open openAttempt, duration int64, outcome string, load *decision.Load) {
	layout := &r.node.Module.Report
	row := Attempt{
		Node:      r.node.Name,
		Boot:      r.bootNanos,
		Job:       open.job,
		Attempt:   int32(attempt.Number()),
		Class:     nameAt(r.node.Classes, attempt.Job.Class),
		Worker:    attempt.Worker.ID,
		Kind:      attempt.Worker.Kind,
		Zone:      attempt.Worker.Zone,
		Sent:      open.sent,
		Started:   open.started,
		Ended:     duration,
		Outcome:   outcome,
		FreeSlots: loadValue(load, layout.FreeSlots),
		Queue:     loadValue(load, layout.Queue),
		Errors:    loadValue(load, layout.Errors),
		Rate:      loadValue(load, r.node.LoadFieldIndex("rate")),
	}
	select {
	case r.attemptRows <- row:
	default:
		r.countDropped(1)
	}
}

// nameAt returns the name at an index, or "" if the index is out of range.
func nameAt(names []string, index int) string {
	if index < 0 || index >= len(names) {
		return ""
	}
	return names[index]
}

// loadValue returns the value at an index of a load report, or NaN if the report does not have it.
func loadValue(load *decision.Load, index int) float64 {
	if index < 0 || index >= min(load.Count, len(load.Values)) {
		return math.NaN()
	}
	return load.Values[index]
}

// countDropped counts dropped rows for the next manifest and for the dispatcher's counters.
func (r *Recorder) countDropped(rows int) {
	r.droppedRows.Add(int64(rows))
	r.counters.CaptureDropped.Add(int64(rows))
}

// Close records the attempts that are still in flight, and waits until Run has written all rows and closed the files.
// The core must have stopped before Close is called.
func (r *Recorder) Close(ctx context.Context) error {
	r.stopOnce.Do(func() {
		for attempt, open := range r.attempts {
			r.recordAttempt(attempt, open, notSeen, attemptOpen, &decision.Load{})
		}
		close(r.stop)
	})
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("capture: closed before the remaining rows were written: %w", ctx.Err())
	}
}
