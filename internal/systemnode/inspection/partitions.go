package inspection

import (
	"gladepick/internal/cluster"
)

// Partition describes the replica group of a partition. A suspected backup is synced but does not accept its primary's
// records. It stays in the group until another backup is synced.
type Partition struct {
	ID               int      `json:"id"`
	Epoch            uint64   `json:"epoch"`
	Primary          string   `json:"primary"`             // store of the primary; empty if the partition has none
	Synced           []string `json:"synced"`              // stores of the backups that have all committed messages
	Copying          []string `json:"copying"`             // stores of the backups that are still catching up
	Suspected        []string `json:"suspected,omitempty"` // stores of the suspected backups, which are also in Synced
	PreferredPrimary string   `json:"wanted,omitempty"`    // store that should become the primary; empty for none
	// Collecting is set while the primary collects messages from the other replicas because none was synced any more.
	// The partition accepts and delivers nothing meanwhile.
	Collecting bool `json:"collecting,omitempty"`
	// Retained has the stores of replicas that have left the group since it was last complete.
	Retained []string `json:"retained,omitempty"`
}

// NewPartitions lists the partitions of a table by ID. The table may be nil. The list is never nil, so that JSON has []
// for an empty one.
func NewPartitions(table *cluster.Table) []Partition {
	partitions := []Partition{}
	if table == nil {
		return partitions
	}
	for _, entry := range table.Partitions {
		partitions = append(partitions, newPartition(entry))
	}
	return partitions
}

func newPartition(entry cluster.Partition) Partition {
	partition := Partition{
		ID: entry.ID, Epoch: entry.Epoch, Synced: []string{}, Copying: []string{}, PreferredPrimary: entry.PreferredPrimary}
	primary, found := entry.Primary()
	if !found {
		return partition
	}
	partition.Primary = primary.Store
	partition.Collecting = entry.Collecting()
	for _, replica := range entry.Retained {
		partition.Retained = append(partition.Retained, replica.Store)
	}
	for _, backup := range entry.Replicas[1:] {
		if backup.Synced {
			partition.Synced = append(partition.Synced, backup.Store)
		} else {
			partition.Copying = append(partition.Copying, backup.Store)
		}
		if backup.Suspected {
			partition.Suspected = append(partition.Suspected, backup.Store)
		}
	}
	return partition
}
