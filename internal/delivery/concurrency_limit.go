package delivery

import (
	"math/rand/v2"
	"time"
)

const (
	minOutageFailures    = 3  // consecutive failures that take the service down, plus one for each ready worker
	maxOutageFailures    = 12 // upper bound of that number
	minOutageBackoff     = 20 * time.Millisecond
	shortOutageBackoff   = 80 * time.Millisecond  // longest backoff while the service has not been down for long
	maxOutageBackoff     = time.Minute            // longest backoff, however long the service has been down
	outageBackoffDivisor = 100                    // otherwise the longest backoff is the outage divided by this
	limitAfterOutage     = 2                      // messages in flight
	minGrowth            = 0.1                    // for each response; a rejection decreases the limit by one
	throttledBackoff     = 250 * time.Millisecond // after a worker responded that the service gets too many requests
)

// concurrencyLimit bounds the messages of a service that are in flight, depending on how its workers respond. It grows
// by additive increase, with slow start after an outage, and shrinks on rejections. While the service is down, one
// message at a time probes it, with exponential backoff. Times are on the engine's clock.
type concurrencyLimit struct {
	current             float64
	slowStartThreshold  float64 // below this limit, current grows by one for each response
	consecutiveFailures int     // consecutive attempts that no worker processed
	down                bool
	downSince           time.Duration
	backoff             time.Duration
	resumeAt            time.Duration // no message starts earlier
	lastMaximum         int           // the limit that updateLimit was last called with
}

// updateLimit returns how many messages may be in flight, at most limit. If limit has grown since the last call, the
// window grows by the same amount.
func (c *concurrencyLimit) updateLimit(limit int) int {
	if growth := float64(limit - c.lastMaximum); growth > 0 {
		c.current += growth
		c.slowStartThreshold += growth
	}
	c.lastMaximum = limit
	if c.down {
		return min(1, limit)
	}
	return min(max(int(c.current), 1), limit)
}

// onResponse records that a worker processed a message. It ends an outage.
func (c *concurrencyLimit) onResponse(limit int) {
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

// onRejection records that a worker had no capacity for a message.
func (c *concurrencyLimit) onRejection() {
	c.current = max(c.current-1, 1)
	c.slowStartThreshold = c.current
}

// onFailure records an attempt that no worker processed. After enough consecutive failures the service is down. Each
// failure of a service that is down doubles the backoff.
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

// maxBackoff returns the longest time between two attempts at a service that is down. It grows with the outage: many
// services that stay down cost little, and a service that returns is found within a small fraction of the time for
// which it was down.
func (c *concurrencyLimit) maxBackoff(now time.Duration) time.Duration {
	return min(max((now-c.downSince)/outageBackoffDivisor, shortOutageBackoff), maxOutageBackoff)
}

// onThrottled pauses the service for the throttled backoff plus a random part. Without the random part all stores would
// resume at the same moment, and the same store would be the last each time.
func (c *concurrencyLimit) onThrottled(now time.Duration, random *rand.Rand) {
	randomPart := time.Duration(random.Float64() * float64(throttledBackoff) / 2)
	c.resumeAt = max(c.resumeAt, now+throttledBackoff+randomPart)
}

// jitter changes a duration at random by up to a quarter in either direction.
func jitter(duration time.Duration, random *rand.Rand) time.Duration {
	return time.Duration(float64(duration) * (0.75 + random.Float64()/2))
}
