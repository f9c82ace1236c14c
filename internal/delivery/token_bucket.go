package delivery

import "time"

// How much of a service's rate limit is used. The rest is left for clocks and links that differ, and for attempts that
// several stores start at one moment.
const (
	usableRate    = 0.92                   // of the rate limit, by all stores together
	burstDuration = 250 * time.Millisecond // so much of a store's part may be saved up
	maxBurst      = 3
)

// tokenBucket limits the rate of sends. A rate of zero is no limit. Times are on the engine's clock.
type tokenBucket struct {
	rate       float64 // tokens a second
	burst      float64
	tokens     float64
	refilledAt time.Duration
}

// setRate gives the bucket this store's part of a service's rate limit, of so many requests a second.
func (b *tokenBucket) setRate(now time.Duration, perSecond float64, divisor int) {
	b.refill(now)
	fresh := b.burst == 0
	b.rate = perSecond * usableRate / float64(max(divisor, 1))
	b.burst = min(max(b.rate*burstDuration.Seconds(), 1), maxBurst)
	b.tokens = min(b.tokens, b.burst)
	if fresh {
		b.tokens = 1
	}
}

// refill adds the tokens that have accrued since the last call.
func (b *tokenBucket) refill(now time.Duration) {
	if now > b.refilledAt {
		b.tokens = min(b.tokens+b.rate*(now-b.refilledAt).Seconds(), b.burst)
		b.refilledAt = now
	}
}

// wait is how long it takes until a token is available.
func (b *tokenBucket) wait(now time.Duration) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1-b.tokens)/b.rate*float64(time.Second)) + time.Microsecond
}

// tryTake takes a token if there is one.
func (b *tokenBucket) tryTake(now time.Duration) bool {
	if b.wait(now) > 0 {
		return false
	}
	b.tokens--
	return true
}

// refund returns a token that was not used.
func (b *tokenBucket) refund() { b.tokens = min(b.tokens+1, b.burst) }
