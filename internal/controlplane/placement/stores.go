package placement

import (
	"maps"
	"slices"
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
)

// DeliveringStoreRetention is how long a store still counts as a delivering store after its lease has ended. Its last
// deliveries are still within the windows of the services' rate limits.
const DeliveringStoreRetention = 6 * time.Second

// UpdateStores updates the entries of all stores from their leases. It adds an entry for each new store.
func (b *Builder) UpdateStores() {
	for _, name := range slices.Sorted(maps.Keys(b.nodes)) { // sorted: the order of added retire jobs must be fixed
		node := b.nodes[name]
		if !node.Live || !node.Info.Store || node.Info.DiskID == "" {
			continue
		}
		entry := b.store(name)
		if entry == nil {
			position, _ := slices.BinarySearchFunc(b.stores, name, cluster.CompareStoreName)
			b.stores = slices.Insert(b.stores, position, cluster.StoreEntry{Name: name})
			entry = &b.stores[position]
		}
		if entry.DiskID != node.Info.DiskID {
			b.continueRetire(name, node.Info.DiskID)
		}
		entry.Zone = node.Info.Zone
		entry.Address = node.Info.Address
		entry.DiskID = node.Info.DiskID
		entry.Incarnation = node.Info.Incarnation
		entry.Unresponsive = node.Unresponsive
	}
	for i := range b.stores {
		b.stores[i].State = b.stateOf(&b.stores[i])
	}
	b.indexAliveDisks()
}

// indexAliveDisks rebuilds aliveDisks from the states of the stores.
func (b *Builder) indexAliveDisks() {
	b.aliveDisks = make(map[string]string, len(b.stores))
	for _, entry := range b.stores {
		switch entry.State {
		case cluster.StoreActive, cluster.StoreDraining, cluster.StoreRetiring:
			b.aliveDisks[entry.Name] = entry.DiskID
		}
	}
}

// stateOf returns the state of a store, which follows from its lease and its retire jobs.
func (b *Builder) stateOf(entry *cluster.StoreEntry) cluster.StoreState {
	job := controlstate.FindJob(b.jobs, entry.Name, entry.DiskID)
	node, known := b.nodes[entry.Name]
	switch {
	case job != nil && job.Completed:
		return cluster.StoreRetired
	case !known || !node.Live || node.Info.DiskFailing:
		return cluster.StoreDown
	case job != nil:
		return cluster.StoreRetiring
	case node.Info.Draining:
		return cluster.StoreDraining
	}
	return cluster.StoreActive
}

// UpdateDeliveringStores counts the stores that deliver or may have delivered within the last DeliveringStoreRetention.
// inherited is the count of the former primary, whose stores may still deliver, or 0 if they cannot any more. The
// result is at least inherited and at least 1.
func (b *Builder) UpdateDeliveringStores(now time.Time, inherited int) {
	count := 0
	for _, node := range b.nodes {
		if node.Info.Store && now.Sub(node.Expires) < DeliveringStoreRetention {
			count++
		}
	}
	b.deliveringStores = max(count, 1, inherited)
}

// complete reports whether every partition has at least ReplicationFactor synced replicas that stay.
func (b *Builder) complete() bool {
	for _, partition := range b.partitions {
		if b.syncedReplicas(partition.Replicas) < b.ReplicationFactor {
			return false
		}
	}
	return true
}

// syncedReplicas returns the number of replicas that are synced, alive and not going to be replaced.
func (b *Builder) syncedReplicas(replicas []cluster.Replica) int {
	count := 0
	for _, replica := range replicas {
		if replica.Synced && b.staying(replica) {
			count++
		}
	}
	return count
}
