package placement

import (
	"slices"

	"gladepick/internal/cluster"
)

const (
	// MinPartitions is the number of partitions of a small system.
	MinPartitions = 64
	// partitionsPerStore is how many there are at least for each store that is there at the first placement.
	partitionsPerStore = 3
)

// partitionCount is the number of partitions of a system that is first placed on so many stores, a power of two. It stays
// for as long as the system exists: message ids name their partitions.
func partitionCount(stores int) int {
	count := MinPartitions
	for count < partitionsPerStore*stores {
		count *= 2
	}
	return count
}

// PlaceInitially spreads all partitions over the active stores, if there are enough of them for all replicas.
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

// setPartition puts a partition's view into the table in the making. All changes of views go through it.
func (b *Builder) setPartition(id int, view cluster.Partition) {
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

// replicaAt returns the replica at a store's current disk.
func replicaAt(store cluster.StoreEntry, synced bool) cluster.Replica {
	return cluster.Replica{Store: store.Name, DiskID: store.DiskID, Synced: synced}
}

// activeStores returns the stores that may be given partitions, by name.
func (b *Builder) activeStores() []cluster.StoreEntry {
	var active []cluster.StoreEntry
	for _, entry := range b.stores {
		if entry.State == cluster.StoreActive {
			active = append(active, entry)
		}
	}
	return active
}

// replacement returns the active store that is the best place for one more replica beside the given ones, or nil: one in
// a zone that suits the spread, then the one with the fewest replicas, then the first by name. One store may be excluded.
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

// hasReplicaAt tells whether one of the replicas is at a store.
func hasReplicaAt(replicas []cluster.Replica, store string) bool {
	return slices.ContainsFunc(replicas, func(replica cluster.Replica) bool { return replica.Store == store })
}

// replicaCounts counts the replicas that each store holds. They are counted once and kept up to date.
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

// primaryCounts counts the partitions that each store leads, or is to lead.
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
