package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

// requestDropOfLiveBackup makes a request to drop a partition's backup that still responds to the control plane.
func (s *placementSimulation) requestDropOfLiveBackup(id int) error {
	partition := s.current.Table.Partitions[id]
	request := cluster.PartitionRequest{
		Partition: id, Epoch: partition.Epoch, Store: partition.Replicas[0].Store, Drop: partition.Replicas[1].Store,
	}
	return s.plan(func(builder *Builder) error { return builder.SuspectBackup(&request) })
}

// newSimulationWithSuspect returns a placement in which the first partition's backup is suspected and a third replica
// was added.
func newSimulationWithSuspect(t *testing.T) (sim *placementSimulation, primary, suspected string) {
	t.Helper()
	sim = newPlacementSimulation(t, 2, "a", "b", "c", "d")
	assert.NilError(t, sim.plan())
	before := sim.current.Table.Partitions[0]
	primary, suspected = before.Replicas[0].Store, before.Replicas[1].Store
	assert.NilError(t, sim.requestDropOfLiveBackup(0))
	after := sim.current.Table.Partitions[0]
	assert.Equal(t, len(after.Replicas), 3)
	assert.Assert(t, after.Replicas[1].Suspected && after.Replicas[1].Synced)
	assert.Assert(t, !after.Replicas[2].Synced)
	assert.Equal(t, after.Epoch, before.Epoch+1)
	return sim, primary, suspected
}

func TestSuspectedBackupStaysUntilAnotherIsSynced(t *testing.T) {
	sim, _, suspected := newSimulationWithSuspect(t)
	assert.NilError(t, sim.requestDropOfLiveBackup(0), "a repeated request")
	assert.NilError(t, sim.plan())
	partition := sim.current.Table.Partitions[0]
	assert.Assert(t, partition.IndexOf(suspected) > 0, "the replacement is not synced yet")
	sim.request(cluster.PartitionRequest{Synced: partition.Replicas[2].Store}, 0)
	assert.NilError(t, sim.plan())
	partition = sim.current.Table.Partitions[0]
	assert.Equal(t, partition.IndexOf(suspected), -1)
	assert.Equal(t, len(partition.Replicas), 2)
	sim.converge()
	sim.requireComplete()
}

func TestSuspectedBackupStaysOnceItIsSyncedAgain(t *testing.T) {
	sim, _, suspected := newSimulationWithSuspect(t)
	sim.request(cluster.PartitionRequest{Synced: suspected}, 0)
	assert.NilError(t, sim.plan())
	partition := sim.current.Table.Partitions[0]
	assert.Equal(t, len(partition.Replicas), 2)
	assert.Equal(t, partition.Replicas[1], cluster.Replica{Store: suspected, DiskID: "disk-" + suspected, Synced: true})
}

// TestSuspectedBackupIsPromotedWhenThePrimaryIsLost loses the primary's disk before another replica is synced. The
// suspected backup then holds the only copy of the acknowledged messages.
func TestSuspectedBackupIsPromotedWhenThePrimaryIsLost(t *testing.T) {
	sim, primary, suspected := newSimulationWithSuspect(t)
	sim.start(primary, "zone-0", "another-disk")
	assert.NilError(t, sim.plan())
	leading := sim.current.Table.Partitions[0].Replicas[0]
	assert.Equal(t, leading.Store, suspected)
	assert.Assert(t, !leading.Suspected)
	sim.converge()
	sim.requireComplete()
}

func TestSuspectedBackupThatDiesIsReplaced(t *testing.T) {
	sim, _, suspected := newSimulationWithSuspect(t)
	sim.stop(suspected)
	sim.converge()
	assert.Equal(t, sim.current.Table.Partitions[0].IndexOf(suspected), -1)
	sim.requireComplete()
}

// TestSuspectedBackupStaysUntilAStoreCanReplaceIt checks that a suspected backup is kept while no other store is
// available.
func TestSuspectedBackupStaysUntilAStoreCanReplaceIt(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b")
	assert.NilError(t, sim.plan())
	assert.NilError(t, sim.requestDropOfLiveBackup(0))
	partition := sim.current.Table.Partitions[0]
	assert.Equal(t, len(partition.Replicas), 2)
	suspected := partition.Replicas[1]
	assert.Assert(t, suspected.Suspected)
	sim.start("c", "zone-2", "disk-c")
	sim.converge()
	assert.Equal(t, sim.current.Table.Partitions[0].IndexOf(suspected.Store), -1)
	sim.requireComplete()
}

// TestRedundantBackupIsDroppedAtOnce checks that a backup is dropped, although it responds, if it holds no data that
// other replicas lack.
func TestRedundantBackupIsDroppedAtOnce(t *testing.T) {
	cases := map[string]func(partition *cluster.Partition){
		"it is not synced": func(partition *cluster.Partition) { partition.Replicas[1].Synced = false },
		"others are enough": func(partition *cluster.Partition) {
			for _, store := range []string{"a", "b", "c", "d"} {
				if partition.IndexOf(store) < 0 {
					partition.Replicas = append(partition.Replicas, cluster.Replica{Store: store, DiskID: "disk-" + store, Synced: true})
					return
				}
			}
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newPlacementSimulation(t, 2, "a", "b", "c", "d")
			assert.NilError(t, sim.plan())
			builder := NewBuilder(sim.current, sim.nodes, sim.redundancy())
			builder.UpdateStores()
			partition := builder.partitions[0]
			partition.Replicas = append([]cluster.Replica(nil), partition.Replicas...)
			change(&partition)
			builder.setPartition(0, partition)
			dropped := partition.Replicas[1].Store
			request := cluster.PartitionRequest{Epoch: partition.Epoch, Store: partition.Replicas[0].Store, Drop: dropped}
			assert.NilError(t, builder.SuspectBackup(&request))
			assert.Equal(t, builder.partitions[0].IndexOf(dropped), -1)
			assert.Equal(t, builder.partitions[0].Epoch, partition.Epoch+1)
		})
	}
}

func TestSuspectingAStoreThatIsNoBackupIsRefused(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b", "c")
	assert.NilError(t, sim.plan())
	partition := sim.current.Table.Partitions[0]
	for _, dropped := range []string{partition.Replicas[0].Store, "unknown"} {
		request := cluster.PartitionRequest{Epoch: partition.Epoch, Store: partition.Replicas[0].Store, Drop: dropped}
		err := sim.plan(func(builder *Builder) error { return builder.SuspectBackup(&request) })
		assert.ErrorIs(t, err, ErrConflict)
	}
}
