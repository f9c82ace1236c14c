package inspection

import (
	"time"

	"gladepick/internal/cluster"
)

// Status summarizes the snapshots of the answering process. While LeaseValid is true, the snapshots are no older than a
// lease.
type Status struct {
	Process        string         `json:"process"` // name of the answering process
	Class          string         `json:"class"`
	Zone           string         `json:"zone"`
	LeaseValid     bool           `json:"leaseValid"` // the process holds a valid lease
	Primary        string         `json:"primary"`    // name of the control group's primary; empty if unknown
	ConfigVersion  uint64         `json:"configVersion"`
	TableRevision  uint64         `json:"tableRevision"`
	Copies         int            `json:"copies"`  // disks on which a message is synced before it is acknowledged
	ControlMembers int            `json:"control"` // number of control members
	Stores         map[string]int `json:"stores"`  // number of stores by state
	Partitions     Coverage       `json:"partitions"`
	Workers        int            `json:"workers"`
	WorkersAgeMS   int64          `json:"workersAgeMs"` // time since the worker list was read; -1 if it never was
}

// Coverage counts partitions by the availability of their replicas. A replica is available if its store is not down.
type Coverage struct {
	Total      int `json:"total"`
	Complete   int `json:"whole"`      // the required number of synced replicas is available
	Degraded   int `json:"degraded"`   // the primary is available, but fewer synced replicas than required are
	Leaderless int `json:"leaderless"` // no primary, or the store of the primary is down
}

// neverRead is the value of Status.WorkersAgeMS before the worker list was read for the first time.
const neverRead = -1

// NewStatus returns the status of a process from its snapshots.
func NewStatus(self cluster.NodeInfo, snapshots Snapshots) Status {
	status := Status{
		Process:       self.Name,
		Class:         self.Class,
		Zone:          self.Zone,
		LeaseValid:    snapshots.LeaseValid(),
		ConfigVersion: snapshots.Config().Version(),
		Stores:        map[string]int{},
		Workers:       snapshots.WorkerCount(),
		WorkersAgeMS:  neverRead,
	}
	if readAt := snapshots.WorkersReadAt(); !readAt.IsZero() {
		status.WorkersAgeMS = time.Since(readAt).Milliseconds()
	}
	if table := snapshots.Table(); table != nil {
		status.addTable(table)
	}
	return status
}

// addTable sets the fields that are taken from the cluster table.
func (s *Status) addTable(table *cluster.Table) {
	s.TableRevision = table.Revision
	s.Primary = table.Primary
	s.Copies = table.ReplicationFactor
	s.ControlMembers = len(table.ControlGroup)
	for _, store := range table.Stores {
		s.Stores[string(store.State)]++
	}
	available := availableDisks(table)
	for _, partition := range table.Partitions {
		s.Partitions.add(partition, table.ReplicationFactor, available)
	}
}

// availableDisks reports for each disk ID whether the store with that disk is not down. Replicas are counted by disk
// and not by store name, because a store that lost its disk returns with another disk ID.
func availableDisks(table *cluster.Table) map[string]bool {
	available := make(map[string]bool, len(table.Stores))
	for _, store := range table.Stores {
		available[store.DiskID] = store.State != cluster.StoreDown
	}
	return available
}

// add counts a partition in one of the three classes. It counts only replicas on available disks.
func (c *Coverage) add(partition cluster.Partition, copies int, available map[string]bool) {
	c.Total++
	synced := 0
	for _, replica := range partition.Replicas {
		if replica.Synced && available[replica.DiskID] {
			synced++
		}
	}
	primary, found := partition.Primary()
	switch {
	case !found || !available[primary.DiskID] || partition.Collecting():
		c.Leaderless++
	case synced < copies:
		c.Degraded++
	default:
		c.Complete++
	}
}
