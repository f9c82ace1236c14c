package decision

import "time"

// slowStart is how much of its capacity a worker surely has: it grows in a line, from
// Settings.SlowStartShare at its process's start to all of it after Settings.SlowStartDuration.
type slowStart struct {
	initialShare float64
	duration     time.Duration
}

// share is the part of its capacity that a worker surely has, 1 once it is warm.
func (s slowStart) share(worker *workerState, now time.Duration) float64 {
	age := now - worker.Started
	if worker.Started <= 0 || age >= s.duration {
		return 1
	}
	return s.initialShare + (1-s.initialShare)*float64(max(age, 0))/float64(s.duration)
}

// isWarm tells whether a worker has its full capacity.
func (s slowStart) isWarm(worker *workerState, now time.Duration) bool {
	return s.share(worker, now) >= 1
}
