package cluster

import "strings"

// StoreState is the state of a store by the control plane's decisions.
type StoreState string

// The states of a store.
const (
	StoreActive   StoreState = "active"   // may hold partitions
	StoreDown     StoreState = "down"     // its lease has expired
	StoreDraining StoreState = "leaving"  // it is shutting down gracefully: its primaries move away
	StoreRetiring StoreState = "retiring" // the operator decommissions it: all its replicas move away
	StoreRetired  StoreState = "retired"  // it is decommissioned and holds nothing
)

// StoreEntry is a store in the cluster table.
type StoreEntry struct {
	Name        string     `json:"name"`
	Zone        string     `json:"zone"`
	Address     string     `json:"address"`
	DiskID      string     `json:"diskId"`
	Incarnation string     `json:"incarnation"`
	State       StoreState `json:"state"`
	// Unresponsive is set while the store does not respond although its lease is still valid: messages that can go to
	// another store should.
	Unresponsive bool `json:"silent,omitempty"`
}

// CompareStoreName compares the name of a store's entry with another name, for binary searches in a table's stores.
func CompareStoreName(entry StoreEntry, name string) int { return strings.Compare(entry.Name, name) }
