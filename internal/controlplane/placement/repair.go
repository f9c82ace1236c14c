package placement

import (
	"slices"

	"gladepick/internal/cluster"
)

// repairsAtOnce bounds the number of views that one step changes, so that the loss of a zone does not block the primary
// of the control group for longer than its lease.
const repairsAtOnce = 512

// Repair adjusts the replica groups to the state of the stores: it promotes a synced backup if a primary is down,
// replaces replicas that are lost or leaving, and drops surplus replicas. Partitions whose primary is down come first.
// It reports whether it stopped at repairsAtOnce, so that there may be more to repair.
func (b *Builder) Repair() bool {
	changed := 0
	for _, urgent := range []bool{true, false} {
		for i := range b.partitions {
			if b.leaderless(b.partitions[i]) != urgent {
				continue
			}
			next := b.repairPartition(b.partitions[i])
			if equalPartitions(next, b.partitions[i]) {
				continue
			}
			b.setPartition(i, next)
			changed++
			if changed >= repairsAtOnce {
				return true
			}
		}
	}
	return false
}

// leaderless reports whether a partition's primary is down.
func (b *Builder) leaderless(partition cluster.Partition) bool {
	primary, found := partition.Primary()
	return found && !b.alive(primary)
}

// repairPartition returns a partition's view after one repair. The view is unchanged if it needs no repair, if one of
// its stores is expected to restart, or if no replica that may lead is alive and too few are for a recovery.
func (b *Builder) repairPartition(partition cluster.Partition) cluster.Partition {
	if slices.ContainsFunc(partition.Replicas, b.isExpectedBack) {
		return partition
	}
	if partition.Collecting() {
		return b.repairCollecting(partition)
	}
	if b.hasDesiredReplicas(partition) {
		return partition
	}
	next := partition
	next.Replicas = slices.Clone(partition.Replicas)
	if !b.promote(&next) {
		if b.leaderless(partition) && b.hasNoSyncedReplica(partition) {
			partition, _ = b.recoveryView(partition, "")
		}
		return partition
	}
	b.dropDead(&next)
	b.addMissing(&next)
	b.dropSurplus(&next)
	b.choosePreferredPrimary(&next)
	if !slices.Equal(next.Replicas, partition.Replicas) {
		next.Epoch++
	}
	return next
}

// hasDesiredReplicas reports whether a replica group needs no repair: it has ReplicationFactor replicas, all of them
// stay, and no other primary is preferred.
func (b *Builder) hasDesiredReplicas(partition cluster.Partition) bool {
	if partition.PreferredPrimary != "" || len(partition.Replicas) != b.ReplicationFactor {
		return false
	}
	return b.stayingReplicas(partition.Replicas) == b.ReplicationFactor
}

// promote makes a synced, live backup the primary if the primary is down. It returns false if the replica group must
// not be changed now: because no replica may lead, or because the primary itself may have failed together with the
// stores that were just found down (see lease.Status.Recent).
func (b *Builder) promote(partition *cluster.Partition) bool {
	primary, found := partition.Primary()
	if !found {
		return false
	}
	if b.alive(primary) {
		return b.recent(primary) || b.allAlive(partition.Replicas)
	}
	successor := b.successor(partition, nil)
	if successor < 0 {
		return false
	}
	promoted := partition.Replicas[successor]
	promoted.Suspected = false
	others := slices.Delete(slices.Clone(partition.Replicas), successor, successor+1)
	partition.Replicas = append([]cluster.Replica{promoted}, append(others[1:], primary)...)
	return true
}

// allAlive reports whether every replica is alive.
func (b *Builder) allAlive(replicas []cluster.Replica) bool {
	return !slices.ContainsFunc(replicas, func(replica cluster.Replica) bool { return !b.alive(replica) })
}

// successor returns the position of the synced backup that is to lead next, or -1 if there is none. It prefers the
// preferred primary, then the first backup that is not suspected and whose store is active, then the first of the
// others: a suspected backup holds all data, but is the last choice. If among is not empty, only the stores that it
// names are considered.
func (b *Builder) successor(partition *cluster.Partition, among []string) int {
	fallback := -1
	best := -1
	for i := 1; i < len(partition.Replicas); i++ {
		replica := partition.Replicas[i]
		if !replica.Synced || !b.recent(replica) || len(among) > 0 && !slices.Contains(among, replica.Store) {
			continue
		}
		if b.store(replica.Store).State != cluster.StoreActive || replica.Suspected {
			if fallback < 0 {
				fallback = i
			}
			continue
		}
		if replica.Store == partition.PreferredPrimary {
			return i
		}
		if best < 0 {
			best = i
		}
	}
	if best < 0 {
		return fallback
	}
	return best
}

// dropDead removes backups that are down. A backup is kept if the group would have too few replicas and no other store
// can replace it.
func (b *Builder) dropDead(partition *cluster.Partition) {
	for i := len(partition.Replicas) - 1; i > 0; i-- {
		if b.alive(partition.Replicas[i]) {
			continue
		}
		b.dropBackup(partition, i)
	}
}

// dropBackup removes a backup. If too few replicas would remain, it adds an unsynced replica at another store. If no
// store is available for that, it returns false and changes nothing.
func (b *Builder) dropBackup(partition *cluster.Partition, position int) bool {
	dropped := partition.Replicas[position]
	remaining := slices.Delete(slices.Clone(partition.Replicas), position, position+1)
	if b.stayingReplicas(remaining) < b.ReplicationFactor {
		exclude := ""
		if b.alive(dropped) {
			exclude = dropped.Store
		}
		replacement := b.replacement(remaining, exclude)
		if replacement == nil {
			return false
		}
		remaining = append(remaining, replicaAt(*replacement, false))
	}
	partition.Replicas = remaining
	return true
}

// stayingReplicas returns the number of replicas that are alive and are not going to be replaced.
func (b *Builder) stayingReplicas(replicas []cluster.Replica) int {
	count := 0
	for _, replica := range replicas {
		if b.staying(replica) {
			count++
		}
	}
	return count
}

// addMissing adds unsynced backups until enough replicas stay or no store is available.
func (b *Builder) addMissing(partition *cluster.Partition) {
	for b.stayingReplicas(partition.Replicas) < b.ReplicationFactor {
		replacement := b.replacement(partition.Replicas, "")
		if replacement == nil {
			return
		}
		partition.Replicas = append(partition.Replicas, replicaAt(*replacement, false))
	}
}

// dropSurplus removes backups that are no longer needed, as long as enough synced replicas stay.
func (b *Builder) dropSurplus(partition *cluster.Partition) {
	for len(partition.Replicas) > b.ReplicationFactor {
		position := b.surplus(partition)
		if position < 0 {
			return
		}
		partition.Replicas = slices.Delete(partition.Replicas, position, position+1)
	}
}

// surplus returns the position of the backup to remove, or -1 if all are needed. It prefers a backup that is leaving,
// then one that is not synced, then the one whose store holds the most replicas.
func (b *Builder) surplus(partition *cluster.Partition) int {
	load := b.replicaCounts()
	best, bestRank := -1, 0
	for i := 1; i < len(partition.Replicas); i++ {
		replica := partition.Replicas[i]
		rest := slices.Delete(slices.Clone(partition.Replicas), i, i+1)
		if replica.Store == partition.PreferredPrimary || b.syncedReplicas(rest) < b.ReplicationFactor {
			continue
		}
		if rank := b.surplusRank(replica, load); best < 0 || rank > bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// surplusRank returns the rank of a backup in the choice of surplus: the backup with the highest rank is removed. load
// is the number of replicas at each store.
func (b *Builder) surplusRank(replica cluster.Replica, load map[string]int) int {
	leaving, unsynced := 2*len(b.partitions), len(b.partitions)+1
	switch {
	case b.leaving(replica):
		return leaving
	case !replica.Synced:
		return unsynced
	}
	return load[replica.Store]
}

// choosePreferredPrimary clears the preferred primary if it may not lead any more. If the primary's store is retiring
// and no other primary is preferred, it sets a synced backup that may lead.
func (b *Builder) choosePreferredPrimary(partition *cluster.Partition) {
	primary := partition.Replicas[0]
	if partition.PreferredPrimary != "" && !b.mayLead(partition, partition.PreferredPrimary) {
		partition.PreferredPrimary = ""
	}
	if partition.PreferredPrimary != "" || !b.retiring(primary) {
		return
	}
	for _, replica := range partition.Replicas[1:] {
		if replica.Synced && b.mayLead(partition, replica.Store) {
			partition.PreferredPrimary = replica.Store
			return
		}
	}
}

// mayLead reports whether a store is active and holds a backup of the partition that stays.
func (b *Builder) mayLead(partition *cluster.Partition, store string) bool {
	position := partition.IndexOf(store)
	if position <= 0 || !b.staying(partition.Replicas[position]) {
		return false
	}
	return b.store(store).State == cluster.StoreActive
}
