// Package inspection lets an operator look into the system: what a process knows of it from its own snapshots, and the
// metrics of each process. Nothing is computed before it is asked for, and nothing here changes the system.
package inspection

// Status sums up what the answering process knows of the system.
type Status struct {
	Process       string         `json:"process"` // the process that answers
	Class         string         `json:"class"`
	Zone          string         `json:"zone"`
	LeaseValid    bool           `json:"leaseValid"` // what it knows is no older than a lease
	Primary       string         `json:"primary"`    // of the control group; empty while none is known
	ConfigVersion uint64         `json:"configVersion"`
	TableRevision uint64         `json:"tableRevision"`
	Copies        int            `json:"copies"` // disks that hold a message before it is acknowledged
	Control       int            `json:"control"`
	Stores        map[string]int `json:"stores"` // number by state
	Partitions    Coverage       `json:"partitions"`
	Workers       int            `json:"workers"`
	WorkersAgeMS  int64          `json:"workersAgeMs"` // how long ago the list of workers was read; -1 where it never was
}

// Coverage counts partitions by how well they are kept.
type Coverage struct {
	Total      int `json:"total"`
	Complete   int `json:"whole"`      // as many synced copies as wanted, at stores that are not down
	Degraded   int `json:"degraded"`   // led, but with fewer such copies
	Leaderless int `json:"leaderless"` // without a primary, or its store is down
}

// Roles of a member.
const (
	RoleControl = "control"
	RoleStore   = "store"
)

// States of a control member. Those of a store are cluster.StoreState.
const (
	ControlPrimary = "primary"
	ControlBackup  = "backup"
)

// Member is a control member or a store.
type Member struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // of its internal listener
	State   string `json:"state"`
	DiskID  string `json:"diskId"`
	Leads   int    `json:"leads"` // partitions whose primary it is
	Holds   int    `json:"holds"` // partitions of which it keeps a copy, those that it leads among them
}

// Partition is a partition's view.
type Partition struct {
	ID               int      `json:"id"`
	Epoch            uint64   `json:"epoch"`
	Primary          string   `json:"primary"` // empty where there is none
	Synced           []string `json:"synced"`  // backups that hold all that was committed
	Copying          []string `json:"copying"` // backups that still copy
	PreferredPrimary string   `json:"wanted,omitempty"`
}
