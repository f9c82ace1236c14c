package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

// TestPlacementConvergesAfterAnyFault makes random changes of the stores, one loss at a time. After each of them the
// placement must converge with all replicas in place. Every change of the table is checked: no partition may be led by
// a store without its data.
func TestPlacementConvergesAfterAnyFault(t *testing.T) {
	const seeds, steps = 10, 12
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 7))
		count := 3 + random.IntN(5)
		var stores []string
		for i := range count {
			stores = append(stores, fmt.Sprintf("store-%d", i))
		}
		sim := newPlacementSimulation(t, 2, stores...)
		sim.converge()
		for step := range steps {
			victim := stores[random.IntN(count)]
			sim.injectFault(random, victim, step)
			sim.converge()
			for _, partition := range sim.current.Table.Partitions {
				assert.Assert(t, sim.nodes[partition.Replicas[0].Store].Live, "seed %d step %d", seed, step)
			}
			sim.start(victim, sim.nodes[victim].Info.Zone, sim.nodes[victim].Info.DiskID)
			sim.converge()
			sim.requireComplete()
			sim.requireBalance(stores)
		}
	}
}

// injectFault makes one random change and plans once. The change concerns one store, or is a request of some primaries.
func (s *placementSimulation) injectFault(random *rand.Rand, victim string, step int) {
	switch random.IntN(6) {
	case 0:
		s.stop(victim)
	case 1:
		s.start(victim, s.nodes[victim].Info.Zone, fmt.Sprintf("disk-%s-%d", victim, step))
	case 2:
		s.change(victim, func(info *cluster.NodeInfo) { info.Draining = true })
	case 3:
		s.change(victim, func(info *cluster.NodeInfo) { info.DiskFailing = true })
	case 4:
		s.requestSomeDrops(random)
	case 5:
		s.requestSomeDropsOfLiveBackups(random)
	}
	assert.NilError(s.t, s.plan())
}

// requestSomeDrops requests, for some partitions, the drop of a backup that does not answer its primary.
func (s *placementSimulation) requestSomeDrops(random *rand.Rand) {
	for id := range s.current.Table.Partitions {
		if random.IntN(4) == 0 {
			s.request(cluster.PartitionRequest{Drop: s.current.Table.Partitions[id].Replicas[1].Store}, id)
		}
	}
}

// requestSomeDropsOfLiveBackups requests, for some partitions, the drop of a backup that responds to the control plane.
func (s *placementSimulation) requestSomeDropsOfLiveBackups(random *rand.Rand) {
	for id := range s.current.Table.Partitions {
		if random.IntN(4) == 0 {
			assert.NilError(s.t, s.requestDropOfLiveBackup(id))
		}
	}
}

func (s *placementSimulation) requireBalance(stores []string) {
	s.t.Helper()
	least, most := MinPartitions, 0
	for _, store := range stores {
		least, most = min(least, s.primaryCount(store)), max(most, s.primaryCount(store))
	}
	assert.Assert(s.t, least > 0 && most <= maxPrimariesRatio*least, "the stores lead %d to %d partitions", least, most)
}
