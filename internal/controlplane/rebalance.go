package controlplane

import (
	"slices"

	"gladepick/internal/cluster"
)

const (
	movesAtOnce = 4 // partitions that change their primary for balance at the same time
	spreadLimit = 2 // the most loaded store may lead so many times as many partitions as the least loaded one
)

// rebalance gives partitions to active stores that lead far fewer than others. It begins only while every partition
// has all its copies; a store that holds none first becomes a backup, and leads once it has synced.
func (d *draft) rebalance() {
	if len(d.partitions) == 0 || !d.whole() {
		return
	}
	for d.movesUnderway() < movesAtOnce {
		from, to, found := d.unbalanced()
		if !found || !d.move(from, to) {
			return
		}
	}
}

func (d *draft) movesUnderway() int {
	count := 0
	for _, partition := range d.partitions {
		if partition.PreferredPrimary != "" {
			count++
		}
	}
	return count
}

// unbalanced returns the most and the least loaded of the active stores, and false where they are near enough.
func (d *draft) unbalanced() (from, to string, found bool) {
	counts := d.primaryCounts()
	for _, entry := range d.activeStores() {
		if from == "" || counts[entry.Name] > counts[from] {
			from = entry.Name
		}
		if to == "" || counts[entry.Name] < counts[to] {
			to = entry.Name
		}
	}
	if from == to || counts[from] < 2 {
		return "", "", false
	}
	return from, to, counts[from] > spreadLimit*counts[to]
}

// move wishes for another primary of one partition, preferably of one that needs no copying for it.
func (d *draft) move(from, to string) bool {
	best := -1
	for i := range d.partitions {
		partition := &d.partitions[i]
		primary, found := partition.Primary()
		if !found || primary.Store != from || partition.PreferredPrimary != "" {
			continue
		}
		if d.mayLead(partition, to) {
			best = i
			break
		}
		if best < 0 && partition.Find(to) < 0 {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	d.setPartition(best, d.wish(d.partitions[best], to))
	return true
}

// wish returns a partition's view with another store wanted as its primary.
func (d *draft) wish(partition cluster.Partition, to string) cluster.Partition {
	partition.PreferredPrimary = to
	if partition.Find(to) >= 0 {
		return partition
	}
	added := replicaAt(*d.store(to), false)
	partition.Replicas = append(slices.Clone(partition.Replicas), added)
	partition.Epoch++
	return partition
}
