package controlplane

import (
	"slices"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
	"gladepick/internal/controlplane/lease"
)

// draft is a cluster table in the making. It starts as a copy of the current one; what differs at the end is proposed.
// Replica lists are shared with the current table and replaced, never changed in place.
type draft struct {
	primary    string
	core       []cluster.CoreEntry
	stores     []cluster.StoreEntry // by name
	partitions []cluster.Partition
	jobs       []controlstate.RetireJob
	redundancy
	deliverers int
	nodes      map[string]lease.Status
	held       map[string]bool   // stores that are down, and are expected back soon
	aliveDisks map[string]string // the disks of the stores that can serve, by store; see noteAlive
	copyCounts map[string]int    // by store, see replicaCounts; nil until they are needed
}

func newDraft(current *controlstate.State, nodes map[string]lease.Status, required redundancy) *draft {
	table := current.Table
	made := &draft{
		primary:    table.Primary,
		core:       table.Core,
		stores:     slices.Clone(table.Stores),
		partitions: slices.Clone(table.Partitions),
		jobs:       slices.Clone(current.Jobs),
		redundancy: required,
		deliverers: table.Deliverers,
		nodes:      nodes,
	}
	made.noteAlive()
	return made
}

// diff returns the change that leads from the current state to the draft, or nil where they are alike.
func (d *draft) diff(current *controlstate.State) *controlstate.TableChange {
	table := current.Table
	change := &controlstate.TableChange{}
	change.Base = table.Revision
	empty := true
	if d.primary != table.Primary {
		change.Primary, empty = d.primary, false
	}
	if !slices.Equal(d.core, table.Core) {
		change.Core, empty = d.core, false
	}
	if d.copies != table.Copies {
		change.Copies, empty = d.copies, false
	}
	if d.deliverers != table.Deliverers {
		change.Deliverers, empty = d.deliverers, false
	}
	change.Stores = differing(d.stores, table.Stores, func(a, b cluster.StoreEntry) bool { return a == b })
	change.Partitions = changedPartitions(d.partitions, table.Partitions)
	change.Jobs = differing(d.jobs, current.Jobs, func(a, b controlstate.RetireJob) bool { return a == b })
	if empty && len(change.Stores)+len(change.Partitions)+len(change.Jobs) == 0 {
		return nil
	}
	return change
}

// changedPartitions returns the views that differ from those of another list. A partition's place in both is its id.
func changedPartitions(partitions, others []cluster.Partition) []cluster.Partition {
	var changed []cluster.Partition
	for i, partition := range partitions {
		if i >= len(others) || !equalPartitions(partition, others[i]) {
			changed = append(changed, partition)
		}
	}
	return changed
}

// differing returns the values that are not in another list.
func differing[Value any](values, others []Value, equal func(a, b Value) bool) []Value {
	var result []Value
	for i, value := range values {
		if i < len(others) && equal(value, others[i]) {
			continue
		}
		known := slices.ContainsFunc(others, func(other Value) bool { return equal(value, other) })
		if !known {
			result = append(result, value)
		}
	}
	return result
}

func equalPartitions(a, b cluster.Partition) bool {
	return a.ID == b.ID && a.Epoch == b.Epoch && a.PreferredPrimary == b.PreferredPrimary && slices.Equal(a.Replicas, b.Replicas)
}

// store returns the entry of a store, or nil.
func (d *draft) store(name string) *cluster.StoreEntry {
	position, found := slices.BinarySearchFunc(d.stores, name, cluster.CompareStoreName)
	if !found {
		return nil
	}
	return &d.stores[position]
}

// alive tells whether a replica can serve: its store is up, and has the disk that holds the copy.
func (d *draft) alive(replica cluster.Replica) bool {
	disk, up := d.aliveDisks[replica.Store]
	return up && disk == replica.DiskID
}

// staying tells whether a replica is alive and is not to be emptied.
func (d *draft) staying(replica cluster.Replica) bool {
	return d.alive(replica) && !d.retiring(replica)
}

func (d *draft) retiring(replica cluster.Replica) bool {
	return controlstate.FindJob(d.jobs, replica.Store, replica.DiskID) != nil
}

// recent tells whether a replica's store surely outlived those that have been found dead now.
func (d *draft) recent(replica cluster.Replica) bool {
	return d.alive(replica) && d.nodes[replica.Store].Recent
}

func (d *draft) zone(store string) string {
	if entry := d.store(store); entry != nil {
		return entry.Zone
	}
	return ""
}
