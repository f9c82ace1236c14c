package decision

import "time"

// slowStart models the capacity that a worker is certain to have after its start. The capacity grows linearly
// from Settings.SlowStartShare at the start of the process to the full capacity after
// Settings.SlowStartDuration.
type slowStart struct {
	initialShare float64
	duration     time.Duration
}

// share returns the part of its capacity that a worker is certain to have, 1 once it has warmed up.
func (s slowStart) share(worker *workerState, now time.Duration) float64 {
	age := now - worker.Started
	if worker.Started <= 0 || age >= s.duration {
		return 1
	}
	return s.initialShare + (1-s.initialShare)*float64(max(age, 0))/float64(s.duration)
}

// isWarm reports whether a worker has its full capacity.
func (s slowStart) isWarm(worker *workerState, now time.Duration) bool {
	return s.share(worker, now) >= 1
}
