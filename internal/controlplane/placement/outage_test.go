package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStoresKeepTheirReplicasDuringAnOutage(t *testing.T) {
	start := time.Unix(1000, 0)
	const tolerated = 1
	longAgo := start.Add(-time.Hour)
	var one outage
	one.add("a", start)
	assert.Equal(t, one.keepReplicasUntil(tolerated, longAgo), start.Add(stabilizationTime))
	assert.Equal(t, one.keepReplicasUntil(tolerated, start), start.Add(newPrimaryStabilizationTime))
	two := one
	two.add("b", start.Add(time.Millisecond))
	assert.Equal(t, two.keepReplicasUntil(tolerated, longAgo), start.Add(restartGrace))
	assert.Equal(t, two.keepReplicasUntil(2, longAgo), start.Add(time.Millisecond+stabilizationTime))
}
