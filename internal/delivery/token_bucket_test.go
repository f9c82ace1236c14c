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
