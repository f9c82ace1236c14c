package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

func TestHandoverNeedsALivingSyncedBackup(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b")
	assert.NilError(t, sim.plan())
	sim.change("a", func(info *cluster.NodeInfo) { info.Draining = true })
	sim.change("b", func(info *cluster.NodeInfo) { info.Draining = true })
	err := sim.tryRequest(cluster.PartitionRequest{Handover: true}, 0)
	assert.ErrorIs(t, err, ErrUnavailable)
}

func TestRequestWithAnOldEpochIsRefused(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b", "c")
	assert.NilError(t, sim.plan())
	partition := sim.current.Table.Partitions[0]
	request := cluster.PartitionRequest{Partition: 0, Epoch: partition.Epoch + 1, Store: partition.Replicas[0].Store, Handover: true}
	err := sim.plan(func(builder *Builder) error { return builder.ApplyRequest(&request) })
	assert.ErrorIs(t, err, ErrConflict)
	request.Epoch, request.Store = partition.Epoch, partition.Replicas[1].Store
	err = sim.plan(func(builder *Builder) error { return builder.ApplyRequest(&request) })
	assert.ErrorIs(t, err, ErrConflict)
}

func TestDropReplacesABackupThatSeemsAlive(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b", "c")
	assert.NilError(t, sim.plan())
	partition := sim.current.Table.Partitions[0]
	dropped := partition.Replicas[1].Store
	sim.request(cluster.PartitionRequest{Drop: dropped}, 0)
	after := sim.current.Table.Partitions[0]
	assert.Equal(t, after.IndexOf(dropped), -1)
	assert.Equal(t, len(after.Replicas), 2)
	assert.Assert(t, !after.Replicas[1].Synced)
	assert.Equal(t, after.Epoch, partition.Epoch+1)
}

func TestDropKeepsTheLastReplicas(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b")
	assert.NilError(t, sim.plan())
	partition := sim.current.Table.Partitions[0]
	err := sim.tryRequest(cluster.PartitionRequest{Drop: partition.Replicas[1].Store}, 0)
	assert.ErrorIs(t, err, ErrUnavailable)
}

func TestHandoverGoesToAReadyBackup(t *testing.T) {
	sim := newPlacementSimulation(t, 3, "a", "b", "c", "d")
	assert.NilError(t, sim.plan())
	partition := sim.current.Table.Partitions[0]
	ready := partition.Replicas[2].Store
	sim.request(cluster.PartitionRequest{Handover: true, Ready: []string{ready}}, 0)
	assert.Equal(t, sim.current.Table.Partitions[0].Replicas[0].Store, ready)
	err := sim.tryRequest(cluster.PartitionRequest{Handover: true, Ready: []string{"d"}}, 0)
	if sim.current.Table.Partitions[0].IndexOf("d") < 0 {
		assert.Assert(t, err != nil, "the store holds no replica")
	}
}

func TestDrainingStoreHandsOverAndStaysAsBackup(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b", "c")
	assert.NilError(t, sim.plan())
	sim.change("a", func(info *cluster.NodeInfo) { info.Draining = true })
	assert.NilError(t, sim.plan())
	for id, partition := range sim.current.Table.Partitions {
		if partition.Replicas[0].Store == "a" {
			sim.request(cluster.PartitionRequest{Handover: true}, id)
			after := sim.current.Table.Partitions[id]
			assert.Equal(t, after.IndexOf("a"), len(after.Replicas)-1)
			assert.Equal(t, after.Epoch, partition.Epoch+1)
		}
	}
	assert.Equal(t, sim.primaryCount("a"), 0)
}

// TestRenewalBeginsAnEpochWithTheSameReplicas guards against a fenced primary that stays fenced, because no change of its
// replicas follows.
func TestRenewalBeginsAnEpochWithTheSameReplicas(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b", "c")
	assert.NilError(t, sim.plan())
	before := sim.current.Table.Partitions[0]
	sim.request(cluster.PartitionRequest{Renew: true}, 0)
	after := sim.current.Table.Partitions[0]
	assert.Equal(t, after.Epoch, before.Epoch+1)
	assert.DeepEqual(t, after.Replicas, before.Replicas)
}
