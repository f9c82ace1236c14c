package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Where one zone may be lost, three replicas stand in two zones: the lost zone loses no message, and one replica costs no bytes
// between zones.
func TestThreeReplicasStandInTwoZones(t *testing.T) {
	world := newPlacementWorld(t, 3, manyStores()...)
	assert.NilError(t, world.plan())
	world.checkSpread(2, 2)
	world.checkEvenReplicas()
}

// Where no zone may be lost, all replicas stand in one: nothing crosses a border between zones.
func TestReplicasStandInOneZoneWhereNoneMayBeLost(t *testing.T) {
	world := newPlacementWorld(t, 3, manyStores()...)
	world.zones = 1
	assert.NilError(t, world.plan())
	world.checkSpread(1, 3)
	world.checkEvenReplicas()
}

// A zone that has too few stores for all replicas is helped out by others, and gets its replicas back.
func TestReplicasLeaveTheirZoneWhereItHasTooFewStores(t *testing.T) {
	world := newPlacementWorld(t, 3, manyStores()...)
	world.zones = 1
	assert.NilError(t, world.plan())
	for i, store := range manyStores() {
		if i%3 == 0 && i > 3 {
			world.stop(store) // two are left in the first zone
		}
	}
	for range 10 {
		assert.NilError(t, world.plan())
	}
	for _, partition := range world.current.Table.Partitions {
		assert.Equal(t, len(partition.Replicas), 3)
		for _, replica := range partition.Replicas {
			assert.Assert(t, world.nodes[replica.Store].Live, "partition %d", partition.ID)
		}
	}
}

// manyStores names stores of which newPlacementWorld puts four into each of three zones.
func manyStores() []string {
	var stores []string
	for i := range 12 {
		stores = append(stores, fmt.Sprintf("store-%02d", i))
	}
	return stores
}

// checkSpread checks that the three replicas of each partition stand in so many zones, so many of them in the primary's.
func (w *placementWorld) checkSpread(zones, withPrimary int) {
	w.t.Helper()
	for _, partition := range w.current.Table.Partitions {
		counts := map[string]int{}
		for _, replica := range partition.Replicas {
			counts[w.nodes[replica.Store].Info.Zone]++
		}
		assert.Equal(w.t, len(partition.Replicas), 3)
		assert.Equal(w.t, len(counts), zones, "partition %d", partition.ID)
		primary := w.nodes[partition.Replicas[0].Store].Info.Zone
		assert.Equal(w.t, counts[primary], withPrimary, "partition %d", partition.ID)
	}
}

// checkEvenReplicas checks that no store holds many more replicas than another.
func (w *placementWorld) checkEvenReplicas() {
	w.t.Helper()
	for store := range w.nodes {
		replicas := 0
		for _, partition := range w.current.Table.Partitions {
			if partition.IndexOf(store) >= 0 {
				replicas++
			}
		}
		even := 3 * MinPartitions / len(w.nodes)
		assert.Assert(w.t, replicas >= even-4 && replicas <= even+4, "%s holds %d replicas", store, replicas)
	}
}
