package delivery

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestThrottledStoresDoNotResumeTogether guards against stores that are throttled at the same moment and then all
// resume at the same moment.
func TestThrottledStoresDoNotResumeTogether(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	seen := make(map[time.Duration]bool)
	for range 20 {
		concurrency := concurrencyLimit{}
		concurrency.onThrottled(time.Second, random)
		assert.Assert(t, concurrency.resumeAt >= time.Second+throttledBackoff)
		assert.Assert(t, concurrency.resumeAt < time.Second+2*throttledBackoff)
		seen[concurrency.resumeAt] = true
	}
	assert.Assert(t, len(seen) > 15)
}

func TestConcurrencyLimitFollowsResponses(t *testing.T) {
	var concurrency concurrencyLimit
	random := rand.New(rand.NewPCG(1, 1))
	assert.Equal(t, concurrency.updateLimit(0), 0)
	assert.Equal(t, concurrency.updateLimit(10), 10)
	for range 4 {
		concurrency.onRejection()
	}
	assert.Equal(t, concurrency.updateLimit(10), 6)
	assert.Equal(t, concurrency.updateLimit(20), 16)
	for range 20 {
		concurrency.onFailure(time.Second, 5, random)
	}
	assert.Equal(t, concurrency.updateLimit(20), 1)
	assert.Assert(t, concurrency.resumeAt > time.Second && concurrency.resumeAt <= time.Second+100*time.Millisecond)
	concurrency.onResponse(20)
	assert.Equal(t, concurrency.updateLimit(20), 3)
	for range 30 {
		concurrency.onResponse(20)
	}
	assert.Equal(t, concurrency.updateLimit(20), 20)
}

// TestOutageBackoffIsBoundedByOutageDuration checks that a service that stays down is probed less and less often, but
// that its return is found within a small fraction of the outage.
func TestOutageBackoffIsBoundedByOutageDuration(t *testing.T) {
	var concurrency concurrencyLimit
	random := rand.New(rand.NewPCG(1, 1))
	longest := map[time.Duration]time.Duration{
		time.Second: 100 * time.Millisecond, time.Minute: 750 * time.Millisecond, time.Hour: 45 * time.Second,
		24 * time.Hour: 75 * time.Second,
	}
	for range 20 {
		concurrency.onFailure(time.Second, 1, random)
	}
	for outage, limit := range longest {
		now := time.Second + outage
		for range 20 {
			concurrency.onFailure(now, 1, random)
		}
		assert.Assert(t, concurrency.resumeAt > now && concurrency.resumeAt-now <= limit, "backoff after an outage of %v: %v",
			outage, concurrency.resumeAt-now)
	}
	concurrency.onResponse(10)
	concurrency.onFailure(48*time.Hour, 1, random)
	assert.Assert(t, !concurrency.down)
}
