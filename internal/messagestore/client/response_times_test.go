package client

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTimeoutBeforeAnyResponse(t *testing.T) {
	var times responseTimes
	assert.Equal(t, times.timeout(), maxResponseTimeout)
}

func TestTimeoutFollowsQuickResponses(t *testing.T) {
	var times responseTimes
	for range 100 {
		times.record(5 * time.Millisecond)
	}
	assert.Equal(t, times.timeout(), minResponseTimeout)
}

func TestTimeoutGrowsWithSlowAndUnevenResponses(t *testing.T) {
	var even, uneven responseTimes
	for i := range 100 {
		even.record(70 * time.Millisecond)
		uneven.record(time.Duration(65+10*(i%2)) * time.Millisecond)
	}
	assert.Assert(t, even.timeout() >= 70*time.Millisecond && even.timeout() < 75*time.Millisecond, "%v", even.timeout())
	assert.Assert(t, uneven.timeout() > 90*time.Millisecond && uneven.timeout() < 110*time.Millisecond, "%v", uneven.timeout())
}

func TestTimeoutIsBounded(t *testing.T) {
	var times responseTimes
	for range 100 {
		times.record(time.Second)
	}
	assert.Equal(t, times.timeout(), maxResponseTimeout)
}
