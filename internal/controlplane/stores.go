package controlplane

import (
	"slices"
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
)

// delivererMemory is how long after the end of its lease a store still counts for the ceilings of services: what it
// delivered last is part of their windows.
const delivererMemory = 6 * time.Second

// updateStores brings the entries of all stores in line with their leases.
func (d *draft) updateStores() {
	for name, node := range d.nodes {
		if !node.Live || !node.Info.Store || node.Info.DiskID == "" {
			continue
		}
		entry := d.store(name)
		if entry == nil {
			position, _ := slices.BinarySearchFunc(d.stores, name, cluster.CompareStoreName)
			d.stores = slices.Insert(d.stores, position, cluster.StoreEntry{Name: name})
			entry = &d.stores[position]
		}
		if entry.DiskID != node.Info.DiskID {
			d.carryRetire(name, node.Info.DiskID)
		}
		entry.Zone = node.Info.Zone
		entry.Address = node.Info.Address
		entry.DiskID = node.Info.DiskID
		entry.Incarnation = node.Info.Incarnation
		entry.Unresponsive = node.Unresponsive
	}
	for i := range d.stores {
		d.stores[i].State = d.stateOf(&d.stores[i])
	}
	d.noteAlive()
}

// noteAlive notes the disks of the stores that can serve. Every partition's replicas are looked up in it.
func (d *draft) noteAlive() {
	d.aliveDisks = make(map[string]string, len(d.stores))
	for _, entry := range d.stores {
		switch entry.State {
		case cluster.StoreActive, cluster.StoreDraining, cluster.StoreRetiring:
			d.aliveDisks[entry.Name] = entry.DiskID
		}
	}
}

func (d *draft) stateOf(entry *cluster.StoreEntry) cluster.StoreState {
	job := controlstate.FindJob(d.jobs, entry.Name, entry.DiskID)
	node, known := d.nodes[entry.Name]
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

// updateDeliverers counts the stores that deliver, or did so lately.
func (d *draft) updateDeliverers(now time.Time) {
	count := 0
	for _, node := range d.nodes {
		if node.Info.Store && now.Sub(node.Expires) < delivererMemory {
			count++
		}
	}
	d.deliverers = max(count, 1)
}

// completeJobs marks the jobs whose stores hold nothing any more, once every partition has all its copies elsewhere.
func (d *draft) completeJobs() {
	for i := range d.jobs {
		job := &d.jobs[i]
		if !job.Completed && len(d.partitions) > 0 && d.emptied(job) && d.whole() {
			job.Completed = true
		}
	}
}

func (d *draft) emptied(job *controlstate.RetireJob) bool {
	for _, partition := range d.partitions {
		for _, replica := range partition.Replicas {
			if replica.Store == job.Store && replica.DiskID == job.DiskID {
				return false
			}
		}
	}
	return true
}

// whole tells whether every partition has as many synced and living copies as it should have.
func (d *draft) whole() bool {
	for _, partition := range d.partitions {
		if d.syncedCopies(partition.Replicas) < d.copies {
			return false
		}
	}
	return true
}

// syncedCopies counts the copies that are whole, at stores that are up and stay.
func (d *draft) syncedCopies(replicas []cluster.Replica) int {
	count := 0
	for _, replica := range replicas {
		if replica.Synced && d.staying(replica) {
			count++
		}
	}
	return count
}
