package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOutageHoldsPlaces(t *testing.T) {
	start := time.Unix(1000, 0)
	const tolerated = 1
	longAgo := start.Add(-time.Hour)
	var one outage
	one.add("a", start)
	assert.Equal(t, one.holdUntil(tolerated, longAgo), start.Add(settleTime))
	assert.Equal(t, one.holdUntil(tolerated, start), start.Add(newPrimarySettle))
	two := one
	two.add("b", start.Add(time.Millisecond))
	assert.Equal(t, two.holdUntil(tolerated, longAgo), start.Add(restartGrace))
	assert.Equal(t, two.holdUntil(2, longAgo), start.Add(time.Millisecond+settleTime))
}
