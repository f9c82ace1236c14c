package cluster

// SyncRequest renews a lease and asks for everything newer than what the caller has. The response is held back for a
// while where there is nothing new (a long poll).
type SyncRequest struct {
	Node            NodeInfo `json:"node"`
	ConfigVersion   uint64   `json:"configVersion"`
	TableRevision   uint64   `json:"tableRevision"`
	WorkersEpoch    uint64   `json:"workersEpoch"`
	WorkersRevision uint64   `json:"workersRevision"`
	WaitMS          int64    `json:"waitMs,omitempty"` // how long the response may be held back, in milliseconds
}

// SyncResponse carries what has changed; zero values stand for parts that have not. The configuration is the
// response's body: the whole document, or the updates that lead to it from the version that the caller has.
type SyncResponse struct {
	ConfigVersion uint64 `json:"configVersion,omitempty"` // greater than 0 where the body holds a configuration
	ConfigUpdates []int  `json:"configUpdates,omitempty"` // lengths of the updates in the body, in bytes; none for a whole document
	Table         *Table `json:"table,omitempty"`
	// TableChanges lead to the newest table from the one that the caller has. They replace Table.
	TableChanges []TableChange `json:"tableChanges,omitempty"`
	Workers      *WorkerList   `json:"workers,omitempty"`
	// WorkerChanges lead to the newest list of workers from the one that the caller has. They replace Workers.
	WorkerChanges []WorkerChange `json:"workerChanges,omitempty"`
	Compressed    bool           `json:"packed,omitempty"`      // the body is compressed; see Compress
	WorkerCount   int            `json:"workerCount,omitempty"` // number of entries of the list of workers, which only stores get
	WorkersAgeMS  int64          `json:"workersAgeMs"`          // time since the list of workers was last read, in milliseconds; -1 where it never was
	// LeaseAgeMS is by how many milliseconds the lease began before the request's arrival, or NoLease. The control group counts the
	// lease from a renewal that its primary knows of, which may be an earlier one than this request.
	LeaseAgeMS int64 `json:"leaseAgeMs"`
}

// NoLease is SyncResponse.LeaseAgeMS where the caller has no lease.
const NoLease = -1
