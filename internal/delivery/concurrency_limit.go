package delivery

import (
	"math/rand/v2"
	"time"
)

const (
	minOutageFailures    = 3 // consecutive failures after which the service is down, plus one for each ready worker
	maxOutageFailures    = 12
	minOutageBackoff     = 20 * time.Millisecond
	shortOutageBackoff   = 80 * time.Millisecond // between attempts at a service that has not been down for long
	maxOutageBackoff     = time.Minute           // the same, however long it has been down
	outageBackoffDivisor = 100                   // after a longer outage: one part in so many of it
	limitAfterOutage     = 2
	minGrowth            = 0.1                    // for each answer; a rejection decreases the limit by one
	throttledBackoff     = 250 * time.Millisecond // after a worker said that the service gets too much
)

// concurrencyLimit bounds the messages of a service that are in flight, by how its workers answer: additive increase with
// a slow start after an outage, and decrease on rejections. While the service is down, one message at a time probes it,
// with exponential backoff. Times are on the engine's clock.
type concurrencyLimit struct {
	current             float64
	slowStartThreshold  float64 // up to here it grows by one for each answer
	consecutiveFailures int     // consecutive attempts that no worker processed
	down                bool
	downSince           time.Duration
	backoff             time.Duration
	resumeAt            time.Duration // nothing starts before
	lastMaximum         int           // the service's limit, as last seen
}

// updateLimit returns how many messages may be in flight, at most limit. If limit has grown since the last call, the
// window grows by the same amount.
func (c *concurrencyLimit) updateLimit(limit int) int {
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

// onAnswer takes in that a worker dealt with a message.
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

// onRejection takes in that a worker had no capacity for a message.
func (c *concurrencyLimit) onRejection() {
	c.current = max(c.current-1, 1)
	c.slowStartThreshold = c.current
}

// onFailure takes in an attempt that no worker answered properly.
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

// maxBackoff is the longest time between two attempts at a service that is down. It grows with the outage, so that many
// services which stay down cost little, and one that returns is found within a small part of the time it was away.
func (c *concurrencyLimit) maxBackoff(now time.Duration) time.Duration {
	return min(max((now-c.downSince)/outageBackoffDivisor, shortOutageBackoff), maxOutageBackoff)
}

// onThrottled pauses the service for the throttled backoff plus a random part, so that the stores do not resume at the same
// moment, in which the same one would be last every time.
func (c *concurrencyLimit) onThrottled(now time.Duration, random *rand.Rand) {
	spread := time.Duration(random.Float64() * float64(throttledBackoff) / 2)
	c.resumeAt = max(c.resumeAt, now+throttledBackoff+spread)
}

// jitter varies a duration by a quarter up and down.
func jitter(duration time.Duration, random *rand.Rand) time.Duration {
	return time.Duration(float64(duration) * (0.75 + random.Float64()/2))
}
