package cluster

import (
	"slices"
	"strings"
)

// TableChange holds the parts of a cluster table that differ from one revision to the next. Absent parts stay.
type TableChange struct {
	Base              uint64       `json:"base"` // the revision it changes
	Primary           string       `json:"primary,omitempty"`
	Core              []CoreMember `json:"core,omitempty"`
	Stores            []StoreEntry `json:"stores,omitempty"`
	Partitions        []Partition  `json:"partitions,omitempty"`
	ReplicationFactor int          `json:"copies,omitempty"`
	DeliveringStores  int          `json:"deliverers,omitempty"`
}

// Apply returns the table with a change, and false where the change was made from another revision. The table itself
// stays as it is.
func (t *Table) Apply(change *TableChange) (*Table, bool) {
	if t.Revision != change.Base {
		return t, false
	}
	next := *t
	next.Revision++
	if change.Primary != "" {
		next.Primary = change.Primary
	}
	if change.Core != nil {
		next.Core = change.Core
	}
	if change.ReplicationFactor > 0 {
		next.ReplicationFactor = change.ReplicationFactor
	}
	if change.DeliveringStores > 0 {
		next.DeliveringStores = change.DeliveringStores
	}
	next.Stores = mergeStores(t.Stores, change.Stores)
	next.Partitions = mergePartitions(t.Partitions, change.Partitions)
	return &next, true
}

func mergeStores(stores, changed []StoreEntry) []StoreEntry {
	if len(changed) == 0 {
		return stores
	}
	merged := slices.Clone(stores)
	for _, entry := range changed {
		position, found := slices.BinarySearchFunc(merged, entry.Name, CompareStoreName)
		if found {
			merged[position] = entry
			continue
		}
		merged = slices.Insert(merged, position, entry)
	}
	return merged
}

// CompareStoreName compares the name of a store's entry, for searches in a table's stores.
func CompareStoreName(entry StoreEntry, name string) int { return strings.Compare(entry.Name, name) }

func mergePartitions(partitions, changed []Partition) []Partition {
	if len(changed) == 0 {
		return partitions
	}
	merged := slices.Clone(partitions)
	for _, partition := range changed {
		for len(merged) <= partition.ID {
			merged = append(merged, Partition{ID: len(merged)})
		}
		merged[partition.ID] = partition
	}
	return merged
}
