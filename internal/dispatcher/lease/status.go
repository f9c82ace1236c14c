// What an operator is shown of promises, apart from what makes it: the command line reads
// it without the libraries that keep copies.

package lease

// Status is what an operator is shown. Its JSON form is that of GET /leases.
type Status struct {
	Name         string           `json:"name"`
	Owner        string           `json:"owner"`
	AssignmentID string           `json:"charter"` // of the founding; empty before it
	Ready        bool             `json:"ready"`   // it may promise
	Open         int              `json:"open"`    // holds here
	RecordCount  int              `json:"kept"`    // records in the copies here
	Lost         int              `json:"lost"`    // groups led here with a copy whose place is not there
	Counters     map[string]int64 `json:"counters"`
	Groups       []GroupStatus    `json:"groups"`
	Records      []RecordStatus   `json:"records,omitempty"`
}

// RecordStatus is one promise as an operator sees it.
type RecordStatus struct {
	Key      string `json:"key"`
	Group    int    `json:"group"`
	State    string `json:"state"`
	Owner    string `json:"owner"`
	Epoch    uint64 `json:"epoch"`
	Attempt  uint32 `json:"attempt"`
	First    int64  `json:"first_ms"` // when the first send that may have run was let through, Unix ms; 0: none was
	Deadline int64  `json:"until_ms"`
	Served   bool   `json:"served"`
	Result   string `json:"result,omitempty"`
}

// GroupStatus is a placement group as one dispatcher knows it.
type GroupStatus struct {
	Group    int      `json:"group"`
	Leads    bool     `json:"leads"`
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Index    uint64   `json:"index"`
	Replicas []string `json:"copies"` // name.memory, and how many entries each is behind where this host leads
	Behind   []uint64 `json:"behind,omitempty"`
	Lost     int      `json:"lost"` // copies whose place is not there
}
