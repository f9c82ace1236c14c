package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

func TestHandoverNeedsALivingSyncedBackup(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b")
	assert.NilError(t, world.plan())
	world.change("a", func(info *cluster.NodeInfo) { info.Draining = true })
	world.change("b", func(info *cluster.NodeInfo) { info.Draining = true })
	err := world.tryRequest(cluster.PartitionRequest{Handover: true}, 0)
	assert.ErrorIs(t, err, ErrUnavailable)
}

func TestRequestWithAnOldEpochIsRefused(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b", "c")
	assert.NilError(t, world.plan())
	partition := world.current.Table.Partitions[0]
	request := cluster.PartitionRequest{Partition: 0, Epoch: partition.Epoch + 1, Store: partition.Replicas[0].Store, Handover: true}
	err := world.plan(func(builder *Builder) error { return builder.ApplyRequest(&request) })
	assert.ErrorIs(t, err, ErrConflict)
	request.Epoch, request.Store = partition.Epoch, partition.Replicas[1].Store
	err = world.plan(func(builder *Builder) error { return builder.ApplyRequest(&request) })
	assert.ErrorIs(t, err, ErrConflict)
}

func TestDropReplacesABackupThatSeemsAlive(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b", "c")
	assert.NilError(t, world.plan())
	partition := world.current.Table.Partitions[0]
	dropped := partition.Replicas[1].Store
	world.request(cluster.PartitionRequest{Drop: dropped}, 0)
	after := world.current.Table.Partitions[0]
	assert.Equal(t, after.IndexOf(dropped), -1)
	assert.Equal(t, len(after.Replicas), 2)
	assert.Assert(t, !after.Replicas[1].Synced)
	assert.Equal(t, after.Epoch, partition.Epoch+1)
}

func TestDropKeepsTheLastReplicas(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b")
	assert.NilError(t, world.plan())
	partition := world.current.Table.Partitions[0]
	err := world.tryRequest(cluster.PartitionRequest{Drop: partition.Replicas[1].Store}, 0)
	assert.ErrorIs(t, err, ErrUnavailable)
}

func TestHandoverGoesToABackupThatIsReady(t *testing.T) {
	world := newPlacementWorld(t, 3, "a", "b", "c", "d")
	assert.NilError(t, world.plan())
	partition := world.current.Table.Partitions[0]
	ready := partition.Replicas[2].Store
	world.request(cluster.PartitionRequest{Handover: true, Ready: []string{ready}}, 0)
	assert.Equal(t, world.current.Table.Partitions[0].Replicas[0].Store, ready)
	err := world.tryRequest(cluster.PartitionRequest{Handover: true, Ready: []string{"d"}}, 0)
	if world.current.Table.Partitions[0].IndexOf("d") < 0 {
		assert.Assert(t, err != nil, "it holds no replica")
	}
}

func TestDrainingStoreHandsOverAndStaysAsBackup(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b", "c")
	assert.NilError(t, world.plan())
	world.change("a", func(info *cluster.NodeInfo) { info.Draining = true })
	assert.NilError(t, world.plan())
	for id, partition := range world.current.Table.Partitions {
		if partition.Replicas[0].Store == "a" {
			world.request(cluster.PartitionRequest{Handover: true}, id)
			after := world.current.Table.Partitions[id]
			assert.Equal(t, after.IndexOf("a"), len(after.Replicas)-1)
			assert.Equal(t, after.Epoch, partition.Epoch+1)
		}
	}
	assert.Equal(t, world.leads("a"), 0)
}
