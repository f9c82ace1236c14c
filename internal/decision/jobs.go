package decision

import (
	"slices"
	"time"
)

// jobState is a job that has no final answer yet, or whose attempts are still out.
type jobState struct {
	Event
	dueAt        time.Duration // an attempt that starts later will be late, but for the job's own running time
	pendingUntil time.Duration // waiting longer for a worker is no use
	attempts     []*attemptState
	ended        bool // it needs no answer any more
	pending      bool // it waits for a worker
	overQuota    bool // it is beyond its tenant's share
}

// inFlight tells whether an attempt is out.
func (j *jobState) inFlight() bool {
	return slices.ContainsFunc(j.attempts, func(attempt *attemptState) bool { return !attempt.done })
}

// mayHaveRun tells whether an attempt may have run, or may be running.
func (j *jobState) mayHaveRun() bool {
	return slices.ContainsFunc(j.attempts, func(attempt *attemptState) bool { return !attempt.neverRan })
}

// attemptState is one send of a job to a worker.
type attemptState struct {
	worker    *workerState
	sentAt    time.Duration
	startedAt time.Duration // 0 until the worker has told of the start
	// waitAfterSeconds is the age from which an attempt that has not started waits for a slot.
	waitAfterSeconds float64
	// waitSeenSeconds is the age at which its waiting was last taken into the load estimate.
	waitSeenSeconds float64
	// startDelay is the estimate that its start will change, as the connection was at its send.
	startDelay *float64
	done       bool
	neverRan   bool // proved by its outcome
	cancelled  bool
}

// jobTable holds the jobs that are open.
type jobTable struct {
	byID map[JobID]*jobState
	// open is by arrival; jobs that have left byID leave it at the next check.
	open []*jobState
}

func newJobTable() *jobTable { return &jobTable{byID: make(map[JobID]*jobState)} }

// openAttempt returns an attempt of a job if it is still out.
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

// removeEnded takes jobs that have left byID out of the open ones.
func (t *jobTable) removeEnded() {
	t.open = slices.DeleteFunc(t.open, func(job *jobState) bool { return t.byID[job.Job] != job })
}
