package settings

import (
	"slices"
	"time"
)

// Parties that a role may serve.
const (
	ServesFront   = "front"
	ServesControl = "control"
	ServesStore   = "store"
)

// Settings is what a process is given at its start. It must not be changed after it was loaded.
type Settings struct {
	Node              string   // the machine's name
	Role              string   // the program's role
	Class             string   // the machine's class
	Serves            []string // the parties that may call the role
	IP                string
	Zone              string
	Region            string // where none is given, that of the zone by Zones
	InternalPorts     PortRange
	Seeds             []string // control addresses of a few machines, "ip:port"
	Bootstrap         bool     // the first start of the whole system
	CountsForQuorum   bool     // the machine counts in the tolerance of faults
	DataDir           string   // empty where the machine has no disk
	Discovery         string
	Entry             string
	HeartbeatInterval time.Duration     // key heartbeat-ms
	Contracts         []string          // parts of the rules that are in force
	Zones             map[string]string // region by zone
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

// ListenAddresses holds where the process listens for others, "ip:port". What the role does not serve is empty.
type ListenAddresses struct {
	Front   string // messages of clients
	Ready   string // the platform's health check
	Control string // the operator and other callers of the control plane
}

// Limits holds the resources of the process.
type Limits struct {
	CPUShare float64 // of a core
	Cores    int
	MemoryMB int
	MaxFDs   int     // file descriptors
	LinkMbps float64 // megabits a second
	DiskMB   int     // 0 where none is stated
}

// FaultTolerance says how much may be lost at once.
type FaultTolerance struct {
	Machines int
	Zones    int
	Regions  int
}

// Bounds holds the figures of the rules that are in force. This version works by Drain, Grace and Status; the others are
// read and checked only.
type Bounds struct {
	SeedLag            time.Duration
	ReuseAfter         time.Duration
	Contact            time.Duration
	Acknowledge        time.Duration // key ack-ms
	CatchUp            time.Duration
	Drain              time.Duration // for the deliveries that are out when a store ends
	Grace              time.Duration // from SIGTERM to the end of the process
	LossSlack          time.Duration
	ConfigurationLag   time.Duration // key config-apply-ms
	RevertSlack        time.Duration
	MaxSkew            time.Duration
	Recovery           time.Duration
	Finish             time.Duration
	Status             time.Duration // for which a message's end can be queried
	Callback           time.Duration
	Visibility         time.Duration
	Early              time.Duration
	RateLimitWindow    time.Duration // key ceiling-window-s
	RateLimitOvershoot float64       // key ceiling-overshoot; a factor
}

// Cloud says how to reach the platform's list of workers.
type Cloud struct {
	Address       string  // "ip:port"
	RatePerSecond float64 // calls a second, of all processes together
	Duties        []string
	Lag           time.Duration // by which the list is behind
}

// ServesParty reports whether a party may call the role.
func (s *Settings) ServesParty(party string) bool {
	return slices.Contains(s.Serves, party)
}

// HasContract reports whether a part of the rules is in force.
func (s *Settings) HasContract(name string) bool {
	return slices.Contains(s.Contracts, name)
}
