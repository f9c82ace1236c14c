package settings

import (
	"slices"
	"time"
)

// Values of the key "serves": the kinds of callers that the role serves.
const (
	ServesFront   = "front"
	ServesControl = "control"
	ServesStore   = "store"
)

// Settings holds the content of a process's settings file. It is read-only once loaded.
type Settings struct {
	Node              string   // the machine's name
	Role              string   // the program's role
	Class             string   // the machine's class
	Serves            []string // kinds of callers that the role serves: ServesFront and so on
	IP                string
	Zone              string
	Region            string // if the file gives none, the region that Zones gives for Zone
	InternalPorts     PortRange
	Seeds             []string // control addresses of some machines of the system, "ip:port"
	Bootstrap         bool     // this is the first start of the whole system
	CountsForQuorum   bool     // the machine counts towards the fault tolerance
	DataDir           string   // empty if the machine has no disk
	Discovery         string
	Entry             string
	HeartbeatInterval time.Duration     // key heartbeat-ms
	Contracts         []string          // names of the contracts that are in force
	Zones             map[string]string // maps each zone to its region
	ListenAddresses   ListenAddresses
	Limits            Limits
	FaultTolerance    FaultTolerance
	Bounds            Bounds
	Cloud             Cloud
}

// PortRange is a range of ports, both ends included.
type PortRange struct {
	First int
	Last  int
}

// ListenAddresses holds the addresses that the process listens on, as "ip:port". An address is empty if the role does
// not serve its callers.
type ListenAddresses struct {
	Front   string // clients that send messages
	Ready   string // health checks of the platform
	Control string // operator and other callers of the control plane
}

// Limits holds the resources of the process.
type Limits struct {
	CPUShare float64 // as a share of one core
	Cores    int
	MemoryMB int
	MaxFDs   int     // file descriptors
	LinkMbps float64 // megabits per second
	DiskMB   int     // 0 if not stated
}

// FaultTolerance holds how many machines, zones and regions may fail at once.
type FaultTolerance struct {
	Machines int
	Zones    int
	Regions  int
}

// Bounds holds the bounds that the contracts set. This version acts on Drain, Grace and Status only; it reads and
// checks the others but does not use them.
type Bounds struct {
	SeedLag            time.Duration
	ReuseAfter         time.Duration
	Contact            time.Duration
	Acknowledge        time.Duration // key ack-ms
	CatchUp            time.Duration
	Drain              time.Duration // for the deliveries in flight when a store shuts down
	Grace              time.Duration // from SIGTERM to the exit of the process
	LossSlack          time.Duration
	ConfigurationLag   time.Duration // key config-apply-ms
	RevertSlack        time.Duration
	MaxSkew            time.Duration
	Recovery           time.Duration
	Finish             time.Duration
	Status             time.Duration // how long the outcome of a message can be queried
	Callback           time.Duration
	Visibility         time.Duration
	Early              time.Duration
	RateLimitWindow    time.Duration // key ceiling-window-s
	RateLimitOvershoot float64       // key ceiling-overshoot; a factor
}

// Cloud holds how to reach the platform's list of workers.
type Cloud struct {
	Address       string  // "ip:port"
	RatePerSecond float64 // calls per second of all processes together
	Duties        []string
	Lag           time.Duration // how far the list may lag behind the workers
}

// ServesParty reports whether the role serves a kind of caller, such as ServesFront.
func (s *Settings) ServesParty(party string) bool {
	return slices.Contains(s.Serves, party)
}

// HasContract reports whether the named contract is in force.
func (s *Settings) HasContract(name string) bool {
	return slices.Contains(s.Contracts, name)
}
