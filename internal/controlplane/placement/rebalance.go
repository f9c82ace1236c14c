package placement

import (
	"slices"

	"gladepick/internal/cluster"
)

const (
	movesAtOnce       = 4 // partitions that may have a preferred primary at the same time
	maxPrimariesRatio = 2 // largest allowed ratio of the partitions led by the most and by the least loaded store
)

// Rebalance moves the leadership of partitions to active stores that lead far fewer than others. It starts moves only
// while every partition has all its replicas. A store that holds no replica of a partition first becomes a backup, and
// leads once it has synced.
func (b *Builder) Rebalance() {
	if len(b.partitions) == 0 || !b.complete() {
		return
	}
	for b.pendingMoves() < movesAtOnce {
		from, to, found := b.unbalanced()
		if !found || !b.move(from, to) {
			return
		}
	}
}

// pendingMoves returns the number of partitions that have a preferred primary which does not lead them yet.
func (b *Builder) pendingMoves() int {
	count := 0
	for _, partition := range b.partitions {
		if partition.PreferredPrimary != "" {
			count++
		}
	}
	return count
}

// unbalanced returns the active stores that lead the most and the fewest partitions. It returns false if their ratio is
// within maxPrimariesRatio.
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
	return from, to, counts[from] > maxPrimariesRatio*counts[to]
}

// move sets another preferred primary for one partition of a store. It chooses a partition that can move without a
// transfer of data, if there is one. It returns false if no partition can move.
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
