package decision

import (
	"math/rand/v2"
	"time"
)

// unhealthyRetryInterval is the time between trial jobs at an unhealthy worker.
const unhealthyRetryInterval = time.Second

// errorWeight is the weight of an outcome in a worker's error rate. The rate covers the last few outcomes.
const errorWeight = 0.4

// errorAvoidanceFactor is multiplied by the error rate of a worker to get the probability that a job whose
// failure would be final avoids it.
const errorAvoidanceFactor = 4

// toleratedSlowness is the multiple of the run time usual for its kind above which a worker gets a smaller
// part of the jobs.
const toleratedSlowness = 2

// slownessSampleWeight is the weight of a run time in the slowness of its worker. It exceeds sampleWeight
// because a single worker has fewer samples than its class or kind.
const slownessSampleWeight = 2 * sampleWeight

// backoffGrowth is the ratio of each backoff to the one before it, while the worker gives no answer.
const backoffGrowth = 2

// workerHealth is the health of a worker as observed from its attempts.
type workerHealth struct {
	unhealthy      bool          // silent or unreachable: the worker gets trial jobs only
	retryAt        time.Duration // earliest time of the next trial job at an unhealthy worker
	lastActivityAt time.Duration // when the worker last answered or reported progress

	errorRate   float64       // moving average of the outcomes that were errors
	lastErrorAt time.Duration // when errorRate last rose
	slowness    float64       // run times relative to those usual for the kind

	backoff      time.Duration // duration of the last backoff; 0 after an answer
	backoffUntil time.Duration // no jobs until then: the worker rejected a job or made one wait
}

// observeActivity records that an attempt in flight has answered or reported progress.
func (h *workerHealth) observeActivity(now time.Duration) {
	h.lastActivityAt = now
	h.unhealthy = false
}

// observeOK records an OK answer.
func (h *workerHealth) observeOK(now time.Duration) {
	h.observeActivity(now)
	h.backoff = 0
	h.errorRate *= 1 - errorWeight
}

// observeError records an attempt that failed at the worker.
func (h *workerHealth) observeError(now time.Duration) {
	h.errorRate = min(h.errorRate+errorWeight, 1)
	h.lastErrorAt = now
}

// observeSlowness adds a run time, relative to the expected one, to the slowness of the worker.
func (h *workerHealth) observeSlowness(relative float64) {
	h.slowness += slownessSampleWeight * (relative - h.slowness)
}

// markUnhealthy limits the worker to trial jobs until it shows activity.
func (h *workerHealth) markUnhealthy(now time.Duration) {
	h.unhealthy = true
	h.retryAt = now + unhealthyRetryInterval
}

// backOff stops sends to the worker for longer than the last time, within least and most. The range
// approximates the time in which the worker frees a slot.
func (h *workerHealth) backOff(now, least, most time.Duration) {
	h.backoff = min(max(backoffGrowth*h.backoff, least), most)
	h.backoffUntil = now + h.backoff
}

// healthFilter keeps jobs away from workers that are unhealthy, full, slow or failing.
type healthFilter struct {
	settings *Settings
	random   *rand.Rand
	gate     *sendGate
}

// accepts reports whether a job may go to a worker now, by the health of the worker and by the send gate. It
// makes random draws for a slow, a warming-up and a failing worker, in this order.
func (f *healthFilter) accepts(worker *workerState, job *jobState, now time.Duration) bool {
	if worker.State != Ready || now < worker.backoffUntil {
		return false
	}
	if worker.unhealthy && !f.allowsTrial(worker, job, now) {
		return false
	}
	if !f.allowsSlow(worker) || !f.gate.allows(worker, job, now) {
		return false
	}
	return f.allowsFailing(worker, job, now)
}

// allowsTrial reports whether a job may be the next trial job of an unhealthy worker. Only idempotent jobs
// may.
func (f *healthFilter) allowsTrial(worker *workerState, job *jobState, now time.Duration) bool {
	return now >= worker.retryAt && f.settings.Classes[job.Class].Idempotency == Idempotent
}

// allowsSlow draws whether a job may go to a worker. For a slow worker the probability falls with its
// slowness.
func (f *healthFilter) allowsSlow(worker *workerState) bool {
	return worker.slowness <= toleratedSlowness || f.random.Float64()*worker.slowness <= 1
}

// allowsFailing draws whether a job may go to a worker with recent failures. A job whose failure would be
// final avoids the worker with a probability that grows with the error rate and falls with time.
func (f *healthFilter) allowsFailing(worker *workerState, job *jobState, now time.Duration) bool {
	if worker.errorRate == 0 || f.settings.Classes[job.Class].retriesAnywhere() {
		return true
	}
	avoidance := errorAvoidanceFactor * worker.errorRate * decay(now-worker.lastErrorAt, rateMemory)
	return f.random.Float64() > avoidance
}
