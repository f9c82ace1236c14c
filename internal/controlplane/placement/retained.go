package placement

import (
	"slices"

	"gladepick/internal/cluster"
)

// retainedAfter returns the retained replicas of the view that follows another one: all replicas that have left the
// group since it was last complete. Each message was acknowledged by all replicas of a view, and each view has more
// replicas than may be lost, so one of them or of the current replicas has it.
func (b *Builder) retainedAfter(before, next cluster.Partition) []cluster.RetainedReplica {
	if next.SyncedReplicas() >= b.ReplicationFactor {
		return nil
	}
	var retained []cluster.RetainedReplica
	for _, replica := range before.Retained {
		if !holdsReplica(next.Replicas, replica.Store, replica.DiskID) {
			retained = append(retained, replica)
		}
	}
	for _, replica := range before.Replicas {
		if !holdsReplica(next.Replicas, replica.Store, replica.DiskID) {
			retained = append(retained, cluster.RetainedReplica{
				Store: replica.Store, DiskID: replica.DiskID, Epoch: before.Epoch,
			})
		}
	}
	return retained
}

// holdsReplica reports whether a replica group has a replica at a store with a disk.
func holdsReplica(replicas []cluster.Replica, store, diskID string) bool {
	return slices.ContainsFunc(replicas, func(replica cluster.Replica) bool {
		return replica.Store == store && replica.DiskID == diskID
	})
}
