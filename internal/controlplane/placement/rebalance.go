package placement

import (
	"slices"

	"gladepick/internal/cluster"
)

const (
	movesAtOnce = 4 // partitions that change their primary for balance at the same time
	spreadLimit = 2 // the most loaded store may lead so many times as many partitions as the least loaded one
)

// Rebalance gives partitions to active stores that lead far fewer than others. It begins only while every partition
// has all its replicas; a store that holds none first becomes a backup, and leads once it has synced.
func (b *Builder) Rebalance() {
	if len(b.partitions) == 0 || !b.complete() {
		return
	}
	for b.movesUnderway() < movesAtOnce {
		from, to, found := b.unbalanced()
		if !found || !b.move(from, to) {
			return
		}
	}
}

// movesUnderway counts the partitions that are to change their primary.
func (b *Builder) movesUnderway() int {
	count := 0
	for _, partition := range b.partitions {
		if partition.PreferredPrimary != "" {
			count++
		}
	}
	return count
}

// unbalanced returns the most and the least loaded of the active stores, and false where they are near enough.
func (b *Builder) unbalanced() (from, to string, found bool) {
	counts := b.primaryCounts()
	for _, entry := range b.activeStores() {
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

// move prefers another primary for one partition, if possible for one that needs no transfer of data for it.
func (b *Builder) move(from, to string) bool {
	best := -1
	for i := range b.partitions {
		partition := &b.partitions[i]
		primary, found := partition.Primary()
		if !found || primary.Store != from || partition.PreferredPrimary != "" {
			continue
		}
		if b.mayLead(partition, to) {
			best = i
			break
		}
		if best < 0 && partition.IndexOf(to) < 0 {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	b.setPartition(best, b.prefer(b.partitions[best], to))
	return true
}

// prefer returns a partition's view with another store as its preferred primary.
func (b *Builder) prefer(partition cluster.Partition, to string) cluster.Partition {
	partition.PreferredPrimary = to
	if partition.IndexOf(to) >= 0 {
		return partition
	}
	added := replicaAt(*b.store(to), false)
	partition.Replicas = append(slices.Clone(partition.Replicas), added)
	partition.Epoch++
	return partition
}
