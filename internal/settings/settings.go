// Package settings reads the settings file of a process.
//
// The file is TOML. Fields that this version does not know are ignored. A field that is absent or empty takes its
// default; only what no process can do without is required.
package settings

import (
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"
)

// EnvironmentVariable names the variable that holds the path of the settings file.
const EnvironmentVariable = "GLADEPICK_SETTINGS"

// DefaultPath is the path of the settings file where the variable is not set.
const DefaultPath = "/etc/gladepick/node.toml"

// Parties that a role may serve.
const (
	ServesFront   = "front"
	ServesControl = "control"
	ServesStore   = "store"
)

// Settings is what a process is told at its start. It must not be changed after it was loaded.
type Settings struct {
	Node              string   // the machine's name
	Role              string   // the program's role
	Class             string   // the machine's class
	Serves            []string // the parties that may call the role
	IP                string
	Zone              string
	Region            string
	InternalPorts     PortRange
	Seeds             []string // control addresses of a few machines
	Bootstrap         bool     // the first start of the whole system
	CountsForQuorum   bool     // the machine counts in the tolerance of faults
	DataDir           string   // empty where the machine has no disk
	Discovery         string
	Entry             string
	HeartbeatInterval time.Duration
	Contracts         []string
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

// ListenAddresses holds where the process listens for others. What the role does not serve is empty.
type ListenAddresses struct {
	Front   string // messages of clients
	Ready   string // the platform's probe
	Control string // the operator and other callers of the control plane
}

// Limits holds the resources of the process.
type Limits struct {
	CPUShare float64 // of a core
	Cores    int
	MemoryMB int
	MaxFDs   int
	LinkMbps float64
	DiskMB   int // 0 where none is stated
}

// FaultTolerance says how much may be lost at once.
type FaultTolerance struct {
	Machines int
	Zones    int
	Regions  int
}

// Bounds holds the figures of the rules that are in force.
type Bounds struct {
	SeedLag            time.Duration
	ReuseAfter         time.Duration
	Contact            time.Duration
	Acknowledge        time.Duration // key ack-ms
	CatchUp            time.Duration
	Drain              time.Duration
	Grace              time.Duration
	LossSlack          time.Duration
	ConfigurationLag   time.Duration // key config-apply-ms
	RevertSlack        time.Duration
	MaxSkew            time.Duration
	Recovery           time.Duration
	Finish             time.Duration
	Status             time.Duration
	Callback           time.Duration
	Visibility         time.Duration
	Early              time.Duration
	RateLimitWindow    time.Duration
	RateLimitOvershoot float64
}

// Cloud says how to reach the platform's list of workers.
type Cloud struct {
	Address       string
	RatePerSecond float64 // calls a second, of all processes together
	Duties        []string
	Lag           time.Duration // by which the list is behind
}

// Path returns the path of the settings file.
func Path() string {
	if path := os.Getenv(EnvironmentVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Load reads a settings file. What is wrong in it is returned as one error of the type Findings.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err, "reading the settings file")
	}
	return Parse(path, text)
}

// Parse reads settings from a text. The path only names the file in the findings.
func Parse(path string, text []byte) (*Settings, error) {
	var values map[string]any
	if _, err := toml.Decode(string(text), &values); err != nil {
		return nil, Findings{{File: path, Problem: err.Error()}}
	}
	findings := &collector{file: path}
	settings := readSettings(section{values: values, findings: findings})
	settings.check(findings)
	if len(findings.found) > 0 {
		return nil, findings.found
	}
	return settings, nil
}

// ServesParty tells whether a party may call the role.
func (s *Settings) ServesParty(party string) bool {
	return slices.Contains(s.Serves, party)
}

// HasContract tells whether a part of the rules is in force.
func (s *Settings) HasContract(name string) bool {
	return slices.Contains(s.Contracts, name)
}

// check finds what is missing, and what no process can work with.
func (s *Settings) check(findings *collector) {
	required := []struct{ key, value string }{
		{"node", s.Node},
		{"ip", s.IP},
		{"zone", s.Zone},
	}
	for _, text := range required {
		if text.value == "" {
			findings.add(text.key, "missing")
		}
	}
	if s.InternalPorts.First < 1 || s.InternalPorts.Last > maxPort || s.InternalPorts.Last < s.InternalPorts.First {
		findings.add("internal-ports", "must be the first and the last of some ports")
	}
}
