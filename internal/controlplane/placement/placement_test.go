package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
	"gladepick/internal/controlplane/lease"
)

// placementWorld drives the planning functions as the manager does, without a group.
type placementWorld struct {
	t        *testing.T
	current  *controlstate.State
	nodes    map[string]lease.Status
	replicas int
	zones    int // in which the replicas of a partition stand
}

func newPlacementWorld(t *testing.T, replicas int, stores ...string) *placementWorld {
	world := &placementWorld{t: t, current: &controlstate.State{Table: &cluster.Table{}}, nodes: map[string]lease.Status{}, replicas: replicas, zones: 2}
	for i, store := range stores {
		world.start(store, fmt.Sprintf("zone-%d", i%3), "disk-"+store)
	}
	return world
}

func (w *placementWorld) redundancy() Redundancy {
	return Redundancy{ReplicationFactor: w.replicas, Zones: w.zones}
}

func (w *placementWorld) start(store, zone, disk string) {
	info := cluster.NodeInfo{Name: store, Zone: zone, DiskID: disk, Store: true, Incarnation: "i", Address: store + ":1"}
	w.nodes[store] = lease.Status{Info: info, Live: true, Recent: true, Expires: time.Now().Add(time.Hour)}
}

func (w *placementWorld) stop(store string) {
	node := w.nodes[store]
	node.Live, node.Recent, node.Expires = false, false, time.Now()
	w.nodes[store] = node
}

func (w *placementWorld) change(store string, change func(*cluster.NodeInfo)) {
	node := w.nodes[store]
	change(&node.Info)
	w.nodes[store] = node
}

// plan plans once, with edits before, checks the result, and puts it in force.
func (w *placementWorld) plan(edits ...func(*Builder) error) error {
	builder := NewBuilder(w.current, w.nodes, w.redundancy())
	builder.UpdateStores()
	for _, edit := range edits {
		if err := edit(builder); err != nil {
			return err
		}
	}
	builder.UpdateStores()
	builder.PlaceInitially()
	builder.Repair()
	builder.Rebalance()
	builder.CompleteRetireJobs()
	change := builder.Diff(w.current)
	if change == nil {
		return nil
	}
	next := w.current.WithTableChange(change)
	w.check(w.current.Table, next.Table)
	w.current = next
	return nil
}

// check holds what is true of every change of the table.
func (w *placementWorld) check(before, after *cluster.Table) {
	w.t.Helper()
	assert.Equal(w.t, after.Revision, before.Revision+1)
	for id, partition := range after.Partitions {
		assert.Equal(w.t, partition.ID, id)
		seen := map[string]bool{}
		for _, replica := range partition.Replicas {
			assert.Assert(w.t, !seen[replica.Store], "partition %d holds %s twice", id, replica.Store)
			seen[replica.Store] = true
		}
		if id >= len(before.Partitions) {
			continue
		}
		known := before.Partitions[id]
		if partition.Epoch == known.Epoch {
			assert.Equal(w.t, storesOf(partition), storesOf(known), "the view changed without its epoch")
		}
		primary, _ := partition.Primary()
		was := known.IndexOf(primary.Store)
		assert.Assert(w.t, primary.Synced && was >= 0, "partition %d is led by %s, which held no replica", id, primary.Store)
	}
}

func storesOf(partition cluster.Partition) string {
	text := ""
	for _, replica := range partition.Replicas {
		text += replica.Store + "/" + replica.DiskID + " "
	}
	return text
}

// settle plans until nothing changes, with every primary syncing its backups and handing over as preferred.
func (w *placementWorld) settle() {
	w.t.Helper()
	for range 200 {
		before := w.current.Table.Revision
		assert.NilError(w.t, w.plan())
		w.followPreferences()
		if w.current.Table.Revision == before {
			return
		}
	}
	w.t.Fatal("the placement does not come to rest")
}

func (w *placementWorld) followPreferences() {
	for _, partition := range w.current.Table.Partitions {
		primary, _ := partition.Primary()
		if !w.nodes[primary.Store].Live {
			continue
		}
		for _, replica := range partition.Replicas[1:] {
			if !replica.Synced && w.nodes[replica.Store].Live {
				w.request(cluster.PartitionRequest{Synced: replica.Store}, partition.ID)
			}
		}
		latest := w.current.Table.Partitions[partition.ID]
		position := latest.IndexOf(latest.PreferredPrimary)
		if position > 0 && latest.Replicas[position].Synced {
			w.request(cluster.PartitionRequest{Handover: true}, partition.ID)
		}
	}
}

// request fills in the partition's primary and epoch.
func (w *placementWorld) request(request cluster.PartitionRequest, id int) {
	w.t.Helper()
	assert.NilError(w.t, w.tryRequest(request, id))
}

func (w *placementWorld) tryRequest(request cluster.PartitionRequest, id int) error {
	partition := w.current.Table.Partitions[id]
	request.Partition, request.Epoch, request.Store = id, partition.Epoch, partition.Replicas[0].Store
	return w.plan(func(builder *Builder) error { return builder.ApplyRequest(&request) })
}

func (w *placementWorld) leads(store string) int {
	count := 0
	for _, partition := range w.current.Table.Partitions {
		if partition.Replicas[0].Store == store {
			count++
		}
	}
	return count
}

func (w *placementWorld) requireComplete() {
	w.t.Helper()
	builder := NewBuilder(w.current, w.nodes, w.redundancy())
	assert.Assert(w.t, builder.complete())
	for _, partition := range w.current.Table.Partitions {
		assert.Equal(w.t, len(partition.Replicas), w.replicas, "partition %d: %s", partition.ID, storesOf(partition))
		assert.Equal(w.t, partition.PreferredPrimary, "")
	}
}

func TestInitialPlacementIsEvenAndSpreadOverZones(t *testing.T) {
	for count := 2; count <= 9; count++ {
		var stores []string
		for i := range count {
			stores = append(stores, fmt.Sprintf("store-%d", i))
		}
		world := newPlacementWorld(t, 2, stores...)
		assert.NilError(t, world.plan())
		world.requireComplete()
		for _, store := range stores {
			leads := world.leads(store)
			assert.Assert(t, leads >= MinPartitions/count && leads <= MinPartitions/count+1, "%s leads %d", store, leads)
		}
		for _, partition := range world.current.Table.Partitions {
			first, second := partition.Replicas[0].Store, partition.Replicas[1].Store
			assert.Assert(t, world.nodes[first].Info.Zone != world.nodes[second].Info.Zone)
		}
	}
}

func TestInitialPlacementWaitsForEnoughStores(t *testing.T) {
	world := newPlacementWorld(t, 3, "a", "b")
	assert.NilError(t, world.plan())
	assert.Equal(t, len(world.current.Table.Partitions), 0)
}

func TestStoreDownIsReplacedAndBackupsArePromoted(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b", "c", "d")
	assert.NilError(t, world.plan())
	world.stop("a")
	assert.NilError(t, world.plan())
	for _, partition := range world.current.Table.Partitions {
		assert.Equal(t, partition.IndexOf("a"), -1)
		assert.Equal(t, len(partition.Replicas), 2)
	}
	world.settle()
	world.requireComplete()
}

func TestReturnedStoreGetsPartitionsAgain(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b", "c")
	assert.NilError(t, world.plan())
	world.stop("a")
	world.settle()
	assert.Equal(t, world.leads("a"), 0)
	world.start("a", "zone-0", "another-disk")
	world.settle()
	world.requireComplete()
	for _, store := range []string{"a", "b", "c"} {
		assert.Assert(t, world.leads(store) >= 10, "%s leads %d", store, world.leads(store))
	}
}

func TestAnotherDiskIsAnotherReplica(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b", "c")
	assert.NilError(t, world.plan())
	world.start("a", "zone-0", "another-disk")
	assert.NilError(t, world.plan())
	for _, partition := range world.current.Table.Partitions {
		for i, replica := range partition.Replicas {
			assert.Assert(t, replica.DiskID != "disk-a")
			assert.Assert(t, replica.Store != "a" || !replica.Synced && i > 0)
		}
	}
	world.settle()
	world.requireComplete()
}

func TestGroupWithoutLivingSyncedReplicaWaits(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b", "c", "d")
	assert.NilError(t, world.plan())
	before := world.current.Table.Partitions
	for store := range world.nodes {
		world.stop(store)
	}
	assert.NilError(t, world.plan())
	for id, partition := range world.current.Table.Partitions {
		assert.Assert(t, equalPartitions(partition, before[id]))
	}
	for _, store := range []string{"a", "b", "c", "d"} {
		world.start(store, "zone", "disk-"+store)
	}
	assert.NilError(t, world.plan())
	for id, partition := range world.current.Table.Partitions {
		assert.Assert(t, equalPartitions(partition, before[id]))
	}
}

func TestNothingIsDroppedByTheLeasesOfStoresThatMayHaveDiedAsWell(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b", "c", "d")
	assert.NilError(t, world.plan())
	before := world.current.Table.Partitions
	for store, node := range world.nodes {
		node.Recent = false // the leases of the others still run, but were not renewed lately
		world.nodes[store] = node
	}
	world.stop("a")
	assert.NilError(t, world.plan())
	for id, partition := range world.current.Table.Partitions {
		assert.Assert(t, equalPartitions(partition, before[id]))
	}
}

func TestDeadBackupStaysWhereNoStoreCanTakeItsPlace(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b")
	assert.NilError(t, world.plan())
	world.stop("a")
	assert.NilError(t, world.plan())
	for _, partition := range world.current.Table.Partitions {
		assert.Equal(t, partition.Replicas[0].Store, "b")
		assert.Equal(t, partition.Replicas[1].Store, "a")
	}
}

func TestFailingDiskCountsAsDown(t *testing.T) {
	world := newPlacementWorld(t, 2, "a", "b", "c")
	assert.NilError(t, world.plan())
	world.change("a", func(info *cluster.NodeInfo) { info.DiskFailing = true })
	world.settle()
	world.requireComplete()
	for _, partition := range world.current.Table.Partitions {
		assert.Equal(t, partition.IndexOf("a"), -1)
	}
}

func TestPartitionsGrowWithTheStoresAtTheFirstPlacement(t *testing.T) {
	for stores, partitions := range map[int]int{1: 64, 17: 64, 22: 128, 100: 512, 6500: 32_768} {
		assert.Equal(t, partitionCount(stores), partitions, "%d stores", stores)
	}
}

// A large loss is repaired in steps: first the partitions that nobody leads, then those that lack a replica.
func TestLargeLossIsRepairedInSteps(t *testing.T) {
	const stores = 700
	var names []string
	for i := range stores {
		names = append(names, fmt.Sprintf("store-%03d", i))
	}
	world := newPlacementWorld(t, 2, names...)
	assert.NilError(t, world.plan())
	for i := 0; i < stores; i += 4 {
		world.stop(names[i])
	}
	steps := 0
	for before := uint64(0); world.current.Table.Revision != before; steps++ {
		before = world.current.Table.Revision
		builder := NewBuilder(world.current, world.nodes, world.redundancy())
		builder.UpdateStores()
		more := builder.Repair()
		changed := changedPartitions(builder.partitions, world.current.Table.Partitions)
		assert.Assert(t, len(changed) <= repairsAtOnce)
		assert.Equal(t, more, len(changed) == repairsAtOnce)
		if more {
			leaderless := slices.ContainsFunc(builder.partitions, builder.leaderless)
			assert.Assert(t, !leaderless || steps == 0)
		}
		if change := builder.Diff(world.current); change != nil {
			world.current = world.current.WithTableChange(change)
		}
	}
	assert.Assert(t, steps > 2, "%d steps", steps)
	for _, partition := range world.current.Table.Partitions {
		for _, replica := range partition.Replicas {
			assert.Assert(t, world.nodes[replica.Store].Live)
		}
		assert.Equal(t, len(partition.Replicas), 2)
	}
}
