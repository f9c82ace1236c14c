package placement

import (
	"cmp"
	"slices"

	"gladepick/internal/cluster"
)

// A recovery replaces the primary of a partition that has no synced replica left. Its view has an unsynced primary, which
// collects the messages of all other replicas of the view and then asks to be marked as synced. Until then the partition
// accepts and delivers nothing.

// repairCollecting returns the view of a partition whose primary collects messages. The recovery begins again without
// the replicas that are no longer alive, if enough others are.
func (b *Builder) repairCollecting(partition cluster.Partition) cluster.Partition {
	if b.allAlive(partition.Replicas) {
		return partition
	}
	next, _ := b.recoveryView(partition, "")
	return next
}

// hasNoSyncedReplica reports whether no replica that is alive has all messages.
func (b *Builder) hasNoSyncedReplica(partition cluster.Partition) bool {
	return !slices.ContainsFunc(partition.Replicas, func(replica cluster.Replica) bool {
		return replica.Synced && b.alive(replica)
	})
}

// recoveryView returns the view of a recovery, with all replicas and retained replicas that are alive. It returns the
// partition unchanged, and false, while more of them are missing than may be lost: a message may be on no other. The
// store named exclude, if any, counts as missing, and so do stores of a version that can't collect messages.
func (b *Builder) recoveryView(partition cluster.Partition, exclude string) (cluster.Partition, bool) {
	candidates := recoveryCandidates(partition)
	var sources []cluster.Replica
	for _, candidate := range candidates {
		if b.recent(candidate) && b.nodes[candidate.Store].Info.CollectsMessages && candidate.Store != exclude {
			sources = append(sources, candidate)
		}
	}
	tolerated := b.ReplicationFactor - 1
	if len(sources) == 0 || len(candidates)-len(sources) > tolerated {
		return partition, false
	}
	slices.SortStableFunc(sources, func(x, y cluster.Replica) int {
		return cmp.Compare(b.leadershipRank(x), b.leadershipRank(y))
	})
	partition.Replicas = sources
	partition.PreferredPrimary = ""
	partition.Epoch++
	return partition, true
}

// restartRecovery begins a recovery again without a store that does not answer the primary.
func (b *Builder) restartRecovery(partition *cluster.Partition, exclude string) error {
	next, enough := b.recoveryView(*partition, exclude)
	if !enough {
		return &RequestError{Kind: ErrUnavailable, Message: "the recovery needs the messages of " + exclude}
	}
	*partition = next
	return nil
}

// recoveryCandidates returns all replicas and retained replicas of a partition, unsynced. The retained ones come first,
// the last removed one before the others, as they were most likely complete when they left the group.
func recoveryCandidates(partition cluster.Partition) []cluster.Replica {
	retained := slices.Clone(partition.Retained)
	slices.SortStableFunc(retained, func(x, y cluster.RetainedReplica) int { return cmp.Compare(y.Epoch, x.Epoch) })
	var candidates []cluster.Replica
	for _, replica := range retained {
		candidates = append(candidates, cluster.Replica{Store: replica.Store, DiskID: replica.DiskID})
	}
	for _, replica := range partition.Replicas {
		candidates = append(candidates, cluster.Replica{Store: replica.Store, DiskID: replica.DiskID})
	}
	return candidates
}

// leadershipRank returns 0 for a replica whose store may lead partitions, and 1 for one whose store shuts down or is
// being retired.
func (b *Builder) leadershipRank(replica cluster.Replica) int {
	if b.store(replica.Store).State == cluster.StoreActive {
		return 0
	}
	return 1
}
