package placement

import (
	"maps"
	"slices"
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
)

// DeliveryMemory is how long after the end of its lease a store still counts for the rate limits of services: what it
// delivered last is part of their windows.
const DeliveryMemory = 6 * time.Second

// UpdateStores brings the entries of all stores in line with their leases.
func (b *Builder) UpdateStores() {
	for _, name := range slices.Sorted(maps.Keys(b.nodes)) { // in order, as retire jobs may be added
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

// indexAliveDisks collects the disks of the stores that can serve. Every partition's replicas are looked up in it.
func (b *Builder) indexAliveDisks() {
	b.aliveDisks = make(map[string]string, len(b.stores))
	for _, entry := range b.stores {
		switch entry.State {
		case cluster.StoreActive, cluster.StoreDraining, cluster.StoreRetiring:
			b.aliveDisks[entry.Name] = entry.DiskID
		}
	}
}

// stateOf returns what the control plane does with a store, by its lease and its jobs.
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

// UpdateDeliveringStores counts the stores that deliver, or did so lately. The count is not below the one that the primary
// before has left behind, where its stores may still deliver.
func (b *Builder) UpdateDeliveringStores(now time.Time, inherited int) {
	count := 0
	for _, node := range b.nodes {
		if node.Info.Store && now.Sub(node.Expires) < DeliveryMemory {
			count++
		}
	}
	b.deliveringStores = max(count, 1, inherited)
}

// complete tells whether every partition has as many synced and living replicas as it should have.
func (b *Builder) complete() bool {
	for _, partition := range b.partitions {
		if b.syncedReplicas(partition.Replicas) < b.ReplicationFactor {
			return false
		}
	}
	return true
}

// syncedReplicas counts the replicas that are complete, at stores that are up and stay.
func (b *Builder) syncedReplicas(replicas []cluster.Replica) int {
	count := 0
	for _, replica := range replicas {
		if replica.Synced && b.staying(replica) {
			count++
		}
	}
	return count
}
