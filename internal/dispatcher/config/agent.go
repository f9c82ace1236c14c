package config

import (
	"fmt"
	"net/netip"
	"time"
)

// DefaultControl is the default address and port at which an agent listens for queries.
const DefaultControl = "127.0.0.1:7470"

// instanceNameBytes is the longest name of an instance, in bytes.
const instanceNameBytes = 64

// Agent holds the settings of an agent and its instances. It is read from an operator's file.
type Agent struct {
	Control   string // address and port for queries, on loopback
	Program   string // path of the program that runs an instance; empty: this program
	SNMP      string // address and port for SNMP, on loopback; empty: none
	Community string
	Instances []Instance
	Limits    AgentLimits
}

// Instance is one dispatcher process that an agent keeps running.
type Instance struct {
	Name      string `toml:"name"`
	Listen    string `toml:"listen"`
	Discovery string `toml:"discovery"`
	Config    string `toml:"config"`
	AMQP      string `toml:"amqp"`
	Capture   string `toml:"capture"`
	Members   string `toml:"members"`
	Promises  string `toml:"promises"`
}

// AgentLimits holds the agent's sizes, counts and times.
type AgentLimits struct {
	PollInterval      time.Duration // between two polls of an instance
	RequestTimeout    time.Duration // of a poll or a query
	RestartBackoff    time.Duration // delay before the first restart
	RestartBackoffMax time.Duration // limit up to which that delay doubles
	StableAfter       time.Duration // run time after which the restart delay starts over at RestartBackoff
	StopTimeout       time.Duration // after SIGTERM, for an instance to answer its open jobs
	Instances         int           // maximum number of instances of an agent
	ReplyBytes        int           // of a reply of an instance or an agent
	DatagramBytes     int           // of an SNMP message
	Variables         int           // in one SNMP response
	RequestBytes      int64         // of a query to the agent
}

// defaultAgentLimits are the limits of every agent; only PollInterval can be set in its file.
var defaultAgentLimits = AgentLimits{
	PollInterval:      time.Second,
	RequestTimeout:    2 * time.Second,
	RestartBackoff:    100 * time.Millisecond,
	RestartBackoffMax: 10 * time.Second,
	StableAfter:       10 * time.Second,
	StopTimeout:       10 * time.Second,
	Instances:         256,
	ReplyBytes:        1 << 20,
	DatagramBytes:     8 << 10,
	Variables:         128,
	RequestBytes:      4 << 10,
}

// agentFile is the operator's file of an agent.
type agentFile struct {
	Agent struct {
		Control string `toml:"control"`
		Program string `toml:"program"`
		PollMs  int    `toml:"poll_ms"`
	} `toml:"agent"`
	SNMP struct {
		Listen    string `toml:"listen"`
		Community string `toml:"community"`
	} `toml:"snmp"`
	Instances []Instance `toml:"instance"`
}

// LoadAgent reads the operator's file of an agent, fills in the defaults and checks every value.
func LoadAgent(path string) (*Agent, error) {
	var f agentFile
	if err := decodeTOML(path, &f); err != nil {
		return nil, err
	}
	a := &Agent{
		Control:   f.Agent.Control,
		Program:   f.Agent.Program,
		SNMP:      f.SNMP.Listen,
		Community: f.SNMP.Community,
		Instances: f.Instances,
		Limits:    defaultAgentLimits,
	}
	at := section{path: path}
	if a.Control == "" {
		a.Control = DefaultControl
	}
	if err := checkLoopback(at, "agent.control", a.Control); err != nil {
		return nil, err
	}
	if err := checkLoopback(at, "snmp.listen", a.SNMP); err != nil {
		return nil, err
	}
	if a.Community == "" {
		a.Community = "public"
	}
	if ms := f.Agent.PollMs; ms != 0 {
		if ms < 50 || ms > 60000 {
			return nil, at.errorf("agent.poll_ms", "%d is not in 50 to 60000", ms)
		}
		a.Limits.PollInterval = time.Duration(ms) * time.Millisecond
	}
	if err := a.checkInstances(at); err != nil {
		return nil, err
	}
	return a, nil
}

// checkLoopback checks that an address is a loopback address with a port. An empty address is valid.
func checkLoopback(at section, key, address string) error {
	if address == "" {
		return nil
	}
	if a, err := netip.ParseAddrPort(address); err != nil || !a.Addr().IsLoopback() {
		return at.errorf(key, "%q is not a loopback address and port", address)
	}
	return nil
}

// checkInstances checks the number of instances and that each has a unique name, a unique address and settings.
func (a *Agent) checkInstances(at section) error {
	if n := len(a.Instances); n == 0 || n > a.Limits.Instances {
		return at.errorf("instance", "there are %d instances; 1 to %d are allowed", n, a.Limits.Instances)
	}
	seen := map[string]bool{}
	for i, in := range a.Instances {
		at := section{at.path, fmt.Sprintf("instance.%d", i)}
		if in.Name == "" || seen[in.Name] || len(in.Name) > instanceNameBytes {
			return at.errorf("name", "%q is missing, a duplicate or too long", in.Name)
		}
		if _, err := netip.ParseAddrPort(in.Listen); err != nil || seen[in.Listen] {
			return at.errorf("listen", "%q is not an address and port, or is a duplicate", in.Listen)
		}
		if in.Discovery != "" {
			if _, err := netip.ParseAddrPort(in.Discovery); err != nil {
				return at.errorf("discovery", "%q is not an address and port", in.Discovery)
			}
		}
		if in.Config == "" {
			return at.errorf("config", "the path of the instance's settings is missing")
		}
		seen[in.Name], seen[in.Listen] = true, true
	}
	return nil
}
