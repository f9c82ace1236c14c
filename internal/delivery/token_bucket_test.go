package delivery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTokenBucketKeepsToRateAndBurst(t *testing.T) {
	var bucket tokenBucket
	now := time.Second
	assert.Assert(t, bucket.tryTake(now), "no token although there is no rate limit")
	bucket.setRate(now, 100, 2) // 46 per second, of which 3 may accumulate
	assert.Assert(t, bucket.tryTake(now))
	assert.Assert(t, !bucket.tryTake(now))
	assert.Assert(t, bucket.wait(now) <= time.Second/46+time.Millisecond)
	now += time.Minute
	for range maxBurst {
		assert.Assert(t, bucket.tryTake(now))
	}
	assert.Assert(t, !bucket.tryTake(now))
	bucket.setRate(now, 100, 100) // 0.92 per second
	assert.Assert(t, bucket.wait(now) > time.Second)
	bucket.refund()
	assert.Assert(t, bucket.tryTake(now))
}

// TestNewRateLimitBeginsWithoutDebt guards against a service that rests for as long as a new rate limit takes to earn a token
// for each message that was sent before there was a limit.
func TestNewRateLimitBeginsWithoutDebt(t *testing.T) {
	var bucket tokenBucket
	bucket.setRate(0, 0, 1)
	for range 1000 {
		assert.Assert(t, bucket.tryTake(time.Second))
	}
	bucket.setRate(2*time.Second, 100, 2) // 46 per second
	assert.Assert(t, bucket.tryTake(2*time.Second))
	assert.Assert(t, !bucket.tryTake(2*time.Second))
	assert.Assert(t, bucket.tryTake(2*time.Second+time.Second/46+time.Millisecond))

	bucket.setRate(3*time.Second, 0, 1)
	assert.Assert(t, bucket.tryTake(3*time.Second))
	bucket.setRate(3*time.Second, 100, 2)
	assert.Assert(t, bucket.tryTake(3*time.Second))
}
