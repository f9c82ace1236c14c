package placement

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
)

func TestRetiredStoreIsEmptiedForGood(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b", "c", "d")
	assert.NilError(t, world.plan())
	retire := func(builder *Builder) error {
		assert.NilError(t, builder.StartRetire("a", 3))
		return nil
	}
	assert.NilError(t, world.plan(retire))
	assert.Equal(t, world.current.Table.Store("a").State, cluster.StoreRetiring)
	assert.Assert(t, !world.current.Jobs[0].Completed)
	world.settle()
	assert.Assert(t, world.current.Jobs[0].Completed)
	assert.Equal(t, world.current.Table.Store("a").State, cluster.StoreRetired)
	world.requireComplete()
	world.stop("b")
	world.settle()
	for _, partition := range world.current.Table.Partitions {
		assert.Equal(t, partition.IndexOf("a"), -1)
	}
	world.start("a", "zone-0", "another-disk")
	world.settle()
	assert.Assert(t, world.leads("a") > 0)
}

func TestRetireIsRefusedWhereTooFewWouldRemain(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b", "c")
	assert.NilError(t, world.plan())
	assert.NilError(t, world.plan(func(builder *Builder) error {
		var tooFew *TooFewStoresError
		assert.Assert(t, errors.As(builder.StartRetire("a", 3), &tooFew))
		assert.Equal(t, *tooFew, TooFewStoresError{Remaining: 2, Needed: 3})
		assert.ErrorIs(t, builder.StartRetire("x", 3), ErrUnknownStore)
		return nil
	}))
}

// TestRetiringStoreThatLosesItsDiskIsEmptiedAllTheSame has a store come back with an empty disk while it is emptied: when
// the operator reads that this is completed, the machine may be taken away whichever disk it has.
func TestRetiringStoreThatLosesItsDiskIsEmptiedAllTheSame(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b", "c", "d")
	assert.NilError(t, world.plan())
	assert.NilError(t, world.plan(func(builder *Builder) error {
		assert.NilError(t, builder.StartRetire("a", 3))
		return nil
	}))
	for _, disk := range []string{"second-disk", "third-disk"} {
		assert.Assert(t, !controlstate.NewestJob(world.current.Jobs, "a").Completed)
		world.start("a", "zone-0", disk)
		assert.NilError(t, world.plan())
		assert.Equal(t, controlstate.NewestJob(world.current.Jobs, "a").DiskID, disk)
	}
	world.settle()
	world.requireComplete()
	assert.Assert(t, controlstate.NewestJob(world.current.Jobs, "a").Completed)
	for _, partition := range world.current.Table.Partitions {
		assert.Equal(t, partition.IndexOf("a"), -1)
	}
	assert.NilError(t, world.plan(func(builder *Builder) error {
		assert.NilError(t, builder.StartRetire("a", 3), "sent again")
		return nil
	}))
}

// TestEmptiedStoreThatReturnsIsEmptiedAgainForAWaitingOperator has a store be given replicas after it was emptied and before
// its operator has heard of that.
func TestEmptiedStoreThatReturnsIsEmptiedAgainForAWaitingOperator(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b", "c", "d")
	assert.NilError(t, world.plan())
	assert.NilError(t, world.plan(func(builder *Builder) error {
		assert.NilError(t, builder.StartRetire("a", 3))
		return nil
	}))
	world.settle()
	assert.Assert(t, controlstate.NewestJob(world.current.Jobs, "a").Completed)
	assert.Assert(t, !controlstate.NewestJob(world.current.Jobs, "a").Outdated(world.current.Table.Store("a")))
	world.start("a", "zone-0", "another-disk")
	world.settle()
	assert.Assert(t, world.leads("a") > 0)
	assert.Assert(t, controlstate.NewestJob(world.current.Jobs, "a").Outdated(world.current.Table.Store("a")))
	assert.NilError(t, world.plan(func(builder *Builder) error {
		builder.ResumeRetire("a")
		return nil
	}))
	assert.Assert(t, !controlstate.NewestJob(world.current.Jobs, "a").Completed)
	world.settle()
	assert.Assert(t, controlstate.NewestJob(world.current.Jobs, "a").Completed)
	for _, partition := range world.current.Table.Partitions {
		assert.Equal(t, partition.IndexOf("a"), -1)
	}
}
