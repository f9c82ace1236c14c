package delivery

import (
	"math/rand/v2"
	"time"
)

const (
	minOutageFailures    = 3 // in a row, and one more for each ready worker
	maxOutageFailures    = 12
	minOutageBackoff     = 20 * time.Millisecond
	shortOutageBackoff   = 80 * time.Millisecond // between looks at a service that has not been down for long
	maxOutageBackoff     = time.Minute           // the same, however long it has been down
	outageBackoffDivisor = 100                   // a longer outage is looked at after one part in so many of it
	limitAfterOutage     = 2
	minGrowth            = 0.1                    // for each answer; a full worker takes one off
	throttledBackoff     = 250 * time.Millisecond // after a worker said that the service gets too much
)

// window bounds a service's messages that are out, by how its workers answer. It grows while they do, fast after an
// outage and slowly later, and shrinks when they are full. While a service is down it is tried with one message at a
// time.
type concurrencyLimit struct {
	current             float64
	slowStartThreshold  float64 // up to here it grows fast
	consecutiveFailures int     // attempts in a row without a worker's answer
	down                bool
	downSince           time.Duration
	backoff             time.Duration
	resumeAt            time.Duration // nothing starts before
	lastMaximum         int           // as last seen
}

// capacity is how many messages may be out, of at most limit. The window grows along with the limit.
func (c *concurrencyLimit) allowed(limit int) int {
	if more := float64(limit - c.lastMaximum); more > 0 {
		c.current += more
		c.slowStartThreshold += more
	}
	c.lastMaximum = limit
	if c.down {
		return min(1, limit)
	}
	return min(max(int(c.current), 1), limit)
}

// answered notes that a worker dealt with a message.
func (c *concurrencyLimit) onAnswer(limit int) {
	if c.down {
		c.down, c.current, c.slowStartThreshold = false, limitAfterOutage, float64(limit)
		c.resumeAt = 0
	}
	c.consecutiveFailures, c.backoff = 0, 0
	if c.current < c.slowStartThreshold {
		c.current++
	} else {
		c.current += max(1/max(c.current, 1), minGrowth)
	}
	c.current = min(c.current, float64(max(limit, 1)))
}

// full notes that a worker had no room for a message.
func (c *concurrencyLimit) onRejection() {
	c.current = max(c.current-1, 1)
	c.slowStartThreshold = c.current
}

// failed notes an attempt that no worker answered properly.
func (c *concurrencyLimit) onFailure(now time.Duration, ready int, random *rand.Rand) {
	c.consecutiveFailures++
	if !c.down && c.consecutiveFailures < min(minOutageFailures+ready, maxOutageFailures) {
		return
	}
	if !c.down {
		c.down, c.downSince = true, now
	}
	c.backoff = min(max(2*c.backoff, minOutageBackoff), c.maxBackoff(now))
	c.resumeAt = now + jitter(c.backoff, random)
}

// outagePause is the longest pause between two looks at a service that is down. It grows with the outage, so that many
// services which stay down cost little, and one that returns is found within a small part of the time it was away.
func (c *concurrencyLimit) maxBackoff(now time.Duration) time.Duration {
	return min(max((now-c.downSince)/outageBackoffDivisor, shortOutageBackoff), maxOutageBackoff)
}

// throttled keeps everything back for a while, not as long as others do: else they all come back at once, and the same
// caller is the last in every round.
func (c *concurrencyLimit) onThrottled(now time.Duration, random *rand.Rand) {
	spread := time.Duration(random.Float64() * float64(throttledBackoff) / 2)
	c.resumeAt = max(c.resumeAt, now+throttledBackoff+spread)
}

// jitter varies a pause by a quarter up and down.
func jitter(pause time.Duration, random *rand.Rand) time.Duration {
	return time.Duration(float64(pause) * (0.75 + random.Float64()/2))
}
