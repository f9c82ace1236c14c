// Package cluster holds what every process of the system knows about the others: the identity of a process, the
// cluster table that the control plane publishes, the list of workers, and the agent that keeps them current.
//
// All published values are immutable: they are built once, swapped in whole and never changed afterwards.
package cluster

import "time"

// NodeInfo identifies one process. A process announces it with each renewal of its lease.
type NodeInfo struct {
	Name        string `json:"name"`              // the machine's name from the settings file
	Class       string `json:"class"`             // the machine's class, "front" or "store"
	Zone        string `json:"zone"`              // the zone the machine stands in
	Region      string `json:"region,omitempty"`  // the zone's region
	Address     string `json:"address"`           // where its internal RPC server listens, "ip:port"
	Incarnation string `json:"incarnation"`       // drawn at random at each start of the process
	DiskID      string `json:"diskId,omitempty"`  // drawn at random when the data directory was first used; empty without a disk
	Core        bool   `json:"core,omitempty"`    // it may become a member of the control group
	Store       bool   `json:"store,omitempty"`   // it keeps messages
	Draining    bool   `json:"leaving,omitempty"` // it has been told to stop and wants to hand over
	DiskFailing bool   `json:"diskFailing,omitempty"`
}

// StoreState tells what the control plane does with a store.
type StoreState string

// The states of a store.
const (
	StoreActive   StoreState = "active"   // takes partitions
	StoreDown     StoreState = "down"     // its lease has run out
	StoreDraining StoreState = "leaving"  // a planned stop: primaries move away
	StoreRetiring StoreState = "retiring" // the operator wants it emptied
	StoreRetired  StoreState = "retired"  // it holds nothing any more
)

// StoreEntry is a store as the cluster table lists it.
type StoreEntry struct {
	Name        string     `json:"name"`
	Zone        string     `json:"zone"`
	Address     string     `json:"address"`
	DiskID      string     `json:"diskId"`
	Incarnation string     `json:"incarnation"`
	State       StoreState `json:"state"`
	// Unresponsive tells that it does not answer although its lease still runs: what can go elsewhere should.
	Unresponsive bool `json:"silent,omitempty"`
}

// Replica is a member of a partition's replica group.
type Replica struct {
	Store  string `json:"store"`  // the store's name
	DiskID string `json:"diskId"` // the disk that holds the copy; another disk is another replica
	Synced bool   `json:"synced"` // it holds every committed message and may become primary
}

// Partition is a partition's view: who leads it and who holds copies. The first replica is the primary. Epoch grows
// with every change of the view.
type Partition struct {
	ID       int       `json:"id"`
	Epoch    uint64    `json:"epoch"`
	Replicas []Replica `json:"replicas"`
	// PreferredPrimary names the store that is to lead the partition. The primary hands over to it once it is synced.
	PreferredPrimary string `json:"wanted,omitempty"`
}

// Primary returns the replica that leads the partition, and false where the partition has none.
func (p Partition) Primary() (Replica, bool) {
	if len(p.Replicas) == 0 {
		return Replica{}, false
	}
	return p.Replicas[0], true
}

// IndexOf returns the position of the replica at a store, or -1.
func (p Partition) IndexOf(store string) int {
	for i, replica := range p.Replicas {
		if replica.Store == store {
			return i
		}
	}
	return -1
}

// CoreMember is a member of the control group.
type CoreMember struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	DiskID  string `json:"diskId"`
	Zone    string `json:"zone,omitempty"` // empty until the member has announced it
}

// Table is the cluster table. Revision grows with every change, also across a failover of the control plane.
type Table struct {
	Revision          uint64       `json:"revision"`
	Primary           string       `json:"primary"` // name of the control group's primary, a hint
	Core              []CoreMember `json:"core"`
	Stores            []StoreEntry `json:"stores"`     // by name
	Partitions        []Partition  `json:"partitions"` // index and ID agree
	ReplicationFactor int          `json:"copies"`     // how many disks hold a message before it is acknowledged
	// DeliveringStores is how many stores deliver now or may still do so. Rate ceilings are divided by LimitDivisor.
	DeliveringStores int `json:"deliverers"`
}

// Store returns the entry of a store by its name, or nil.
func (t *Table) Store(name string) *StoreEntry {
	if t == nil {
		return nil
	}
	for i := range t.Stores {
		if t.Stores[i].Name == name {
			return &t.Stores[i]
		}
	}
	return nil
}

// LeadingStores returns how many stores lead partitions.
func (t *Table) LeadingStores() int {
	leaders := make(map[string]bool, len(t.Stores))
	for _, partition := range t.Partitions {
		if primary, found := partition.Primary(); found {
			leaders[primary.Store] = true
		}
	}
	return len(leaders)
}

// LimitDivisor returns by how much a store's part of a limit for all stores is to be divided: partitions are counted, so the
// parts of all stores together stay within the limit, whichever of them lead more than others.
func (t *Table) LimitDivisor(store string) int {
	led := 0
	for _, partition := range t.Partitions {
		if primary, found := partition.Primary(); found && primary.Store == store {
			led++
		}
	}
	if led == 0 {
		return max(len(t.Partitions), 1)
	}
	return (len(t.Partitions) + led - 1) / led
}

// Worker is one entry of the platform's list of workers.
type Worker struct {
	ID                string `json:"id"`
	Service           string `json:"service"`
	Address           string `json:"address"`
	Zone              string `json:"zone"`
	Version           string `json:"version,omitempty"`
	Capacity          int    `json:"capacity"`
	Draining          bool   `json:"draining,omitempty"`
	WarmupRemainingMS int64  `json:"warmupLeftMs,omitempty"` // as the platform said it, in milliseconds
}

// WorkerList is the whole list as last read. Revision grows with every change.
type WorkerList struct {
	Epoch    uint64    `json:"epoch"`    // the control group's epoch in which it was read
	Revision uint64    `json:"revision"` // grows within an epoch
	Workers  []Worker  `json:"workers"`
	ReadAt   time.Time `json:"-"` // local time at which this process got it
}

// SyncRequest renews a lease and asks for everything newer than what the caller holds. The answer is held back for
// a while where there is nothing new (a long poll).
type SyncRequest struct {
	Node            NodeInfo `json:"node"`
	ConfigVersion   uint64   `json:"configVersion"`
	TableRevision   uint64   `json:"tableRevision"`
	WorkersEpoch    uint64   `json:"workersEpoch"`
	WorkersRevision uint64   `json:"workersRevision"`
	WaitMS          int64    `json:"waitMs,omitempty"` // how long the answer may be held back
}

// SyncResponse carries what has changed; absent parts have not. The configuration is the call's body: the whole
// document, or the updates that lead to it from the version that the caller holds.
type SyncResponse struct {
	ConfigVersion uint64 `json:"configVersion,omitempty"` // above 0 where the body holds a configuration
	ConfigUpdates []int  `json:"configUpdates,omitempty"` // lengths of the updates in the body; none for a whole document
	Table         *Table `json:"table,omitempty"`
	// TableChanges lead to the newest table from the one that the caller holds; they come in the place of the table.
	TableChanges []TableChange `json:"tableChanges,omitempty"`
	Workers      *WorkerList   `json:"workers,omitempty"`
	// WorkerChanges lead to the newest list of workers from the one that the caller holds; they come in its place.
	WorkerChanges []WorkerChange `json:"workerChanges,omitempty"`
	Compressed    bool           `json:"packed,omitempty"`      // the body is compressed, see Compress
	WorkerCount   int            `json:"workerCount,omitempty"` // entries of the list of workers, which only stores get
	WorkersAgeMS  int64          `json:"workersAgeMs"`          // how long ago the list of workers was last read; -1 where it never was
	// LeaseAgeMS tells how long before the request's arrival the lease began, or is NoLease. The control group counts the
	// lease from a renewal that its primary knows; of the request that this is the answer to it may not know yet.
	LeaseAgeMS int64 `json:"leaseAgeMs"`
}

// NoLease stands in the place of a lease's age where the caller has none.
const NoLease = -1

// Names of the control plane's calls. See the package controlplane.
const (
	MethodSync             = "control.sync"          // SyncRequest -> SyncResponse, at any fresh core member
	MethodFailureReport    = "control.report"        // FailureReport -> empty, at any core member
	MethodOperator         = "control.operator"      // OperatorRequest with the body -> OperatorResponse with the body
	MethodPartitionRequest = "control.partition.ask" // PartitionRequest -> empty: a primary asks for a change of its group
)

// FailureReport tells the control plane that a process could not be reached. The control plane looks for itself.
type FailureReport struct {
	Node    string `json:"node"`    // the name of the process that seems dead
	Address string `json:"address"` // where it was tried
	Refused bool   `json:"refused"` // the connection was refused or reset, rather than silent
}

// PartitionRequest is a primary's wish to change its replica group. It is refused unless the epoch is the current one.
type PartitionRequest struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	Store     string `json:"store"` // the asking primary
	// Drop names a backup that does not answer; another store takes its place where one can be had.
	Drop string `json:"drop,omitempty"`
	// Synced names a backup that now holds every committed message.
	Synced string `json:"synced,omitempty"`
	// Handover asks for another synced replica to become primary; the asker has stopped delivering.
	Handover bool `json:"handover,omitempty"`
	// Ready names the backups that may take over: they surely hold how every message has ended. A backup that the
	// control plane knows as synced may still lack the latest ends. Empty stands for any.
	Ready []string `json:"ready,omitempty"`
}

// OperatorRequest is a request to the operator's API, passed on to the control group's primary.
type OperatorRequest struct {
	Method      string `json:"method"`
	Path        string `json:"path"`
	BaseVersion string `json:"base,omitempty"` // the header X-If-Base-Version, as it came
}

// OperatorResponse is the answer to an OperatorRequest.
type OperatorResponse struct {
	Status int `json:"status"`
}
