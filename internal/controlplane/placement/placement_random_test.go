package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

// TestPlacementComesToRestAfterAnyFault plays random changes of the stores, one loss at a time. After each the
// placement comes to rest with all replicas in place, and no partition was ever led by a store without its data: that is
// checked with every change of the table.
func TestPlacementComesToRestAfterAnyFault(t *testing.T) {
	const seeds, steps = 10, 12
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 7))
		count := 3 + random.IntN(5)
		var stores []string
		for i := range count {
			stores = append(stores, fmt.Sprintf("store-%d", i))
		}
		world := newPlacementWorld(t, 2, stores...)
		world.settle()
		for step := range steps {
			victim := stores[random.IntN(count)]
			world.disturb(random, victim, step)
			world.settle()
			for _, partition := range world.current.Table.Partitions {
				assert.Assert(t, world.nodes[partition.Replicas[0].Store].Live, "seed %d step %d", seed, step)
			}
			world.start(victim, world.nodes[victim].Info.Zone, world.nodes[victim].Info.DiskID)
			world.settle()
			world.requireComplete()
			world.requireBalance(stores)
		}
	}
}

// disturb changes one store, and lets some primaries act before the next look.
func (w *placementWorld) disturb(random *rand.Rand, victim string, step int) {
	switch random.IntN(6) {
	case 0:
		w.stop(victim)
	case 1:
		w.start(victim, w.nodes[victim].Info.Zone, fmt.Sprintf("disk-%s-%d", victim, step))
	case 2:
		w.change(victim, func(info *cluster.NodeInfo) { info.Draining = true })
	case 3:
		w.change(victim, func(info *cluster.NodeInfo) { info.DiskFailing = true })
	case 4:
		w.dropSome(random)
	case 5:
		w.suspectSome(random)
	}
	assert.NilError(w.t, w.plan())
}

// dropSome has some primaries drop their backups, as if these did not answer.
func (w *placementWorld) dropSome(random *rand.Rand) {
	for id := range w.current.Table.Partitions {
		if random.IntN(4) == 0 {
			w.request(cluster.PartitionRequest{Drop: w.current.Table.Partitions[id].Replicas[1].Store}, id)
		}
	}
}

// suspectSome has some primaries ask for other backups although these respond to the control plane.
func (w *placementWorld) suspectSome(random *rand.Rand) {
	for id := range w.current.Table.Partitions {
		if random.IntN(4) == 0 {
			assert.NilError(w.t, w.suspect(id))
		}
	}
}

func (w *placementWorld) requireBalance(stores []string) {
	w.t.Helper()
	least, most := MinPartitions, 0
	for _, store := range stores {
		least, most = min(least, w.leads(store)), max(most, w.leads(store))
	}
	assert.Assert(w.t, least > 0 && most <= maxPrimariesRatio*least, "the stores lead %d to %d partitions", least, most)
}
