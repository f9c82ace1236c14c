package inspection

import (
	"time"

	"gladepick/internal/cluster"
)

// Status sums up what the answering process knows of the system.
type Status struct {
	Process       string         `json:"process"` // the process that answers
	Class         string         `json:"class"`
	Zone          string         `json:"zone"`
	LeaseValid    bool           `json:"leaseValid"` // what it knows is no older than a lease
	Primary       string         `json:"primary"`    // of the control group; empty while none is known
	ConfigVersion uint64         `json:"configVersion"`
	TableRevision uint64         `json:"tableRevision"`
	Copies        int            `json:"copies"` // disks on which a message is synced before it is acknowledged
	Control       int            `json:"control"`
	Stores        map[string]int `json:"stores"` // number by state
	Partitions    Coverage       `json:"partitions"`
	Workers       int            `json:"workers"`
	WorkersAgeMS  int64          `json:"workersAgeMs"` // how long ago the list of workers was read; -1 where it never was
}

// Coverage counts partitions by how many of their replicas are available.
type Coverage struct {
	Total      int `json:"total"`
	Complete   int `json:"whole"`      // as many synced replicas as required, at stores that are not down
	Degraded   int `json:"degraded"`   // has a primary, but fewer such replicas
	Leaderless int `json:"leaderless"` // without a primary, or the primary.s store is down
}

const neverRead = -1

// NewStatus sums up the snapshots of a process.
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

// addTable adds what the cluster table says.
func (s *Status) addTable(table *cluster.Table) {
	s.TableRevision = table.Revision
	s.Primary = table.Primary
	s.Copies = table.ReplicationFactor
	s.Control = len(table.ControlGroup)
	for _, store := range table.Stores {
		s.Stores[string(store.State)]++
	}
	up := disksUp(table)
	for _, partition := range table.Partitions {
		s.Partitions.add(partition, table.ReplicationFactor, up)
	}
}

// disksUp returns, by disk, whether the store with it is not down. A store that lost its disk comes back with
// another disk id, so replicas are counted by disk and not by name.
func disksUp(table *cluster.Table) map[string]bool {
	up := make(map[string]bool, len(table.Stores))
	for _, store := range table.Stores {
		up[store.DiskID] = store.State != cluster.StoreDown
	}
	return up
}

// add counts a partition. Only replicas on disks that are up count.
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
