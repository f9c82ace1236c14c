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
