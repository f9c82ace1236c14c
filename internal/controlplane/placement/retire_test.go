package placement

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
)

func TestRetiredStoreStaysEmpty(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b", "c", "d")
	assert.NilError(t, sim.plan())
	retire := func(builder *Builder) error {
		assert.NilError(t, builder.StartRetire("a", 3))
		return nil
	}
	assert.NilError(t, sim.plan(retire))
	assert.Equal(t, sim.current.Table.Store("a").State, cluster.StoreRetiring)
	assert.Assert(t, !sim.current.Jobs[0].Completed)
	sim.converge()
	assert.Assert(t, sim.current.Jobs[0].Completed)
	assert.Equal(t, sim.current.Table.Store("a").State, cluster.StoreRetired)
	sim.requireComplete()
	sim.stop("b")
	sim.converge()
	for _, partition := range sim.current.Table.Partitions {
		assert.Equal(t, partition.IndexOf("a"), -1)
	}
	sim.start("a", "zone-0", "another-disk")
	sim.converge()
	assert.Assert(t, sim.primaryCount("a") > 0)
}

func TestRetireIsRefusedWhenTooFewStoresWouldRemain(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b", "c")
	assert.NilError(t, sim.plan())
	assert.NilError(t, sim.plan(func(builder *Builder) error {
		var tooFew *TooFewStoresError
		assert.Assert(t, errors.As(builder.StartRetire("a", 3), &tooFew))
		assert.Equal(t, *tooFew, TooFewStoresError{Remaining: 2, Needed: 3})
		assert.ErrorIs(t, builder.StartRetire("x", 3), ErrUnknownStore)
		return nil
	}))
}

// TestRetireContinuesAfterTheStoreLosesItsDisk restarts a retiring store with an empty disk. Once the operator reads
// that the job is completed, the machine may be removed whichever disk it has.
func TestRetireContinuesAfterTheStoreLosesItsDisk(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b", "c", "d")
	assert.NilError(t, sim.plan())
	assert.NilError(t, sim.plan(func(builder *Builder) error {
		assert.NilError(t, builder.StartRetire("a", 3))
		return nil
	}))
	for _, disk := range []string{"second-disk", "third-disk"} {
		assert.Assert(t, !controlstate.NewestJob(sim.current.Jobs, "a").Completed)
		sim.start("a", "zone-0", disk)
		assert.NilError(t, sim.plan())
		assert.Equal(t, controlstate.NewestJob(sim.current.Jobs, "a").DiskID, disk)
	}
	sim.converge()
	sim.requireComplete()
	assert.Assert(t, controlstate.NewestJob(sim.current.Jobs, "a").Completed)
	for _, partition := range sim.current.Table.Partitions {
		assert.Equal(t, partition.IndexOf("a"), -1)
	}
	assert.NilError(t, sim.plan(func(builder *Builder) error {
		assert.NilError(t, builder.StartRetire("a", 3), "a repeated request")
		return nil
	}))
}

// TestRetiredStoreThatReturnsIsRetiredAgain lets a retired store come back with another disk and receive replicas
// before the operator has read that its job is completed.
func TestRetiredStoreThatReturnsIsRetiredAgain(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b", "c", "d")
	assert.NilError(t, sim.plan())
	assert.NilError(t, sim.plan(func(builder *Builder) error {
		assert.NilError(t, builder.StartRetire("a", 3))
		return nil
	}))
	sim.converge()
	assert.Assert(t, controlstate.NewestJob(sim.current.Jobs, "a").Completed)
	assert.Assert(t, !controlstate.NewestJob(sim.current.Jobs, "a").Outdated(sim.current.Table.Store("a")))
	sim.start("a", "zone-0", "another-disk")
	sim.converge()
	assert.Assert(t, sim.primaryCount("a") > 0)
	assert.Assert(t, controlstate.NewestJob(sim.current.Jobs, "a").Outdated(sim.current.Table.Store("a")))
	assert.NilError(t, sim.plan(func(builder *Builder) error {
		builder.ResumeRetire("a")
		return nil
	}))
	assert.Assert(t, !controlstate.NewestJob(sim.current.Jobs, "a").Completed)
	sim.converge()
	assert.Assert(t, controlstate.NewestJob(sim.current.Jobs, "a").Completed)
	for _, partition := range sim.current.Table.Partitions {
		assert.Equal(t, partition.IndexOf("a"), -1)
	}
}
