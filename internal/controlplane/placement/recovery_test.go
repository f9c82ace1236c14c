package placement

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

// newSimulationDuringRepair returns a placement in which the first partition's backup is down, keeps its disk, and is
// being replaced. All stores can collect messages.
func newSimulationDuringRepair(t *testing.T) (sim *placementSimulation, primary, silent, added string) {
	t.Helper()
	sim = newPlacementSimulation(t, 2, "a", "b", "c", "d")
	for _, store := range []string{"a", "b", "c", "d"} {
		sim.change(store, func(info *cluster.NodeInfo) { info.CollectsMessages = true })
	}
	assert.NilError(t, sim.plan())
	before := sim.current.Table.Partitions[0]
	primary, silent = before.Replicas[0].Store, before.Replicas[1].Store
	sim.stop(silent)
	assert.NilError(t, sim.plan())
	after := sim.current.Table.Partitions[0]
	assert.Equal(t, len(after.Replicas), 2)
	assert.DeepEqual(t, after.Retained, []cluster.RetainedReplica{{Store: silent, DiskID: "disk-" + silent, Epoch: before.Epoch}})
	return sim, primary, silent, after.Replicas[1].Store
}

// loseDisk starts a store again with another disk.
func (s *placementSimulation) loseDisk(store string) {
	s.start(store, s.nodes[store].Info.Zone, s.nodes[store].Info.DiskID+"-new")
	s.change(store, func(info *cluster.NodeInfo) { info.CollectsMessages = true })
}

// restart starts a store again with its disk.
func (s *placementSimulation) restart(store string) {
	s.start(store, s.nodes[store].Info.Zone, s.nodes[store].Info.DiskID)
	s.change(store, func(info *cluster.NodeInfo) { info.CollectsMessages = true })
}

// TestRetainedReplicasAreForgottenOnceTheGroupIsComplete guards against a list of replicas that grows for ever, and
// against one that is dropped while its messages may be needed.
func TestRetainedReplicasAreForgottenOnceTheGroupIsComplete(t *testing.T) {
	sim, _, silent, added := newSimulationDuringRepair(t)
	sim.stop(added)
	assert.NilError(t, sim.plan())
	partition := sim.current.Table.Partitions[0]
	assert.Equal(t, len(partition.Retained), 2, "also an unsynced replica may have acknowledged messages")
	sim.converge()
	partition = sim.current.Table.Partitions[0]
	assert.Equal(t, len(partition.Retained), 0)
	assert.Assert(t, partition.IndexOf(silent) < 0)
	sim.restart(added)
	sim.restart(silent)
	sim.converge()
	sim.requireComplete()
}

// TestRecoveryAsksTheReplicaThatWasReplaced guards against acknowledged messages that are lost although only one disk
// was: the primary loses its disk while another store copies the partition from it.
func TestRecoveryAsksTheReplicaThatWasReplaced(t *testing.T) {
	sim, primary, silent, added := newSimulationDuringRepair(t)
	sim.loseDisk(primary)
	assert.NilError(t, sim.plan())
	resting := sim.current.Table.Partitions[0]
	assert.Equal(t, resting.Replicas[0].Store, primary, "two replicas are missing, and only one may be lost")

	sim.restart(silent)
	assert.NilError(t, sim.plan())
	collecting := sim.current.Table.Partitions[0]
	assert.Equal(t, collecting.Epoch, resting.Epoch+1)
	assert.DeepEqual(t, collecting.Replicas, []cluster.Replica{
		{Store: silent, DiskID: "disk-" + silent}, {Store: added, DiskID: "disk-" + added},
	})
	assert.DeepEqual(t, collecting.Retained, []cluster.RetainedReplica{
		{Store: primary, DiskID: "disk-" + primary, Epoch: resting.Epoch},
	})
	assert.NilError(t, sim.plan())
	assert.Equal(t, sim.current.Table.Partitions[0].Epoch, collecting.Epoch, "nothing changes while the primary collects")

	err := sim.tryRequest(cluster.PartitionRequest{Synced: added}, 0)
	assert.Assert(t, errors.Is(err, ErrConflict), "%v", err)
	err = sim.tryRequest(cluster.PartitionRequest{Handover: true}, 0)
	assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)
	err = sim.tryRequest(cluster.PartitionRequest{Drop: added}, 0)
	assert.Assert(t, errors.Is(err, ErrUnavailable), "%v", err)

	sim.request(cluster.PartitionRequest{Synced: silent}, 0)
	recovered := sim.current.Table.Partitions[0]
	assert.Equal(t, recovered.Epoch, collecting.Epoch+1)
	assert.Assert(t, recovered.Replicas[0].Synced && !recovered.Replicas[1].Synced)
	assert.Equal(t, len(recovered.Retained), 1, "one disk is lost until the group is complete")
	sim.converge()
	sim.requireComplete()
	assert.Equal(t, len(sim.current.Table.Partitions[0].Retained), 0)
}

// TestRecoveryBeginsAgainWithoutALostSource guards against a recovery that waits for ever for a replica which is lost,
// and against one that goes on although too many replicas are missing.
func TestRecoveryBeginsAgainWithoutALostSource(t *testing.T) {
	sim, primary, silent, _ := newSimulationDuringRepair(t)
	sim.stop(primary)
	sim.restart(silent)
	assert.NilError(t, sim.plan())
	collecting := sim.current.Table.Partitions[0]
	assert.Equal(t, collecting.Replicas[0].Store, silent)
	assert.Assert(t, !collecting.Replicas[0].Synced)

	sim.stop(silent)
	assert.NilError(t, sim.plan())
	assert.Equal(t, sim.current.Table.Partitions[0].Epoch, collecting.Epoch, "two replicas are missing")

	sim.restart(primary)
	assert.NilError(t, sim.plan())
	again := sim.current.Table.Partitions[0]
	assert.Equal(t, again.Epoch, collecting.Epoch+1)
	assert.Equal(t, again.Replicas[0].Store, primary)
	assert.Assert(t, !again.Replicas[0].Synced)
	sim.request(cluster.PartitionRequest{Synced: primary}, 0)
	sim.converge()
	sim.requireComplete()
}

// TestRecoveryNeedsStoresThatCollect guards against a store of an earlier version that leads at once, with what it has.
func TestRecoveryNeedsStoresThatCollect(t *testing.T) {
	sim, primary, silent, _ := newSimulationDuringRepair(t)
	sim.loseDisk(primary)
	sim.restart(silent)
	sim.change(silent, func(info *cluster.NodeInfo) { info.CollectsMessages = false })
	assert.NilError(t, sim.plan())
	assert.Equal(t, sim.current.Table.Partitions[0].Replicas[0].Store, primary)
	sim.restart(silent)
	assert.NilError(t, sim.plan())
	assert.Equal(t, sim.current.Table.Partitions[0].Replicas[0].Store, silent)
}

// TestSyncedReplicaLeadsWithoutARecovery guards against a recovery where a replica that is left has everything.
func TestSyncedReplicaLeadsWithoutARecovery(t *testing.T) {
	sim, primary, _, added := newSimulationDuringRepair(t)
	sim.request(cluster.PartitionRequest{Synced: added}, 0)
	sim.loseDisk(primary)
	assert.NilError(t, sim.plan())
	promoted := sim.current.Table.Partitions[0]
	assert.Equal(t, promoted.Replicas[0], cluster.Replica{Store: added, DiskID: "disk-" + added, Synced: true})
}
