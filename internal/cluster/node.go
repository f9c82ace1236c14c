package cluster

// NodeInfo identifies one process. The process sends it with each renewal of its lease.
type NodeInfo struct {
	Name            string `json:"name"`              // the machine's name from the settings file
	Class           string `json:"class"`             // the machine's class, "front" or "store"
	Zone            string `json:"zone"`              // the machine's zone
	Region          string `json:"region,omitempty"`  // the zone's region
	Address         string `json:"address"`           // address of its internal RPC server, "ip:port"
	Incarnation     string `json:"incarnation"`       // random, chosen at each start of the process
	DiskID          string `json:"diskId,omitempty"`  // random, set at first use of the data directory; empty without disk
	ControlEligible bool   `json:"core,omitempty"`    // it may become a member of the control group
	Store           bool   `json:"store,omitempty"`   // it stores messages
	Draining        bool   `json:"leaving,omitempty"` // it is shutting down gracefully and hands over its partitions
	DiskFailing     bool   `json:"diskFailing,omitempty"`
	// CollectsMessages is set by stores whose version can lead a partition without a synced replica (Partition.Retained).
	CollectsMessages bool `json:"collects,omitempty"`
}
