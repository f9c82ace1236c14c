package decision

import (
	"slices"
	"time"
)

// usableDedupWindow is the part of a class's deduplication window within which a job may be sent again. The
// remaining part is for the repeat to reach its worker.
const usableDedupWindow = 0.7

// restrictsWorkers reports whether the class is limited to some kinds or zones of workers.
func (c *ClassSettings) restrictsWorkers() bool {
	restrictsKinds := c.WorkerKind >= 0 || len(c.AllowedKinds) > 0
	return restrictsKinds || len(c.AllowedZones) > 0
}

// permits reports whether the placement rules of the class allow a worker. A class with such rules never goes
// to a worker of unknown kind or zone.
func (c *ClassSettings) permits(worker *workerState) bool {
	if !c.restrictsWorkers() {
		return true
	}
	if worker.unknownPlacement {
		return false
	}
	isNeededKind := c.WorkerKind < 0 || c.WorkerKind == worker.Kind
	isAllowedKind := len(c.AllowedKinds) == 0 || slices.Contains(c.AllowedKinds, worker.Kind)
	isAllowedZone := len(c.AllowedZones) == 0 || slices.Contains(c.AllowedZones, worker.Zone)
	return isNeededKind && isAllowedKind && isAllowedZone
}

// retriesAnywhere reports whether a job of the class may be retried at any worker, regardless of the outcomes
// of its attempts.
func (c *ClassSettings) retriesAnywhere() bool {
	dropsAllRepeats := c.Idempotency == Deduplicated && c.DedupScope == DedupByAll
	return c.Idempotency == Idempotent || dropsAllRepeats
}

// dropsRepeat reports whether a worker would drop a repeat of an attempt that may have run. The worker has to
// be in the same deduplication scope, and the window, which counts from the send of the attempt, must not be
// nearly over.
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

// sendGate enforces the rules of the deployment for attempts. Every send passes through it.
type sendGate struct {
	settings  *Settings
	slowStart slowStart
	budget    *slowStartBudget
}

// allows reports whether a job may be sent to a worker now. For a warming-up worker it may make a random draw
// for a permit.
func (g *sendGate) allows(worker *workerState, job *jobState, now time.Duration) bool {
	if worker.State != Ready || !g.allowsAttempt(job, now) {
		return false
	}
	if !g.settings.Classes[job.Class].permits(worker) || !g.allowsRetryAt(worker, job, now) {
		return false
	}
	return g.slowStart.isWarm(worker, now) || g.budget.allows(worker, job, now)
}

// allowsAttempt reports whether a job may have another attempt at all. It must be before the deadline and
// have fewer than the stated number of attempts. Parallel attempts need the setting for them, and a job that
// is not idempotent gets another attempt only if no earlier one may have run.
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

// allowsRetryAt reports whether the earlier attempts of a job allow a retry at a worker. The worker must not
// have had an attempt of the job. If workers deduplicate within a scope, it must be in the scope of all
// attempts that may have run.
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

// allowedWorkers returns the workers that a job may be sent to by its class and its earlier attempts. The
// result may be the given slice, which is not modified.
func (g *sendGate) allowedWorkers(workers []*workerState, job *jobState, now time.Duration) []*workerState {
	class := &g.settings.Classes[job.Class]
	if !class.restrictsWorkers() && len(job.attempts) == 0 {
		return workers
	}
	return slices.DeleteFunc(slices.Clone(workers), func(worker *workerState) bool {
		return !class.permits(worker) || !g.allowsRetryAt(worker, job, now)
	})
}
