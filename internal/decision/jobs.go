package decision

import (
	"slices"
	"time"
)

// jobState is a job that has no final answer yet, or that still has attempts in flight.
type jobState struct {
	Event
	dueAt        time.Duration // latest start for an answer in time, not counting the job's own run time
	pendingUntil time.Duration // the job is not kept pending after this time
	attempts     []*attemptState
	ended        bool // the job needs no further answer
	pending      bool // the job waits for a worker and has no attempt in flight
	overQuota    bool // the job exceeds its tenant's share
}

// inFlight reports whether the job has an attempt without an outcome.
func (j *jobState) inFlight() bool {
	return slices.ContainsFunc(j.attempts, func(attempt *attemptState) bool { return !attempt.done })
}

// mayHaveRun reports whether an attempt may have run or may be running.
func (j *jobState) mayHaveRun() bool {
	return slices.ContainsFunc(j.attempts, func(attempt *attemptState) bool { return !attempt.neverRan })
}

// attemptState is one send of a job to a worker.
type attemptState struct {
	worker    *workerState
	sentAt    time.Duration
	startedAt time.Duration // 0 until the worker reports the start
	// expectedStartSeconds is the age from which an attempt that has not started counts as waiting for a slot.
	expectedStartSeconds float64
	// observedWaitSeconds is the age at which its waiting was last added to the load estimate.
	observedWaitSeconds float64
	// startDelay points to the estimate that the start updates. It is chosen by the state of the connection at
	// the send.
	startDelay *float64
	done       bool
	neverRan   bool // proved by its outcome
	cancelled  bool
}

// jobTable holds the open jobs.
type jobTable struct {
	byID map[JobID]*jobState
	// open is in the order of arrival. Jobs that have left byID are removed from it at the next check.
	open []*jobState
}

func newJobTable() *jobTable { return &jobTable{byID: make(map[JobID]*jobState)} }

// openAttempt returns an attempt of a job if it exists and has no outcome yet, and nil otherwise.
func (t *jobTable) openAttempt(job *jobState, number int) *attemptState {
	if job == nil {
		return nil
	}
	if number < 0 || number >= len(job.attempts) {
		return nil
	}
	attempt := job.attempts[number]
	if attempt.done {
		return nil
	}
	return attempt
}

// removeEnded removes the jobs that have left byID from the open ones.
func (t *jobTable) removeEnded() {
	t.open = slices.DeleteFunc(t.open, func(job *jobState) bool { return t.byID[job.Job] != job })
}
