package delivery

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestThrottledCallersComeBackAtDifferentTimes checks that callers that were told to slow down at one moment spread.
func TestThrottledCallersComeBackAtDifferentTimes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	seen := make(map[time.Duration]bool)
	for range 20 {
		w := concurrencyLimit{}
		w.onThrottled(time.Second, random)
		assert.Assert(t, w.resumeAt >= time.Second+throttledBackoff)
		assert.Assert(t, w.resumeAt < time.Second+2*throttledBackoff)
		seen[w.resumeAt] = true
	}
	assert.Assert(t, len(seen) > 15)
}

func TestConcurrencyLimit(t *testing.T) {
	var w concurrencyLimit
	random := rand.New(rand.NewPCG(1, 1))
	assert.Equal(t, w.updateLimit(0), 0)
	assert.Equal(t, w.updateLimit(10), 10)
	for range 4 {
		w.onRejection()
	}
	assert.Equal(t, w.updateLimit(10), 6)
	assert.Equal(t, w.updateLimit(20), 16)
	for range 20 {
		w.onFailure(time.Second, 5, random)
	}
	assert.Equal(t, w.updateLimit(20), 1)
	assert.Assert(t, w.resumeAt > time.Second && w.resumeAt <= time.Second+100*time.Millisecond)
	w.onResponse(20)
	assert.Equal(t, w.updateLimit(20), 3)
	for range 30 {
		w.onResponse(20)
	}
	assert.Equal(t, w.updateLimit(20), 20)
}

// TestBackoffGrowsWithTheOutage checks that a service that stays down is probed ever less often, and found within a
// small part of its outage.
func TestBackoffGrowsWithTheOutage(t *testing.T) {
	var w concurrencyLimit
	random := rand.New(rand.NewPCG(1, 1))
	longest := map[time.Duration]time.Duration{
		time.Second: 100 * time.Millisecond, time.Minute: 750 * time.Millisecond, time.Hour: 45 * time.Second,
		24 * time.Hour: 75 * time.Second,
	}
	for range 20 {
		w.onFailure(time.Second, 1, random)
	}
	for outage, limit := range longest {
		now := time.Second + outage
		for range 20 {
			w.onFailure(now, 1, random)
		}
		assert.Assert(t, w.resumeAt > now && w.resumeAt-now <= limit, "after %v: %v", outage, w.resumeAt-now)
	}
	w.onResponse(10)
	w.onFailure(48*time.Hour, 1, random)
	assert.Assert(t, !w.down)
}
