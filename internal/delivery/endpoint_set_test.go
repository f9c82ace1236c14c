package delivery

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

func TestWorkerNumbersThatCollide(t *testing.T) {
	all := newEndpointSet(Options{})
	all.byWorkerID[stableHash("i-2")] = all.add("i-1", cluster.Worker{ID: "i-1"})
	assert.Equal(t, all.add("i-2", cluster.Worker{ID: "i-2"}).workerID, stableHash("i-2")+1)
}
