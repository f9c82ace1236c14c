package cluster

// Replica is a store's copy of a partition, and a member of the partition's replica group.
type Replica struct {
	Store  string `json:"store"`  // the store's name
	DiskID string `json:"diskId"` // the disk that holds the data; another disk is another replica
	Synced bool   `json:"synced"` // it holds every committed message and may become primary
	// Suspected is set while a synced backup does not accept its primary's records although its store responds to
	// the control plane. It stays a replica, for which commits wait, until another replica is synced in its place.
	Suspected bool `json:"suspected,omitempty"`
}

// Partition is the current view of a partition: its ID, its epoch and its replica group. The first replica is the
// primary. Epoch is the fencing token and grows with every change of the view.
type Partition struct {
	ID       int       `json:"id"`
	Epoch    uint64    `json:"epoch"`
	Replicas []Replica `json:"replicas"`
	// PreferredPrimary names the store that should lead the partition, or "" for none. The primary hands over to it once
	// its replica is synced.
	PreferredPrimary string `json:"wanted,omitempty"`
}

// Primary returns the replica that leads the partition, and false if the partition has no replicas.
func (p Partition) Primary() (Replica, bool) {
	if len(p.Replicas) == 0 {
		return Replica{}, false
	}
	return p.Replicas[0], true
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
