package cluster_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

// TestStoreLimitsAddUpToAtMostTheClusterLimit guards against stores that together exceed a cluster-wide limit. It also
// checks that a store that leads more partitions gets a larger share.
func TestStoreLimitsAddUpToAtMostTheClusterLimit(t *testing.T) {
	table := &cluster.Table{}
	for id := range 64 {
		leader := []string{"a", "a", "a", "b", "b", "c"}[id%6]
		table.Partitions = append(table.Partitions, cluster.Partition{
			ID: id, Replicas: []cluster.Replica{{Store: leader}, {Store: "d"}},
		})
	}
	sum := 0.0
	for _, store := range []string{"a", "b", "c"} {
		sum += 1 / float64(table.LimitDivisor(store))
	}
	assert.Assert(t, sum <= 1)
	assert.Assert(t, sum > 0.8)
	assert.Assert(t, table.LimitDivisor("a") < table.LimitDivisor("b"))
	assert.Equal(t, table.LimitDivisor("d"), 64)
	assert.Equal(t, (&cluster.Table{}).LimitDivisor("a"), 1)
}
