// Package placement decides which stores hold and lead which partitions.
//
// The package does no I/O. A Builder starts as a copy of the current cluster table. It applies the state of the stores'
// leases and the requests of primaries and operators, and it places, repairs and balances the partitions. Diff returns
// the resulting change of the table. The package starts no goroutine, takes no lock and reads no clock: the time is an
// argument. A Builder belongs to one goroutine.
//
// The published table is immutable. Replica lists are shared with it, so they are replaced and never changed in place.
// Every change of the table keeps these invariants:
//
//   - only a synced replica becomes a primary, so no partition is led by a store that lacks its data. If none is left, a
//     recovery begins (recovery.go): its primary first collects the messages of all other replicas that are left;
//   - a replica that leaves a group is retained until the group is complete (retained.go);
//   - a partition's epoch grows with every change of its replicas, which fences the former primary;
//   - a replica is dropped only while enough others stay, or another store takes its place;
//   - a store that is listed with another disk is another replica.
//
// The changes of one step are bounded (repairsAtOnce, movesAtOnce), so that the loss of a zone does not block the
// primary of the control group. Start reading at Builder, then at repairPartition in repair.go.
package placement

import (
	"slices"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
	"gladepick/internal/controlplane/lease"
)

// Redundancy is the number of replicas of a partition and the number of zones that hold them. It follows from the
// losses that a partition must survive.
type Redundancy struct {
	ReplicationFactor int // replicas of each partition: one more than the disks that may be lost at once
	// Zones is the number of zones that hold the replicas of a partition, as far as there are stores in them: one more
	// than the zones that may be lost at once. All further replicas are in the primary's zone, because replication within
	// a zone causes no traffic between zones.
	Zones int
}

// Builder is a cluster table that is being built.
type Builder struct {
	Redundancy

	primary             string
	controlGroup        []cluster.ControlMember
	stores              []cluster.StoreEntry // by name
	partitions          []cluster.Partition
	jobs                []controlstate.RetireJob
	deliveringStores    int
	nodes               map[string]lease.Status
	expectedBack        map[string]bool   // stores that are down and are expected to restart soon
	aliveDisks          map[string]string // disk of each store that can serve, by store; see indexAliveDisks
	replicaCountByStore map[string]int    // see replicaCounts; nil until it is needed
}

// NewBuilder returns a Builder that starts from the current table. nodes holds the lease of each process by its name.
func NewBuilder(current *controlstate.State, nodes map[string]lease.Status, required Redundancy) *Builder {
	table := current.Table
	builder := &Builder{
		Redundancy:       required,
		primary:          table.Primary,
		controlGroup:     table.ControlGroup,
		stores:           slices.Clone(table.Stores),
		partitions:       slices.Clone(table.Partitions),
		jobs:             slices.Clone(current.Jobs),
		deliveringStores: table.DeliveringStores,
		nodes:            nodes,
	}
	builder.indexAliveDisks()
	return builder
}

// StoreCount returns how many stores the table lists.
func (b *Builder) StoreCount() int { return len(b.stores) }

// store returns the entry of a store, or nil.
func (b *Builder) store(name string) *cluster.StoreEntry {
	position, found := slices.BinarySearchFunc(b.stores, name, cluster.CompareStoreName)
	if !found {
		return nil
	}
	return &b.stores[position]
}

// alive reports whether a replica can serve: its store is up and has the disk that holds the replica.
func (b *Builder) alive(replica cluster.Replica) bool {
	disk, up := b.aliveDisks[replica.Store]
	return up && disk == replica.DiskID
}

// staying reports whether a replica is alive and is not going to be replaced.
func (b *Builder) staying(replica cluster.Replica) bool {
	return b.alive(replica) && !b.leaving(replica)
}

// leaving reports whether a replica is going to be dropped once another one is synced in its place.
func (b *Builder) leaving(replica cluster.Replica) bool {
	return replica.Suspected || b.retiring(replica)
}

func (b *Builder) retiring(replica cluster.Replica) bool {
	return controlstate.FindJob(b.jobs, replica.Store, replica.DiskID) != nil
}

// recent reports whether a replica is alive and its store has renewed its lease so recently that it did not fail
// together with the stores that are found down now.
func (b *Builder) recent(replica cluster.Replica) bool {
	return b.alive(replica) && b.nodes[replica.Store].Recent
}
