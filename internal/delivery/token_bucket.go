package delivery

import "time"

// The part of a service's rate limit that is used. The rest allows for clock drift, for varying network delays, and for
// attempts that several stores start at the same moment.
const (
	usableRateShare = 0.92                   // fraction of the rate limit that all stores together use
	burstDuration   = 250 * time.Millisecond // tokens of this duration may accumulate
	maxBurst        = 3                      // in tokens
)

// tokenBucket limits the rate of sends. If the rate is zero, sends are not limited. Times are on the engine's clock.
type tokenBucket struct {
	rate       float64 // tokens per second
	burst      float64 // the largest number of tokens; 0 before the first call of setRate
	tokens     float64
	refilledAt time.Duration
}

// setRate sets the rate to this store's part of a service's rate limit, in requests per second. A limit that follows a time
// without one begins with one token.
func (b *tokenBucket) setRate(now time.Duration, perSecond float64, divisor int) {
	b.refill(now)
	wasUnlimited := b.rate <= 0
	b.rate = perSecond * usableRateShare / float64(max(divisor, 1))
	b.burst = min(max(b.rate*burstDuration.Seconds(), 1), maxBurst)
	b.tokens = min(b.tokens, b.burst)
	if wasUnlimited {
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

// wait returns how long it takes until a token is available.
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

// tryTake takes a token and reports whether one was available. Without a limit no token is needed.
func (b *tokenBucket) tryTake(now time.Duration) bool {
	if b.rate <= 0 {
		return true
	}
	if b.wait(now) > 0 {
		return false
	}
	b.tokens--
	return true
}

// refund returns an unused token.
func (b *tokenBucket) refund() { b.tokens = min(b.tokens+1, b.burst) }
