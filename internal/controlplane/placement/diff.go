package placement

import (
	"slices"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
)

// Diff returns the change from the current state to the table that was built, or nil if there is none. The caller that
// proposes the change sets its ID.
func (b *Builder) Diff(current *controlstate.State) *controlstate.TableChange {
	table := current.Table
	change := &controlstate.TableChange{}
	change.Base = table.Revision
	empty := true
	if b.primary != table.Primary {
		change.Primary, empty = b.primary, false
	}
	if !slices.Equal(b.controlGroup, table.ControlGroup) {
		change.ControlGroup, empty = b.controlGroup, false
	}
	if b.ReplicationFactor != table.ReplicationFactor {
		change.ReplicationFactor, empty = b.ReplicationFactor, false
	}
	if b.deliveringStores != table.DeliveringStores {
		change.DeliveringStores, empty = b.deliveringStores, false
	}
	change.Stores = differing(b.stores, table.Stores, func(one, other cluster.StoreEntry) bool { return one == other })
	change.Partitions = changedPartitions(b.partitions, table.Partitions)
	change.Jobs = differing(b.jobs, current.Jobs, func(one, other controlstate.RetireJob) bool { return one == other })
	if empty && len(change.Stores)+len(change.Partitions)+len(change.Jobs) == 0 {
		return nil
	}
	return change
}

// changedPartitions returns the partitions whose views differ from those in another list. In both lists, a partition's
// index is its id.
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
	return a.ID == b.ID && a.Epoch == b.Epoch && a.PreferredPrimary == b.PreferredPrimary &&
		slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.Retained, b.Retained)
}
