package decision

import (
	"slices"
	"time"
)

// usableDedupWindow is the part of a class's deduplication window within which a job is sent again: the
// repeat must reach its worker before the window ends.
const usableDedupWindow = 0.7

// restrictsWorkers tells whether only some workers are open to the class.
func (c *ClassSettings) restrictsWorkers() bool {
	restrictsKinds := c.WorkerKind >= 0 || len(c.AllowedKinds) > 0
	return restrictsKinds || len(c.AllowedZones) > 0
}

// permits keeps placement: a class that restricts workers goes to no other one, and to none of unknown
// kind or zone.
func (c *ClassSettings) permits(worker *workerState) bool {
	if !c.restrictsWorkers() {
		return true
	}
	if worker.unknownPlace {
		return false
	}
	isNeededKind := c.WorkerKind < 0 || c.WorkerKind == worker.Kind
	isAllowedKind := len(c.AllowedKinds) == 0 || slices.Contains(c.AllowedKinds, worker.Kind)
	isAllowedZone := len(c.AllowedZones) == 0 || slices.Contains(c.AllowedZones, worker.Zone)
	return isNeededKind && isAllowedKind && isAllowedZone
}

// retriesAnywhere tells whether a job of the class may be tried again at any worker, whatever became
// of its attempts.
func (c *ClassSettings) retriesAnywhere() bool {
	dropsAllRepeats := c.Idempotency == Deduplicated && c.DedupScope == DedupByAll
	return c.Idempotency == Idempotent || dropsAllRepeats
}

// dropsRepeat tells whether a worker would drop a repeat of an attempt that may have run: it is in the same
// scope, and the class's window, which counts from the send of that attempt, has not nearly ended.
func (c *ClassSettings) dropsRepeat(attempt *attemptState, worker *workerState, now time.Duration) bool {
	if float64(now-attempt.sentAt) > usableDedupWindow*float64(c.DedupWindow) {
		return false
	}
	switch c.DedupScope {
	case DedupByZone:
		return attempt.worker.Zone == worker.Zone
	case DedupByCell:
		return attempt.worker.Cell == worker.Cell
	default:
		return true
	}
}

// sendGate holds the rules of the deployment for attempts: none goes out that it does not let through.
type sendGate struct {
	settings  *Settings
	slowStart slowStart
	budget    *slowStartBudget
}

// allows tells whether a job may be sent to a worker now. For a warming worker that may draw whose
// turn it is.
func (g *sendGate) allows(worker *workerState, job *jobState, now time.Duration) bool {
	if worker.State != Ready || !g.allowsAttempt(job, now) {
		return false
	}
	if !g.settings.Classes[job.Class].permits(worker) || !g.allowsRetryAt(worker, job, now) {
		return false
	}
	return g.slowStart.isWarm(worker, now) || g.budget.allows(worker, job, now)
}

// allowsAttempt tells whether a job may have another attempt at all: before its deadline, up to the
// stated number, beside others only where that is allowed, and if it is not idempotent only while no
// attempt may have run.
func (g *sendGate) allowsAttempt(job *jobState, now time.Duration) bool {
	if job.ended || now >= job.Deadline {
		return false
	}
	if g.settings.MaxAttempts > 0 && len(job.attempts) >= g.settings.MaxAttempts {
		return false
	}
	runsOnce := g.settings.Classes[job.Class].Idempotency == NotIdempotent
	for _, attempt := range job.attempts {
		if !attempt.done && !g.settings.ParallelAttempts {
			return false
		}
		if !attempt.neverRan && runsOnce {
			return false
		}
	}
	return true
}

// allowsRetryAt tells whether the attempts so far leave a worker to a job: it has had none of them, and if
// repeats are dropped in a scope it is in that of all that may have run.
func (g *sendGate) allowsRetryAt(worker *workerState, job *jobState, now time.Duration) bool {
	class := &g.settings.Classes[job.Class]
	for _, attempt := range job.attempts {
		if attempt.worker == worker {
			return false
		}
		mustBeDropped := !attempt.neverRan && class.Idempotency == Deduplicated
		if mustBeDropped && !class.dropsRepeat(attempt, worker, now) {
			return false
		}
	}
	return true
}

// allowedWorkers returns those of the workers that a job may be sent to by its class and its attempts so
// far. The result may be the given slice, which is never changed.
func (g *sendGate) allowedWorkers(workers []*workerState, job *jobState, now time.Duration) []*workerState {
	class := &g.settings.Classes[job.Class]
	if !class.restrictsWorkers() && len(job.attempts) == 0 {
		return workers
	}
	return slices.DeleteFunc(slices.Clone(workers), func(worker *workerState) bool {
		return !class.permits(worker) || !g.allowsRetryAt(worker, job, now)
	})
}
