package controlplane

import (
	"slices"

	"gladepick/internal/cluster"
)

// repairsAtOnce bounds the views that one step changes, so that the loss of a zone does not hold up the primary of the
// control group for longer than its lease.
const repairsAtOnce = 512

// repair brings replica groups in line with the stores: it promotes a synced backup where a primary is down, replaces
// copies that are lost or to be moved, and drops those that are too many. Partitions that nobody leads come first. It
// tells whether there may be more to do.
func (d *draft) repair() bool {
	changed := 0
	for _, urgent := range []bool{true, false} {
		for i := range d.partitions {
			if d.leaderless(d.partitions[i]) != urgent {
				continue
			}
			next := d.repairPartition(d.partitions[i])
			if equalPartitions(next, d.partitions[i]) {
				continue
			}
			d.setPartition(i, next)
			changed++
			if changed >= repairsAtOnce {
				return true
			}
		}
	}
	return false
}

// leaderless tells whether a partition's primary is down.
func (d *draft) leaderless(partition cluster.Partition) bool {
	primary, found := partition.Primary()
	return found && !d.alive(primary)
}

func (d *draft) repairPartition(partition cluster.Partition) cluster.Partition {
	if d.settled(partition) || slices.ContainsFunc(partition.Replicas, d.expectsBack) {
		return partition
	}
	next := partition
	next.Replicas = slices.Clone(partition.Replicas)
	if !d.promote(&next) {
		return partition // nobody who may lead is alive: the group waits for them
	}
	d.dropDead(&next)
	d.addMissing(&next)
	d.dropSurplus(&next)
	d.chooseWanted(&next)
	if !slices.Equal(next.Replicas, partition.Replicas) {
		next.Epoch++
	}
	return next
}

// settled tells whether a replica group is as it should be.
func (d *draft) settled(partition cluster.Partition) bool {
	if partition.PreferredPrimary != "" || len(partition.Replicas) != d.copies {
		return false
	}
	return d.stayingCopies(partition.Replicas) == d.copies
}

// promote makes sure that the first replica is alive. It returns false where no synced replica surely is.
func (d *draft) promote(partition *cluster.Partition) bool {
	primary, found := partition.Primary()
	if !found {
		return false
	}
	if d.alive(primary) {
		return d.recent(primary) || d.allAlive(partition.Replicas)
	}
	successor := d.successor(partition, nil)
	if successor < 0 {
		return false
	}
	promoted := partition.Replicas[successor]
	others := slices.Delete(slices.Clone(partition.Replicas), successor, successor+1)
	partition.Replicas = append([]cluster.Replica{promoted}, append(others[1:], primary)...)
	return true
}

func (d *draft) allAlive(replicas []cluster.Replica) bool {
	return !slices.ContainsFunc(replicas, func(replica cluster.Replica) bool { return !d.alive(replica) })
}

// successor returns the position of the backup that is to lead next, or -1: the wanted one, else the first that stays,
// else the first that is still alive. Where some are named, it is one of them.
func (d *draft) successor(partition *cluster.Partition, among []string) int {
	fallback := -1
	best := -1
	for i := 1; i < len(partition.Replicas); i++ {
		replica := partition.Replicas[i]
		if !replica.Synced || !d.recent(replica) || len(among) > 0 && !slices.Contains(among, replica.Store) {
			continue
		}
		if d.store(replica.Store).State != cluster.StoreActive {
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

// dropDead removes backups that are down, unless the group would have too few copies and no store can take their place.
func (d *draft) dropDead(partition *cluster.Partition) {
	for i := len(partition.Replicas) - 1; i > 0; i-- {
		if d.alive(partition.Replicas[i]) {
			continue
		}
		d.dropBackup(partition, i)
	}
}

// dropBackup removes a backup, and puts another store in its place where copies are missing. It returns false, and
// changes nothing, where copies would be missing and no store can be had.
func (d *draft) dropBackup(partition *cluster.Partition, position int) bool {
	dropped := partition.Replicas[position]
	remaining := slices.Delete(slices.Clone(partition.Replicas), position, position+1)
	if d.stayingCopies(remaining) < d.copies {
		exclude := ""
		if d.alive(dropped) {
			exclude = dropped.Store
		}
		replacement := d.replacement(remaining, exclude)
		if replacement == nil {
			return false
		}
		remaining = append(remaining, replicaAt(*replacement, false))
	}
	partition.Replicas = remaining
	return true
}

func (d *draft) stayingCopies(replicas []cluster.Replica) int {
	count := 0
	for _, replica := range replicas {
		if d.staying(replica) {
			count++
		}
	}
	return count
}

// addMissing adds backups until enough stores that stay hold the partition.
func (d *draft) addMissing(partition *cluster.Partition) {
	for d.stayingCopies(partition.Replicas) < d.copies {
		replacement := d.replacement(partition.Replicas, "")
		if replacement == nil {
			return
		}
		partition.Replicas = append(partition.Replicas, replicaAt(*replacement, false))
	}
}

// dropSurplus removes backups that are not needed any more, for as long as enough whole copies stay.
func (d *draft) dropSurplus(partition *cluster.Partition) {
	for len(partition.Replicas) > d.copies {
		position := d.surplus(partition)
		if position < 0 {
			return
		}
		partition.Replicas = slices.Delete(partition.Replicas, position, position+1)
	}
}

// surplus returns the position of the backup that can best be spared, or -1: a retiring one, then one that is not
// synced, then the one whose store holds the most copies.
func (d *draft) surplus(partition *cluster.Partition) int {
	load := d.replicaCounts()
	best, bestRank := -1, 0
	for i := 1; i < len(partition.Replicas); i++ {
		replica := partition.Replicas[i]
		rest := slices.Delete(slices.Clone(partition.Replicas), i, i+1)
		if replica.Store == partition.PreferredPrimary || d.syncedCopies(rest) < d.copies {
			continue
		}
		if rank := d.surplusRank(replica, load); best < 0 || rank > bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

func (d *draft) surplusRank(replica cluster.Replica, load map[string]int) int {
	retiring, unsynced := 2*len(d.partitions), len(d.partitions)+1
	switch {
	case d.retiring(replica):
		return retiring
	case !replica.Synced:
		return unsynced
	}
	return load[replica.Store]
}

// chooseWanted keeps the wish for another primary only while it makes sense, and wishes for one where the primary is
// to be emptied.
func (d *draft) chooseWanted(partition *cluster.Partition) {
	primary := partition.Replicas[0]
	if partition.PreferredPrimary != "" && !d.mayLead(partition, partition.PreferredPrimary) {
		partition.PreferredPrimary = ""
	}
	if partition.PreferredPrimary != "" || !d.retiring(primary) {
		return
	}
	for _, replica := range partition.Replicas[1:] {
		if replica.Synced && d.mayLead(partition, replica.Store) {
			partition.PreferredPrimary = replica.Store
			return
		}
	}
}

// mayLead tells whether a store is an active backup of a partition.
func (d *draft) mayLead(partition *cluster.Partition, store string) bool {
	position := partition.Find(store)
	if position <= 0 || !d.staying(partition.Replicas[position]) {
		return false
	}
	return d.store(store).State == cluster.StoreActive
}
