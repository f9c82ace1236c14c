package inspection

import (
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
)

// Snapshots are what a process knows of the system. A cluster.Agent is one.
type Snapshots interface {
	Config() *configuration.Document
	Table() *cluster.Table
	WorkerCount() int
	WorkersReadAt() time.Time
	LeaseValid() bool
}

const neverRead = -1

// NewStatus sums up what a process knows.
func NewStatus(self cluster.NodeInfo, known Snapshots) Status {
	status := Status{
		Process:       self.Name,
		Class:         self.Class,
		Zone:          self.Zone,
		LeaseValid:    known.LeaseValid(),
		ConfigVersion: known.Config().Version(),
		Stores:        map[string]int{},
		Workers:       known.WorkerCount(),
		WorkersAgeMS:  neverRead,
	}
	if readAt := known.WorkersReadAt(); !readAt.IsZero() {
		status.WorkersAgeMS = time.Since(readAt).Milliseconds()
	}
	if table := known.Table(); table != nil {
		status.addTable(table)
	}
	return status
}

func (s *Status) addTable(table *cluster.Table) {
	s.TableRevision = table.Revision
	s.Primary = table.Primary
	s.Copies = table.Copies
	s.Control = len(table.Core)
	for _, store := range table.Stores {
		s.Stores[string(store.State)]++
	}
	up := disksUp(table)
	for _, partition := range table.Partitions {
		s.Partitions.add(partition, table.Copies, up)
	}
}

// disksUp returns the disks of the stores that are not down.
func disksUp(table *cluster.Table) map[string]bool {
	up := make(map[string]bool, len(table.Stores))
	for _, store := range table.Stores {
		up[store.DiskID] = store.State != cluster.StoreDown
	}
	return up
}

// add counts a partition. Only copies on disks that are up count.
func (c *Coverage) add(partition cluster.Partition, copies int, up map[string]bool) {
	c.Total++
	synced := 0
	for _, replica := range partition.Replicas {
		if replica.Synced && up[replica.DiskID] {
			synced++
		}
	}
	primary, found := partition.Primary()
	switch {
	case !found || !up[primary.DiskID]:
		c.Leaderless++
	case synced < copies:
		c.Degraded++
	default:
		c.Complete++
	}
}

// NewMembers lists the control members and the stores. The table may be nil.
func NewMembers(table *cluster.Table) []Member {
	members := []Member{}
	if table == nil {
		return members
	}
	for _, entry := range table.Core {
		members = append(members, controlMember(entry, table.Primary))
	}
	leads, holds := countReplicas(table)
	for _, store := range table.Stores {
		members = append(members, Member{
			Name:    store.Name,
			Role:    RoleStore,
			Zone:    store.Zone,
			Address: store.Address,
			State:   string(store.State),
			DiskID:  store.DiskID,
			Leads:   leads[store.Name],
			Holds:   holds[store.Name],
		})
	}
	return members
}

func controlMember(entry cluster.CoreEntry, primary string) Member {
	state := ControlBackup
	if entry.Name == primary {
		state = ControlPrimary
	}
	return Member{
		Name:    entry.Name,
		Role:    RoleControl,
		Zone:    entry.Zone,
		Address: entry.Address,
		State:   state,
		DiskID:  entry.DiskID,
	}
}

// countReplicas counts, by store, the partitions that it leads and those of which it keeps a copy.
func countReplicas(table *cluster.Table) (leads, holds map[string]int) {
	leads, holds = map[string]int{}, map[string]int{}
	for _, partition := range table.Partitions {
		if primary, found := partition.Primary(); found {
			leads[primary.Store]++
		}
		for _, replica := range partition.Replicas {
			holds[replica.Store]++
		}
	}
	return leads, holds
}

// NewPartitions lists the partitions. The table may be nil.
func NewPartitions(table *cluster.Table) []Partition {
	partitions := []Partition{}
	if table == nil {
		return partitions
	}
	for _, view := range table.Partitions {
		partitions = append(partitions, newPartition(view))
	}
	return partitions
}

func newPartition(view cluster.Partition) Partition {
	partition := Partition{ID: view.ID, Epoch: view.Epoch, Synced: []string{}, Copying: []string{}, PreferredPrimary: view.PreferredPrimary}
	primary, found := view.Primary()
	if !found {
		return partition
	}
	partition.Primary = primary.Store
	for _, backup := range view.Replicas[1:] {
		if backup.Synced {
			partition.Synced = append(partition.Synced, backup.Store)
		} else {
			partition.Copying = append(partition.Copying, backup.Store)
		}
	}
	return partition
}

// AddressOf returns the internal address of a control member or store, and false where there is none of the name.
func AddressOf(table *cluster.Table, name string) (string, bool) {
	if store := table.Store(name); store != nil {
		return store.Address, true
	}
	if table == nil {
		return "", false
	}
	for _, entry := range table.Core {
		if entry.Name == name {
			return entry.Address, true
		}
	}
	return "", false
}
