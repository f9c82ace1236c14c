package cluster

// SyncRequest renews a lease and asks for everything newer than the caller's versions. If there is nothing new, the
// member holds back the response for up to WaitMS (long polling).
type SyncRequest struct {
	Node            NodeInfo `json:"node"`
	ConfigVersion   uint64   `json:"configVersion"`
	TableRevision   uint64   `json:"tableRevision"`
	WorkersEpoch    uint64   `json:"workersEpoch"`
	WorkersRevision uint64   `json:"workersRevision"`
	WaitMS          int64    `json:"waitMs,omitempty"` // how long the response may be held back, in milliseconds
}

// SyncResponse contains the parts that have changed; a zero value means that a part has not changed. The configuration
// is in the body: the whole document, or the updates that lead to it from the caller's version.
type SyncResponse struct {
	ConfigVersion uint64 `json:"configVersion,omitempty"` // greater than 0 if the body contains a configuration
	// ConfigUpdates are the lengths of the updates in the body, in bytes. It is empty for a whole document.
	ConfigUpdates []int  `json:"configUpdates,omitempty"`
	Table         *Table `json:"table,omitempty"`
	// TableChanges lead from the caller's table to the newest one. They are sent instead of Table.
	TableChanges []TableChange `json:"tableChanges,omitempty"`
	Workers      *WorkerList   `json:"workers,omitempty"`
	// WorkerChanges lead from the caller's list of workers to the newest one. They are sent instead of Workers.
	WorkerChanges []WorkerChange `json:"workerChanges,omitempty"`
	Compressed    bool           `json:"packed,omitempty"` // the body is compressed; see Compress
	// WorkerCount is the number of entries in the list of workers. Only stores receive the list itself.
	WorkerCount int `json:"workerCount,omitempty"`
	// WorkersAgeMS is the time since the list of workers was last read, in milliseconds; -1 if it was never read.
	WorkersAgeMS int64 `json:"workersAgeMs"`
	// LeaseAgeMS is how long before the request's arrival the lease began, in milliseconds, or NoLease. The control group
	// counts the lease from a renewal that its primary knows of, which may be an earlier one than this request.
	LeaseAgeMS int64 `json:"leaseAgeMs"`
}

// NoLease is the value of SyncResponse.LeaseAgeMS if the caller has no lease.
const NoLease = -1
