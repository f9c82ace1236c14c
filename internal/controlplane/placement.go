package controlplane

import (
	"slices"

	"gladepick/internal/cluster"
)

const (
	// LeastPartitions is the number of partitions of a small system.
	LeastPartitions = 64
	// partitionsPerStore is how many there are at least for each store that is there at the founding.
	partitionsPerStore = 3
)

// partitionCount is the number of partitions of a system that is founded with so many stores, a power of two. It stays
// for the system's life: message ids name their partitions.
func partitionCount(stores int) int {
	count := LeastPartitions
	for count < partitionsPerStore*stores {
		count *= 2
	}
	return count
}

// placeInitially spreads all partitions over the active stores, if there are enough of them for all copies.
func (d *draft) placeInitially() {
	stores := d.activeStores()
	if len(d.partitions) > 0 || len(stores) < d.copies {
		return
	}
	stores = interleaveZones(stores, func(entry cluster.StoreEntry) string { return entry.Zone })
	for id := range partitionCount(len(stores)) {
		first := stores[id%len(stores)]
		partition := cluster.Partition{ID: id, Epoch: 1, Replicas: []cluster.Replica{replicaAt(first, true)}}
		for len(partition.Replicas) < d.copies {
			next := d.replacement(partition.Replicas, "")
			partition.Replicas = append(partition.Replicas, replicaAt(*next, true))
		}
		d.partitions = append(d.partitions, cluster.Partition{ID: id})
		d.setPartition(id, partition)
	}
}

// setPartition puts a partition's view into the draft. All changes of views go through it.
func (d *draft) setPartition(id int, view cluster.Partition) {
	if d.copyCounts != nil {
		for _, replica := range d.partitions[id].Replicas {
			d.copyCounts[replica.Store]--
		}
		for _, replica := range view.Replicas {
			d.copyCounts[replica.Store]++
		}
	}
	d.partitions[id] = view
}

func replicaAt(store cluster.StoreEntry, synced bool) cluster.Replica {
	return cluster.Replica{Store: store.Name, DiskID: store.DiskID, Synced: synced}
}

// activeStores returns the stores that may be given partitions, by name.
func (d *draft) activeStores() []cluster.StoreEntry {
	var active []cluster.StoreEntry
	for _, entry := range d.stores {
		if entry.State == cluster.StoreActive {
			active = append(active, entry)
		}
	}
	return active
}

// interleaveZones orders values so that neighbours stand in different zones where possible.
func interleaveZones[Value any](values []Value, zoneOf func(Value) string) []Value {
	var zones []string
	byZone := map[string][]Value{}
	for _, value := range values {
		zone := zoneOf(value)
		if len(byZone[zone]) == 0 {
			zones = append(zones, zone)
		}
		byZone[zone] = append(byZone[zone], value)
	}
	slices.Sort(zones)
	ordered := make([]Value, 0, len(values))
	for rank := 0; len(ordered) < len(values); rank++ {
		for _, zone := range zones {
			if rank < len(byZone[zone]) {
				ordered = append(ordered, byZone[zone][rank])
			}
		}
	}
	return ordered
}

// redundancy is what the copies of a partition must outlive.
type redundancy struct {
	copies int // of each partition: one more than disks may be lost at once
	// zones is in how many zones the copies stand where there are stores: one more than zones may be lost at once. All
	// further copies stand in the primary's zone, where their bytes cross no border.
	zones int
}

// replacement returns the active store that is the best place for one more copy beside the given ones, or nil: one in
// a zone that suits the spread, then the one with the fewest copies, then the first by name. One store may be excluded.
func (d *draft) replacement(replicas []cluster.Replica, exclude string) *cluster.StoreEntry {
	load := d.replicaCounts()
	suits := zoneForCopy(d.zonesOf(replicas), d.zones)
	var best *cluster.StoreEntry
	bestSuits := false
	for i := range d.stores {
		candidate := &d.stores[i]
		if candidate.State != cluster.StoreActive || candidate.Name == exclude || holds(replicas, candidate.Name) {
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

func holds(replicas []cluster.Replica, store string) bool {
	return slices.ContainsFunc(replicas, func(replica cluster.Replica) bool { return replica.Store == store })
}

// zoneForCopy tells which zones suit one more copy beside those in the given zones, the primary's first, where the copies
// are to stand in a number of zones.
func zoneForCopy(taken []string, spread int) func(zone string) bool {
	distinct := slices.Compact(slices.Sorted(slices.Values(taken)))
	if len(distinct) < spread {
		return func(zone string) bool { return !slices.Contains(distinct, zone) }
	}
	return func(zone string) bool { return zone == taken[0] }
}

// zonesOf returns the zones that replicas stand in.
func (d *draft) zonesOf(replicas []cluster.Replica) []string {
	zones := make([]string, 0, len(replicas))
	for _, replica := range replicas {
		zones = append(zones, d.zone(replica.Store))
	}
	return zones
}

// replicaCounts counts the copies that each store holds. They are counted once and kept up to date.
func (d *draft) replicaCounts() map[string]int {
	if d.copyCounts != nil {
		return d.copyCounts
	}
	d.copyCounts = make(map[string]int, len(d.stores))
	for _, partition := range d.partitions {
		for _, replica := range partition.Replicas {
			d.copyCounts[replica.Store]++
		}
	}
	return d.copyCounts
}

// primaryCounts counts the partitions that each store leads, or is to lead.
func (d *draft) primaryCounts() map[string]int {
	counts := make(map[string]int, len(d.stores))
	for _, partition := range d.partitions {
		switch primary, found := partition.Primary(); {
		case partition.PreferredPrimary != "":
			counts[partition.PreferredPrimary]++
		case found:
			counts[primary.Store]++
		}
	}
	return counts
}
