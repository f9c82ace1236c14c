package placement

import (
	"slices"

	"gladepick/internal/cluster"
)

const (
	// MinPartitions is the smallest number of partitions.
	MinPartitions = 64
	// partitionsPerStore is the smallest number of partitions for each store that is active at the first placement.
	partitionsPerStore = 3
)

// partitionCount returns the number of partitions, a power of two, for a first placement on the given number of stores.
// The number never changes afterwards, because message ids contain the number of their partition.
func partitionCount(stores int) int {
	count := MinPartitions
	for count < partitionsPerStore*stores {
		count *= 2
	}
	return count
}

// PlaceInitially places all partitions on the active stores. It does nothing if partitions are placed already, or if
// there are fewer active stores than replicas of a partition.
func (b *Builder) PlaceInitially() {
	stores := b.activeStores()
	if len(b.partitions) > 0 || len(stores) < b.ReplicationFactor {
		return
	}
	stores = InterleaveZones(stores, func(entry cluster.StoreEntry) string { return entry.Zone })
	for id := range partitionCount(len(stores)) {
		first := stores[id%len(stores)]
		partition := cluster.Partition{ID: id, Epoch: 1, Replicas: []cluster.Replica{replicaAt(first, true)}}
		for len(partition.Replicas) < b.ReplicationFactor {
			next := b.replacement(partition.Replicas, "")
			partition.Replicas = append(partition.Replicas, replicaAt(*next, true))
		}
		b.partitions = append(b.partitions, cluster.Partition{ID: id})
		b.setPartition(id, partition)
	}
}

// setPartition sets a partition's view, with the replicas that it retains. All changes of views go through it, because
// it also updates replicaCountByStore.
func (b *Builder) setPartition(id int, view cluster.Partition) {
	view.Retained = b.retainedAfter(b.partitions[id], view)
	if b.replicaCountByStore != nil {
		for _, replica := range b.partitions[id].Replicas {
			b.replicaCountByStore[replica.Store]--
		}
		for _, replica := range view.Replicas {
			b.replicaCountByStore[replica.Store]++
		}
	}
	b.partitions[id] = view
}

// replicaAt returns a replica on a store's current disk.
func replicaAt(store cluster.StoreEntry, synced bool) cluster.Replica {
	return cluster.Replica{Store: store.Name, DiskID: store.DiskID, Synced: synced}
}

// activeStores returns the stores that may be given partitions, sorted by name.
func (b *Builder) activeStores() []cluster.StoreEntry {
	var active []cluster.StoreEntry
	for _, entry := range b.stores {
		if entry.State == cluster.StoreActive {
			active = append(active, entry)
		}
	}
	return active
}

// replacement returns the best active store for one more replica beside the given ones, or nil if there is none. It
// prefers stores in a zone that zoneForReplica accepts, then the store with the fewest replicas, then the first by
// name. The store named exclude, if any, is not considered.
func (b *Builder) replacement(replicas []cluster.Replica, exclude string) *cluster.StoreEntry {
	load := b.replicaCounts()
	suits := zoneForReplica(b.zonesOf(replicas), b.Zones)
	var best *cluster.StoreEntry
	bestSuits := false
	for i := range b.stores {
		candidate := &b.stores[i]
		if candidate.State != cluster.StoreActive || candidate.Name == exclude || hasReplicaAt(replicas, candidate.Name) {
			continue
		}
		suitable := suits(candidate.Zone)
		switch {
		case best == nil,
			suitable && !bestSuits,
			suitable == bestSuits && load[candidate.Name] < load[best.Name]:
			best, bestSuits = candidate, suitable
		}
	}
	return best
}

// hasReplicaAt reports whether one of the replicas is at a store.
func hasReplicaAt(replicas []cluster.Replica, store string) bool {
	return slices.ContainsFunc(replicas, func(replica cluster.Replica) bool { return replica.Store == store })
}

// replicaCounts returns the number of replicas at each store. They are counted on the first call; setPartition keeps
// the counts up to date.
func (b *Builder) replicaCounts() map[string]int {
	if b.replicaCountByStore != nil {
		return b.replicaCountByStore
	}
	b.replicaCountByStore = make(map[string]int, len(b.stores))
	for _, partition := range b.partitions {
		for _, replica := range partition.Replicas {
			b.replicaCountByStore[replica.Store]++
		}
	}
	return b.replicaCountByStore
}

// primaryCounts returns the number of partitions that each store leads. A partition with a preferred primary counts for
// that store.
func (b *Builder) primaryCounts() map[string]int {
	counts := make(map[string]int, len(b.stores))
	for _, partition := range b.partitions {
		switch primary, found := partition.Primary(); {
		case partition.PreferredPrimary != "":
			counts[partition.PreferredPrimary]++
		case found:
			counts[primary.Store]++
		}
	}
	return counts
}
