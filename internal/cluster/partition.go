package cluster

// Replica is a store's copy of a partition, and a member of the partition's replica group.
type Replica struct {
	Store  string `json:"store"`  // the store's name
	DiskID string `json:"diskId"` // the disk that holds the data; another disk is another replica
	Synced bool   `json:"synced"` // it holds every committed message, and may lead without collecting messages
	// Suspected is set while a synced backup does not accept its primary's records although its store responds to
	// the control plane. It stays a replica, for which commits wait, until another replica is synced in its place.
	Suspected bool `json:"suspected,omitempty"`
}

// RetainedReplica is a replica that has left the replica group since the group was last complete. It keeps what it holds,
// because it may have messages that no current replica has.
type RetainedReplica struct {
	Store  string `json:"store"`
	DiskID string `json:"diskId"`
	Epoch  uint64 `json:"epoch"` // of the last view that listed the replica
}

// Partition is the current view of a partition: its ID, its epoch and its replica group. The first replica is the
// primary. Epoch is the fencing token and grows with every change of the replicas.
type Partition struct {
	ID       int       `json:"id"`
	Epoch    uint64    `json:"epoch"`
	Replicas []Replica `json:"replicas"`
	// PreferredPrimary names the store that should lead the partition, or "" for none. The primary hands over to it once
	// its replica is synced.
	PreferredPrimary string `json:"wanted,omitempty"`
	// Retained is empty once ReplicationFactor replicas are synced. If none is synced and alive, the messages of a
	// partition are collected from the replicas and the retained replicas: its view then has an unsynced primary.
	Retained []RetainedReplica `json:"retained,omitempty"`
}

// Primary returns the replica that leads the partition, and false if the partition has no replicas.
func (p Partition) Primary() (Replica, bool) {
	if len(p.Replicas) == 0 {
		return Replica{}, false
	}
	return p.Replicas[0], true
}

// Collecting reports whether the primary is not synced. It then collects the messages of the other replicas, and the
// partition accepts and delivers nothing.
func (p Partition) Collecting() bool {
	primary, found := p.Primary()
	return found && !primary.Synced
}

// SyncedReplicas returns how many replicas are synced, whether or not their stores are up.
func (p Partition) SyncedReplicas() int {
	count := 0
	for _, replica := range p.Replicas {
		if replica.Synced {
			count++
		}
	}
	return count
}

// IndexOf returns the index of the replica on a store, or -1.
func (p Partition) IndexOf(store string) int {
	for i, replica := range p.Replicas {
		if replica.Store == store {
			return i
		}
	}
	return -1
}
