package decision

import (
	"cmp"
	"time"
)

// A start delay follows a low quantile of what is observed, about a quarter: few of the quickest
// starts had to wait for a slot. Each observation raises the estimate by startDelayRise, and a quicker
// one lowers it by startDelayFall.
const (
	startDelayRise = 1.1
	startDelayFall = 0.68
)

// startDelays learns how long a job takes from its send to its start at a worker that has a free slot: a new
// connection takes several times the way to another zone.
type startDelays struct {
	locality locality
	connIdle time.Duration // idle connections are closed after it

	// seconds is the delay by whether the worker is local and by whether it has an idle
	// connection, 0 for unknown.
	seconds [localities][2]float64
}

// isConnected tells whether an idle connection to a worker is surely there.
func (s *startDelays) isConnected(worker *workerState, now time.Duration) bool {
	return worker.ownSlots == 0 && now-worker.lastOKAt < s.connIdle
}

// estimate is where the delay to a worker, as it is now, is held, in seconds.
func (s *startDelays) estimate(worker *workerState, now time.Duration) *float64 {
	return &s.seconds[count(s.locality.isLocal(worker))][count(s.isConnected(worker, now))]
}

// observeDelay takes the seconds from a send to a start into the estimate for it.
func observeDelay(estimate *float64, took float64) {
	*estimate = startDelayRise * cmp.Or(*estimate, took)
	if took < *estimate {
		*estimate = max(*estimate*startDelayFall, minRunSeconds)
	}
}
