package cluster

import "slices"

// TableChange contains the parts of a cluster table that differ between one revision and the next. A zero value means
// that a part has not changed.
type TableChange struct {
	Base              uint64          `json:"base"` // revision of the table to which the change applies
	Primary           string          `json:"primary,omitempty"`
	ControlGroup      []ControlMember `json:"core,omitempty"`
	Stores            []StoreEntry    `json:"stores,omitempty"`
	Partitions        []Partition     `json:"partitions,omitempty"`
	ReplicationFactor int             `json:"copies,omitempty"`
	DeliveringStores  int             `json:"deliverers,omitempty"`
}

// Apply returns the table of the next revision. If the change applies to another revision, it returns the table itself
// and false. The table itself is not modified.
func (t *Table) Apply(change *TableChange) (*Table, bool) {
	if t.Revision != change.Base {
		return t, false
	}
	next := *t
	next.Revision++
	if change.Primary != "" {
		next.Primary = change.Primary
	}
	if change.ControlGroup != nil {
		next.ControlGroup = change.ControlGroup
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

// mergeStores returns a copy of the stores, sorted by name, with changed entries replaced and new ones inserted.
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

// mergePartitions returns a copy of the partitions with changed ones replaced and new ones added.
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
