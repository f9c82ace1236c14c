package decision

import (
	"cmp"
	"time"
)

// The estimate of a start delay follows about the 25th percentile of the observed delays, because few of the
// quickest starts had to wait for a slot. Each observation multiplies the estimate by startDelayRise. If the
// observed delay is then below the estimate, the estimate is also multiplied by startDelayFall.
const (
	startDelayRise = 1.1
	startDelayFall = 0.68
)

// startDelays learns the time from the send of a job to its start at a worker with a free slot. A new
// connection takes several times the delay to another zone.
type startDelays struct {
	locality locality
	connIdle time.Duration // idle connections are closed after this time

	// seconds is the delay, indexed by whether the worker is local and whether it has an idle connection. 0
	// means unknown.
	seconds [localities][2]float64
}

// isConnected reports whether an idle connection to a worker is certain to exist.
func (s *startDelays) isConnected(worker *workerState, now time.Duration) bool {
	return worker.ownSlots == 0 && now-worker.lastOKAt < s.connIdle
}

// estimate returns a pointer to the estimated delay in seconds for a worker in its present state.
func (s *startDelays) estimate(worker *workerState, now time.Duration) *float64 {
	return &s.seconds[boolToInt(s.locality.isLocal(worker))][boolToInt(s.isConnected(worker, now))]
}

// observeDelay updates an estimate with the seconds from a send to a start.
func observeDelay(estimate *float64, took float64) {
	*estimate = startDelayRise * cmp.Or(*estimate, took)
	if took < *estimate {
		*estimate = max(*estimate*startDelayFall, minRunSeconds)
	}
}
