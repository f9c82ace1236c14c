package cluster

import "strings"

// StoreState is the state of a store as decided by the control plane.
type StoreState string

// The values of StoreState.
const (
	StoreActive   StoreState = "active"   // it may hold replicas
	StoreDown     StoreState = "down"     // its lease has expired
	StoreDraining StoreState = "leaving"  // it is shutting down gracefully: its primaries move to other stores
	StoreRetiring StoreState = "retiring" // the operator is decommissioning it: all its replicas move to other stores
	StoreRetired  StoreState = "retired"  // it is decommissioned and holds no replicas
)

// StoreEntry is a store in the cluster table.
type StoreEntry struct {
	Name        string     `json:"name"`
	Zone        string     `json:"zone"`
	Address     string     `json:"address"`
	DiskID      string     `json:"diskId"`
	Incarnation string     `json:"incarnation"`
	State       StoreState `json:"state"`
	// Unresponsive is set while the store does not respond although its lease is still valid. Messages go to other stores
	// if possible.
	Unresponsive bool `json:"silent,omitempty"`
}

// CompareStoreName compares the name of an entry with a name, for binary searches in Table.Stores.
func CompareStoreName(entry StoreEntry, name string) int { return strings.Compare(entry.Name, name) }
