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

// placementSimulation calls the planning functions as the table manager does, without a group.
type placementSimulation struct {
	t        *testing.T
	current  *controlstate.State
	nodes    map[string]lease.Status
	replicas int
	zones    int // number of zones that hold the replicas of a partition
}

func newPlacementSimulation(t *testing.T, replicas int, stores ...string) *placementSimulation {
	sim := &placementSimulation{t: t, current: &controlstate.State{Table: &cluster.Table{}}, nodes: map[string]lease.Status{}, replicas: replicas, zones: 2}
	for i, store := range stores {
		sim.start(store, fmt.Sprintf("zone-%d", i%3), "disk-"+store)
	}
	return sim
}

func (s *placementSimulation) redundancy() Redundancy {
	return Redundancy{ReplicationFactor: s.replicas, Zones: s.zones}
}

func (s *placementSimulation) start(store, zone, disk string) {
	info := cluster.NodeInfo{Name: store, Zone: zone, DiskID: disk, Store: true, Incarnation: "i", Address: store + ":1"}
	s.nodes[store] = lease.Status{Info: info, Live: true, Recent: true, Expires: time.Now().Add(time.Hour)}
}

func (s *placementSimulation) stop(store string) {
	node := s.nodes[store]
	node.Live, node.Recent, node.Expires = false, false, time.Now()
	s.nodes[store] = node
}

func (s *placementSimulation) change(store string, change func(*cluster.NodeInfo)) {
	node := s.nodes[store]
	change(&node.Info)
	s.nodes[store] = node
}

// plan applies the edits, plans once, checks the resulting change and puts it into force.
func (s *placementSimulation) plan(edits ...func(*Builder) error) error {
	builder := NewBuilder(s.current, s.nodes, s.redundancy())
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
	change := builder.Diff(s.current)
	if change == nil {
		return nil
	}
	next := s.current.WithTableChange(change)
	s.check(s.current.Table, next.Table)
	s.current = next
	return nil
}

// check checks the invariants of a change of the table.
func (s *placementSimulation) check(before, after *cluster.Table) {
	s.t.Helper()
	assert.Equal(s.t, after.Revision, before.Revision+1)
	for id, partition := range after.Partitions {
		assert.Equal(s.t, partition.ID, id)
		seen := map[string]bool{}
		for _, replica := range partition.Replicas {
			assert.Assert(s.t, !seen[replica.Store], "partition %d has two replicas at %s", id, replica.Store)
			seen[replica.Store] = true
		}
		if id >= len(before.Partitions) {
			continue
		}
		known := before.Partitions[id]
		if partition.Epoch == known.Epoch {
			assert.Equal(s.t, storesOf(partition), storesOf(known), "the replicas changed and the epoch did not")
		}
		primary, _ := partition.Primary()
		if !primary.Synced {
			s.checkRecovery(known, partition)
			continue
		}
		was := known.IndexOf(primary.Store)
		assert.Assert(s.t, was >= 0, "partition %d is led by %s, which held no synced replica", id, primary.Store)
	}
}

// checkRecovery checks a view whose primary collects messages: no synced replica is alive, all replicas that are left are
// in the view, and not more are missing than may be lost.
func (s *placementSimulation) checkRecovery(known, partition cluster.Partition) {
	s.t.Helper()
	if partition.Epoch == known.Epoch {
		return
	}
	builder := NewBuilder(s.current, s.nodes, s.redundancy())
	builder.UpdateStores()
	missing := 0
	for _, candidate := range recoveryCandidates(known) {
		if !holdsReplica(partition.Replicas, candidate.Store, candidate.DiskID) {
			assert.Assert(s.t, !builder.alive(candidate), "partition %d does not ask %s", known.ID, candidate.Store)
			missing++
		}
	}
	assert.Assert(s.t, builder.hasNoSyncedReplica(known), "partition %d has a synced replica", known.ID)
	assert.Equal(s.t, len(partition.Replicas)+missing, len(known.Replicas)+len(known.Retained))
	assert.Assert(s.t, missing < s.replicas, "partition %d: %d replicas are missing", known.ID, missing)
}

func storesOf(partition cluster.Partition) string {
	text := ""
	for _, replica := range partition.Replicas {
		text += replica.Store + "/" + replica.DiskID + " "
	}
	return text
}

// converge plans until the table no longer changes. Between the plans, every primary syncs its backups and hands over
// to the preferred primary.
func (s *placementSimulation) converge() {
	s.t.Helper()
	for range 200 {
		before := s.current.Table.Revision
		assert.NilError(s.t, s.plan())
		s.followPreferences()
		if s.current.Table.Revision == before {
			return
		}
	}
	s.t.Fatal("the placement does not converge")
}

func (s *placementSimulation) followPreferences() {
	for _, partition := range s.current.Table.Partitions {
		primary, _ := partition.Primary()
		if !s.nodes[primary.Store].Live {
			continue
		}
		if !primary.Synced { // it collects messages
			s.request(cluster.PartitionRequest{Synced: primary.Store}, partition.ID)
			continue
		}
		for _, replica := range partition.Replicas[1:] {
			if !replica.Synced && s.nodes[replica.Store].Live {
				s.request(cluster.PartitionRequest{Synced: replica.Store}, partition.ID)
			}
		}
		latest := s.current.Table.Partitions[partition.ID]
		position := latest.IndexOf(latest.PreferredPrimary)
		if position > 0 && latest.Replicas[position].Synced {
			s.request(cluster.PartitionRequest{Handover: true}, partition.ID)
		}
	}
}

// request makes a request of a partition's primary, which must be granted. It sets the partition, epoch and primary.
func (s *placementSimulation) request(request cluster.PartitionRequest, id int) {
	s.t.Helper()
	assert.NilError(s.t, s.tryRequest(request, id))
}

func (s *placementSimulation) tryRequest(request cluster.PartitionRequest, id int) error {
	partition := s.current.Table.Partitions[id]
	request.Partition, request.Epoch, request.Store = id, partition.Epoch, partition.Replicas[0].Store
	return s.plan(func(builder *Builder) error { return builder.ApplyRequest(&request) })
}

func (s *placementSimulation) primaryCount(store string) int {
	count := 0
	for _, partition := range s.current.Table.Partitions {
		if partition.Replicas[0].Store == store {
			count++
		}
	}
	return count
}

func (s *placementSimulation) requireComplete() {
	s.t.Helper()
	builder := NewBuilder(s.current, s.nodes, s.redundancy())
	assert.Assert(s.t, builder.complete())
	for _, partition := range s.current.Table.Partitions {
		assert.Equal(s.t, len(partition.Replicas), s.replicas, "partition %d: %s", partition.ID, storesOf(partition))
		assert.Equal(s.t, partition.PreferredPrimary, "")
	}
}

func TestInitialPlacementIsEvenAndSpreadOverZones(t *testing.T) {
	for count := 2; count <= 9; count++ {
		var stores []string
		for i := range count {
			stores = append(stores, fmt.Sprintf("store-%d", i))
		}
		sim := newPlacementSimulation(t, 2, stores...)
		assert.NilError(t, sim.plan())
		sim.requireComplete()
		for _, store := range stores {
			primaryCount := sim.primaryCount(store)
			assert.Assert(t, primaryCount >= MinPartitions/count && primaryCount <= MinPartitions/count+1, "%s leads %d", store, primaryCount)
		}
		for _, partition := range sim.current.Table.Partitions {
			first, second := partition.Replicas[0].Store, partition.Replicas[1].Store
			assert.Assert(t, sim.nodes[first].Info.Zone != sim.nodes[second].Info.Zone)
		}
	}
}

func TestInitialPlacementWaitsForEnoughStores(t *testing.T) {
	sim := newPlacementSimulation(t, 3, "a", "b")
	assert.NilError(t, sim.plan())
	assert.Equal(t, len(sim.current.Table.Partitions), 0)
}

func TestStoreDownIsReplacedAndBackupsArePromoted(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b", "c", "d")
	assert.NilError(t, sim.plan())
	sim.stop("a")
	assert.NilError(t, sim.plan())
	for _, partition := range sim.current.Table.Partitions {
		assert.Equal(t, partition.IndexOf("a"), -1)
		assert.Equal(t, len(partition.Replicas), 2)
	}
	sim.converge()
	sim.requireComplete()
}

func TestReturnedStoreGetsPartitionsAgain(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b", "c")
	assert.NilError(t, sim.plan())
	sim.stop("a")
	sim.converge()
	assert.Equal(t, sim.primaryCount("a"), 0)
	sim.start("a", "zone-0", "another-disk")
	sim.converge()
	sim.requireComplete()
	for _, store := range []string{"a", "b", "c"} {
		assert.Assert(t, sim.primaryCount(store) >= 10, "%s leads %d", store, sim.primaryCount(store))
	}
}

func TestAnotherDiskIsAnotherReplica(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b", "c")
	assert.NilError(t, sim.plan())
	sim.start("a", "zone-0", "another-disk")
	assert.NilError(t, sim.plan())
	for _, partition := range sim.current.Table.Partitions {
		for i, replica := range partition.Replicas {
			assert.Assert(t, replica.DiskID != "disk-a")
			assert.Assert(t, replica.Store != "a" || !replica.Synced && i > 0)
		}
	}
	sim.converge()
	sim.requireComplete()
}

func TestPartitionWithoutALiveSyncedReplicaIsNotChanged(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b", "c", "d")
	assert.NilError(t, sim.plan())
	before := sim.current.Table.Partitions
	for store := range sim.nodes {
		sim.stop(store)
	}
	assert.NilError(t, sim.plan())
	for id, partition := range sim.current.Table.Partitions {
		assert.Assert(t, equalPartitions(partition, before[id]))
	}
	for _, store := range []string{"a", "b", "c", "d"} {
		sim.start(store, "zone", "disk-"+store)
	}
	assert.NilError(t, sim.plan())
	for id, partition := range sim.current.Table.Partitions {
		assert.Assert(t, equalPartitions(partition, before[id]))
	}
}

func TestReplicasAreKeptWhileOtherStoresMayHaveFailedToo(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b", "c", "d")
	assert.NilError(t, sim.plan())
	before := sim.current.Table.Partitions
	for store, node := range sim.nodes {
		node.Recent = false // the leases of the others are valid but were not renewed recently
		sim.nodes[store] = node
	}
	sim.stop("a")
	assert.NilError(t, sim.plan())
	for id, partition := range sim.current.Table.Partitions {
		assert.Assert(t, equalPartitions(partition, before[id]))
	}
}

func TestDeadBackupIsKeptWhenNoStoreCanReplaceIt(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b")
	assert.NilError(t, sim.plan())
	sim.stop("a")
	assert.NilError(t, sim.plan())
	for _, partition := range sim.current.Table.Partitions {
		assert.Equal(t, partition.Replicas[0].Store, "b")
		assert.Equal(t, partition.Replicas[1].Store, "a")
	}
}

func TestFailingDiskCountsAsDown(t *testing.T) {
	sim := newPlacementSimulation(t, 2, "a", "b", "c")
	assert.NilError(t, sim.plan())
	sim.change("a", func(info *cluster.NodeInfo) { info.DiskFailing = true })
	sim.converge()
	sim.requireComplete()
	for _, partition := range sim.current.Table.Partitions {
		assert.Equal(t, partition.IndexOf("a"), -1)
	}
}

func TestPartitionCountGrowsWithTheStores(t *testing.T) {
	for stores, partitions := range map[int]int{1: 64, 17: 64, 22: 128, 100: 512, 6500: 32_768} {
		assert.Equal(t, partitionCount(stores), partitions, "%d stores", stores)
	}
}

// TestLargeLossIsRepairedInSteps loses a quarter of 700 stores. Each step must repair at most repairsAtOnce partitions,
// those whose primary is down first.
func TestLargeLossIsRepairedInSteps(t *testing.T) {
	const stores = 700
	var names []string
	for i := range stores {
		names = append(names, fmt.Sprintf("store-%03d", i))
	}
	sim := newPlacementSimulation(t, 2, names...)
	assert.NilError(t, sim.plan())
	for i := 0; i < stores; i += 4 {
		sim.stop(names[i])
	}
	steps := 0
	for before := uint64(0); sim.current.Table.Revision != before; steps++ {
		before = sim.current.Table.Revision
		builder := NewBuilder(sim.current, sim.nodes, sim.redundancy())
		builder.UpdateStores()
		more := builder.Repair()
		changed := changedPartitions(builder.partitions, sim.current.Table.Partitions)
		assert.Assert(t, len(changed) <= repairsAtOnce)
		assert.Equal(t, more, len(changed) == repairsAtOnce)
		if more {
			leaderless := slices.ContainsFunc(builder.partitions, builder.leaderless)
			assert.Assert(t, !leaderless || steps == 0)
		}
		if change := builder.Diff(sim.current); change != nil {
			sim.current = sim.current.WithTableChange(change)
		}
	}
	assert.Assert(t, steps > 2, "%d steps", steps)
	for _, partition := range sim.current.Table.Partitions {
		for _, replica := range partition.Replicas {
			assert.Assert(t, sim.nodes[replica.Store].Live)
		}
		assert.Equal(t, len(partition.Replicas), 2)
	}
}
