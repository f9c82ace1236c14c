// Package capture records what a dispatcher accepts, sends and answers, and reads such records back. Its one job is the
// file format of docs/capture-format.md: a capture is a pair of Parquet files, one with a row per client request and one
// with a row per attempt, and a manifest beside them that seals both with lengths and checksums.
//
// Recorder is an observer of the dispatcher's core. The core's goroutine builds complete rows and offers them to two bounded
// channels; the goroutine of Recorder.Run alone touches files. Recording must never block the core or cost a job: a row
// that finds no room in a channel or on the disk is counted and left out. A file without its manifest does not count as
// closed.
//
// Start reading at Recorder.Observe for what is recorded, at writer.go for when it is written, and at Read for the way
// back.
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

// attemptOpen is the value of the column outcome of an attempt that was out when the dispatcher ended.
const attemptOpen = "open"

// notSeen stands in columns of time for what never happened.
const notSeen = -1

var answerNames = map[dispatch.AnswerKind]string{
	dispatch.Served:   OutcomeServed,
	dispatch.Rejected: OutcomeRejected,
	dispatch.Failed:   OutcomeFailed,
}

// openJob is a job without an answer.
type openJob struct {
	job      int64 // its number since the dispatcher's start
	arrived  int64 // Unix time in nanoseconds
	attempts int32
}

// openAttempt is an attempt without an outcome.
type openAttempt struct {
	job     int64
	sent    int64 // Unix time in nanoseconds
	started int64 // nanoseconds after sent, or notSeen
}

// Recorder is an observer of the core that writes what it sees. Observe is called by the core, Run has a goroutine of its
// own, and Close ends both.
type Recorder struct {
	node        *config.Node
	settings    *config.Capture
	counters    *dispatch.Counters
	clockOrigin time.Time // wall clock at the core's time zero
	bootNanos   int64     // the dispatcher's start, Unix time in nanoseconds
	wallClock   func() time.Time
	createFile  func(name string) (outputFile, error) // tests replace it by files that fail

	// Owned by the core's goroutine.
	acceptedJobs int64
	jobs         map[*dispatch.Job]openJob
	attempts     map[*dispatch.Attempt]openAttempt

	requestRows chan Request
	attemptRows chan Attempt
	droppedRows atomic.Int64 // since the newest manifest
	stop        chan struct{}
	stopOnce    sync.Once
	done        chan struct{}
}

// NewRecorder returns a recorder for a dispatcher. clock gives the core's time and the wall clock at the same moment.
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

// unixNanos converts the core's time to Unix time. Steps of the wall clock since the start do not show in it.
func (r *Recorder) unixNanos(at time.Duration) int64 { return r.clockOrigin.UnixNano() + int64(at) }

// Observe makes rows of the core's events. It never blocks.
func (r *Recorder) Observe(event *dispatch.Event) {
	switch event.Kind {
	case dispatch.JobAccepted:
		r.acceptedJobs++
		r.jobs[event.Job] = openJob{job: r.acceptedJobs, arrived: r.unixNanos(event.At)}
	case dispatch.JobOverflowed:
		// This event comes on a front's goroutine, so nothing that the core's goroutine owns may be touched.
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

// recordRequest offers the row of a request that ended at the core's time at.
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
		// Zero means no key, so a hash that is zero by chance becomes one.
		row.AffinityHash = max(xxhash.Sum64String(r.settings.Salt+"/"+strconv.FormatUint(job.AffinityKey, 16)), 1)
	}
	select {
	case r.requestRows <- row:
	default:
		r.countDropped(1)
	}
}

// recordAttempt offers the row of an attempt that ended duration nanoseconds after it was sent.
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

// nameAt returns the name at an index of the settings, or nothing for an index that they do not have.
func nameAt(names []string, index int) string {
	if index < 0 || index >= len(names) {
		return ""
	}
	return names[index]
}

// loadValue returns a value of a load report, or NaN where the report lacks it.
func loadValue(load *decision.Load, index int) float64 {
	if index < 0 || index >= min(load.Count, len(load.Values)) {
		return math.NaN()
	}
	return load.Values[index]
}

func (r *Recorder) countDropped(rows int) {
	r.droppedRows.Add(int64(rows))
	r.counters.CaptureDropped.Add(int64(rows))
}

// Close records the attempts that are still out, has all rows written and closes the files. The core must have ended.
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
		return fmt.Errorf("capture: the last rows were not written in time: %w", ctx.Err())
	}
}
