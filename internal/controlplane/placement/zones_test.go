package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestThreeReplicasAreInTwoZones checks the placement if one zone may be lost. The loss of a zone then loses no
// message, and the replica in the primary's zone causes no traffic between zones.
func TestThreeReplicasAreInTwoZones(t *testing.T) {
	sim := newPlacementSimulation(t, 3, manyStores()...)
	assert.NilError(t, sim.plan())
	sim.checkSpread(2, 2)
	sim.checkEvenReplicas()
}

// TestReplicasAreInOneZoneWhenNoZoneMayBeLost checks that all replicas are in one zone if no zone may be lost, so that
// replication causes no traffic between zones.
func TestReplicasAreInOneZoneWhenNoZoneMayBeLost(t *testing.T) {
	sim := newPlacementSimulation(t, 3, manyStores()...)
	sim.zones = 1
	assert.NilError(t, sim.plan())
	sim.checkSpread(1, 3)
	sim.checkEvenReplicas()
}

// TestReplicasLeaveTheirZoneWhenItHasTooFewStores checks that a zone with too few stores for all replicas gets replicas
// in other zones, at live stores only.
func TestReplicasLeaveTheirZoneWhenItHasTooFewStores(t *testing.T) {
	sim := newPlacementSimulation(t, 3, manyStores()...)
	sim.zones = 1
	assert.NilError(t, sim.plan())
	for i, store := range manyStores() {
		if i%3 == 0 && i > 3 {
			sim.stop(store) // two are left in the first zone
		}
	}
	for range 10 {
		assert.NilError(t, sim.plan())
	}
	for _, partition := range sim.current.Table.Partitions {
		assert.Equal(t, len(partition.Replicas), 3)
		for _, replica := range partition.Replicas {
			assert.Assert(t, sim.nodes[replica.Store].Live, "partition %d", partition.ID)
		}
	}
}

// manyStores returns the names of twelve stores. newPlacementSimulation puts four of them into each of three zones.
func manyStores() []string {
	var stores []string
	for i := range 12 {
		stores = append(stores, fmt.Sprintf("store-%02d", i))
	}
	return stores
}

// checkSpread checks that each partition's three replicas are in the given number of zones, and that the primary's zone
// holds withPrimary of them.
func (s *placementSimulation) checkSpread(zones, withPrimary int) {
	s.t.Helper()
	for _, partition := range s.current.Table.Partitions {
		counts := map[string]int{}
		for _, replica := range partition.Replicas {
			counts[s.nodes[replica.Store].Info.Zone]++
		}
		assert.Equal(s.t, len(partition.Replicas), 3)
		assert.Equal(s.t, len(counts), zones, "partition %d", partition.ID)
		primary := s.nodes[partition.Replicas[0].Store].Info.Zone
		assert.Equal(s.t, counts[primary], withPrimary, "partition %d", partition.ID)
	}
}

// checkEvenReplicas checks that the number of replicas at each store differs from the average by at most 4.
func (s *placementSimulation) checkEvenReplicas() {
	s.t.Helper()
	for store := range s.nodes {
		replicas := 0
		for _, partition := range s.current.Table.Partitions {
			if partition.IndexOf(store) >= 0 {
				replicas++
			}
		}
		even := 3 * MinPartitions / len(s.nodes)
		assert.Assert(s.t, replicas >= even-4 && replicas <= even+4, "%s holds %d replicas", store, replicas)
	}
}
