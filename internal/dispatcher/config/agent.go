package config

import (
	"fmt"
	"net/netip"
	"time"
)

// DefaultControl is where an agent is asked where no other address is given.
const DefaultControl = "127.0.0.1:7470"

// instanceNameBytes bounds an instance's name.
const instanceNameBytes = 64

// Agent is what an operator's file says of an agent and its instances.
type Agent struct {
	Control   string // address and port for questions, on loopback
	Program   string // what runs an instance; empty: this program
	SNMP      string // address and port for SNMP, on loopback; empty: none
	Community string
	Instances []Instance
	Limits    AgentLimits
}

// Instance is one dispatcher that an agent keeps running.
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

// AgentLimits are the agent's sizes and times.
type AgentLimits struct {
	PollInterval      time.Duration // between two looks at an instance
	RequestTimeout    time.Duration // of a look or a question
	RestartBackoff    time.Duration // first delay before a restart
	RestartBackoffMax time.Duration // up to which it doubles
	StableAfter       time.Duration // an instance that ran so long starts over with the first delay
	StopTimeout       time.Duration // after SIGTERM, within which an instance answers what it has
	Instances         int
	ReplyBytes        int   // of what an instance or an agent answers
	DatagramBytes     int   // of an SNMP message
	Variables         int   // in one SNMP answer
	RequestBytes      int64 // of a question to the agent
}

// defaultAgentLimits are those of every agent, but for the poll interval, which its file may set.
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

// agentFile is an agent's file.
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

// LoadAgent reads an agent's file.
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

// checkLoopback checks an address, where there is one.
func checkLoopback(at section, key, address string) error {
	if address == "" {
		return nil
	}
	if a, err := netip.ParseAddrPort(address); err != nil || !a.Addr().IsLoopback() {
		return at.errorf(key, "%q is not a loopback address and port", address)
	}
	return nil
}

// checkInstances checks that there are instances, and that names and addresses are their own.
func (a *Agent) checkInstances(at section) error {
	if n := len(a.Instances); n == 0 || n > a.Limits.Instances {
		return at.errorf("instance", "%d of them; 1 to %d can be", n, a.Limits.Instances)
	}
	seen := map[string]bool{}
	for i, in := range a.Instances {
		at := section{at.path, fmt.Sprintf("instance.%d", i)}
		if in.Name == "" || seen[in.Name] || len(in.Name) > instanceNameBytes {
			return at.errorf("name", "%q is missing, double or too long", in.Name)
		}
		if _, err := netip.ParseAddrPort(in.Listen); err != nil || seen[in.Listen] {
			return at.errorf("listen", "%q is no address and port, or double", in.Listen)
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
