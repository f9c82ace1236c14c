package delivery

import (
	"math/rand/v2"
	"time"
)

const (
	outageFailures   = 3 // in a row, and one more for each ready worker
	mostFailures     = 12
	firstPause       = 20 * time.Millisecond
	shortOutagePause = 80 * time.Millisecond // between looks at a service that has not been down for long
	longestPause     = time.Minute           // the same, however long it has been down
	outagePart       = 100                   // a longer outage is looked at after one part in so many of it
	windowAfterDown  = 2
	leastGrowth      = 0.1                    // for each answer; a full worker takes one off
	throttledPause   = 250 * time.Millisecond // after a worker said that the service gets too much
)

// window bounds a service's messages that are out, by how its workers answer. It grows while they do, fast after an
// outage and slowly later, and shrinks when they are full. While a service is down it is tried with one message at a
// time.
type window struct {
	size      float64
	threshold float64 // up to here it grows fast
	failures  int     // attempts in a row without a worker's answer
	down      bool
	downSince time.Duration
	pause     time.Duration
	resumeAt  time.Duration // nothing starts before
	limit     int           // as last seen
}

// capacity is how many messages may be out, of at most limit. The window grows along with the limit.
func (w *window) capacity(limit int) int {
	if more := float64(limit - w.limit); more > 0 {
		w.size += more
		w.threshold += more
	}
	w.limit = limit
	if w.down {
		return min(1, limit)
	}
	return min(max(int(w.size), 1), limit)
}

// answered notes that a worker dealt with a message.
func (w *window) answered(limit int) {
	if w.down {
		w.down, w.size, w.threshold = false, windowAfterDown, float64(limit)
		w.resumeAt = 0
	}
	w.failures, w.pause = 0, 0
	if w.size < w.threshold {
		w.size++
	} else {
		w.size += max(1/max(w.size, 1), leastGrowth)
	}
	w.size = min(w.size, float64(max(limit, 1)))
}

// full notes that a worker had no room for a message.
func (w *window) full() {
	w.size = max(w.size-1, 1)
	w.threshold = w.size
}

// failed notes an attempt that no worker answered properly.
func (w *window) failed(now time.Duration, ready int, random *rand.Rand) {
	w.failures++
	if !w.down && w.failures < min(outageFailures+ready, mostFailures) {
		return
	}
	if !w.down {
		w.down, w.downSince = true, now
	}
	w.pause = min(max(2*w.pause, firstPause), w.outagePause(now))
	w.resumeAt = now + jitter(w.pause, random)
}

// outagePause is the longest pause between two looks at a service that is down. It grows with the outage, so that many
// services which stay down cost little, and one that returns is found within a small part of the time it was away.
func (w *window) outagePause(now time.Duration) time.Duration {
	return min(max((now-w.downSince)/outagePart, shortOutagePause), longestPause)
}

// throttled keeps everything back for a while, not as long as others do: else they all come back at once, and the same
// caller is the last in every round.
func (w *window) throttled(now time.Duration, random *rand.Rand) {
	spread := time.Duration(random.Float64() * float64(throttledPause) / 2)
	w.resumeAt = max(w.resumeAt, now+throttledPause+spread)
}

// jitter varies a pause by a quarter up and down.
func jitter(pause time.Duration, random *rand.Rand) time.Duration {
	return time.Duration(float64(pause) * (0.75 + random.Float64()/2))
}
