// The status of durable jobs as operators see it. It is part of this package so that the command line can read it
// without linking the libraries for replication.

package lease

// Status is the state of durable jobs at one dispatcher. Its JSON form is the response of GET /leases.
type Status struct {
	Name         string           `json:"name"`
	Owner        string           `json:"owner"`
	AssignmentID string           `json:"charter"` // hexadecimal; empty before there is an assignment
	Ready        bool             `json:"ready"`   // new durable jobs are accepted
	Open         int              `json:"open"`    // jobs whose lease this dispatcher has or waits for
	RecordCount  int              `json:"kept"`    // records in the replicas here
	Lost         int              `json:"lost"`    // groups led here that have lost a replica
	Counters     map[string]int64 `json:"counters"`
	Groups       []GroupStatus    `json:"groups"`
	Records      []RecordStatus   `json:"records,omitempty"`
}

// RecordStatus is the record of one durable job.
type RecordStatus struct {
	Key      string `json:"key"`
	Group    int    `json:"group"`
	State    string `json:"state"`
	Owner    string `json:"owner"`
	Epoch    uint64 `json:"epoch"`
	Attempt  uint32 `json:"attempt"`
	First    int64  `json:"first_ms"` // Unix ms of the first send that may have run; 0: none
	Deadline int64  `json:"until_ms"` // Unix ms
	Served   bool   `json:"served"`
	Result   string `json:"result,omitempty"`
}

// GroupStatus is the state of a placement group as known by one dispatcher. It has the fields of raftgroup.GroupStatus.
type GroupStatus struct {
	Group    int      `json:"group"`
	Leads    bool     `json:"leads"`
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Index    uint64   `json:"index"`
	Replicas []string `json:"copies"`           // hosts as name.incarnation
	Behind   []uint64 `json:"behind,omitempty"` // entries that each replica lags; only on the leader
	Lost     int      `json:"lost"`             // replicas whose host is not a member
}
