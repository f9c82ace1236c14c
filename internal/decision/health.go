package decision

import (
	"math/rand/v2"
	"time"
)

// unhealthyRetryInterval is the pause between trial jobs at an unhealthy worker.
const unhealthyRetryInterval = time.Second

// errorWeight is the weight of an outcome in a worker's error rate: it tells of the last few.
const errorWeight = 0.4

// errorAversion is how many times a worker's error rate is the chance that a job keeps off it, if its
// failure would be final.
const errorAversion = 4

// acceptedSlowness is how many times its kind's run time a worker may take before it gets a smaller
// part of the jobs.
const acceptedSlowness = 2

// slownessSampleWeight is the weight of a run time in its worker's slowness: one worker has fewer samples
// than its class or kind.
const slownessSampleWeight = 2 * sampleWeight

// backoffGrowth is how many times longer each pause is than the one before it, while no answer comes.
const backoffGrowth = 2

// workerHealth is what attempts tell of a worker's health.
type workerHealth struct {
	unhealthy   bool          // it is silent or unreachable: it gets trial jobs only
	retryAt     time.Duration // when an unhealthy worker may get its next trial job
	lastHeardAt time.Duration // its last sign of life

	errorRate   float64       // part of the latest outcomes that were errors
	lastErrorAt time.Duration // when errorRate last rose
	slowness    float64       // run times relative to those usual for its kind

	backoff      time.Duration // its last pause; 0 after an answer
	backoffUntil time.Duration // it has rejected a job, or kept one waiting: it gets none until then
}

// heard notes a sign of life by an open attempt.
func (h *workerHealth) heard(now time.Duration) {
	h.lastHeardAt = now
	h.unhealthy = false
}

// observeOK notes an answer.
func (h *workerHealth) observeOK(now time.Duration) {
	h.heard(now)
	h.backoff = 0
	h.errorRate *= 1 - errorWeight
}

// observeError notes a job that the worker has failed.
func (h *workerHealth) observeError(now time.Duration) {
	h.errorRate = min(h.errorRate+errorWeight, 1)
	h.lastErrorAt = now
}

// observeSlowness takes a run time, relative to the expected one, into the worker's slowness.
func (h *workerHealth) observeSlowness(relative float64) {
	h.slowness += slownessSampleWeight * (relative - h.slowness)
}

// markUnhealthy leaves a worker to trial jobs until there is a sign of life.
func (h *workerHealth) markUnhealthy(now time.Duration) {
	h.unhealthy = true
	h.retryAt = now + unhealthyRetryInterval
}

// backOff leaves a worker alone for longer than the last time, from least on and up to most: about the time
// in which it frees a slot.
func (h *workerHealth) backOff(now, least, most time.Duration) {
	h.backoff = min(max(backoffGrowth*h.backoff, least), most)
	h.backoffUntil = now + h.backoff
}

// healthFilter keeps jobs off workers that are unhealthy, full, slow or failing.
type healthFilter struct {
	settings *Settings
	random   *rand.Rand
	gate     *sendGate
}

// accepts tells whether a job may go to a worker now, by its health and by the gate for sends. It draws by
// chance for a slow, a warming and a failing worker, in this order.
func (f *healthFilter) accepts(worker *workerState, job *jobState, now time.Duration) bool {
	if worker.State != Ready || now < worker.backoffUntil {
		return false
	}
	if worker.unhealthy && !f.mayTrial(worker, job, now) {
		return false
	}
	if !f.drawSlow(worker) || !f.gate.allows(worker, job, now) {
		return false
	}
	return f.drawFailing(worker, job, now)
}

// mayTrial tells whether a job may be an unhealthy worker's next trial: one that may be repeated at will.
func (f *healthFilter) mayTrial(worker *workerState, job *jobState, now time.Duration) bool {
	return now >= worker.retryAt && f.settings.Classes[job.Class].Idempotency == Idempotent
}

// drawSlow lets a job to a slow worker with a chance that falls with its slowness.
func (f *healthFilter) drawSlow(worker *workerState) bool {
	return worker.slowness <= acceptedSlowness || f.random.Float64()*worker.slowness <= 1
}

// drawFailing keeps a job whose failure is final off a worker whose latest jobs failed, with a chance that
// grows with their number and falls with time.
func (f *healthFilter) drawFailing(worker *workerState, job *jobState, now time.Duration) bool {
	if worker.errorRate == 0 || f.settings.Classes[job.Class].retriesAnywhere() {
		return true
	}
	aversion := errorAversion * worker.errorRate * decay(now-worker.lastErrorAt, rateMemory)
	return f.random.Float64() > aversion
}
