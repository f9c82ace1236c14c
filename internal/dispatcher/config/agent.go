// The agent's settings.

package config

import (
	"fmt"
	"net/netip"
	"time"
)

// Agent is what an operator's file says of an agent and its instances.
type Agent struct {
	Control   string // where status, counters and drain are asked for
	Program   string // what runs an instance; empty: this program
	SNMP      string // where the SNMP agent listens; empty: none
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
	RequestTimeout    time.Duration // a look or a question is answered within it
	RestartBackoff    time.Duration // first pause before a restart; doubles up to
	RestartBackoffMax time.Duration // this
	StableAfter       time.Duration // an instance that ran so long starts over with the first pause
	StopTimeout       time.Duration // after SIGTERM an instance may take so long to answer what it has
	Instances         int
	ReplyBytes        int   // bytes of what an instance or an agent answers
	DatagramBytes     int   // bytes of an SNMP message
	Variables         int   // variables in one SNMP answer
	RequestBytes      int64 // bytes of a question to the agent
}

// LoadAgent reads an agent's file.
func LoadAgent(path string) (*Agent, error) {
	var f struct {
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
	if err := decodeTOML(path, &f); err != nil {
		return nil, err
	}
	a := &Agent{Control: f.Agent.Control, Program: f.Agent.Program, SNMP: f.SNMP.Listen, Community: f.SNMP.Community,
		Instances: f.Instances, Limits: AgentLimits{PollInterval: time.Second, RequestTimeout: 2 * time.Second, RestartBackoff: 100 * time.Millisecond,
			RestartBackoffMax: 10 * time.Second, StableAfter: 10 * time.Second, StopTimeout: 10 * time.Second, Instances: 256,
			ReplyBytes: 1 << 20, DatagramBytes: 8 << 10, Variables: 128, RequestBytes: 4 << 10}}
	bad := func(key, format string, v ...any) (*Agent, error) {
		return nil, fmt.Errorf("%s: key %s: %s", path, key, fmt.Sprintf(format, v...))
	}
	if a.Control == "" {
		a.Control = DefaultControl
	}
	for key, address := range map[string]string{"agent.control": a.Control, "snmp.listen": a.SNMP} {
		if at, err := netip.ParseAddrPort(address); address != "" && (err != nil || !at.Addr().IsLoopback()) {
			return bad(key, "%q is not a loopback address and port", address)
		}
	}
	if a.Community == "" {
		a.Community = "public"
	}
	if ms := f.Agent.PollMs; ms != 0 {
		if ms < 50 || ms > 60000 {
			return bad("agent.poll_ms", "%d is not in 50 to 60000", ms)
		}
		a.Limits.PollInterval = time.Duration(ms) * time.Millisecond
	}
	if n := len(a.Instances); n == 0 || n > a.Limits.Instances {
		return bad("instance", "%d of them; 1 to %d can be", n, a.Limits.Instances)
	}
	seen := map[string]bool{}
	for i, in := range a.Instances {
		at := fmt.Sprintf("instance.%d.", i)
		if in.Name == "" || seen[in.Name] || len(in.Name) > 64 {
			return bad(at+"name", "%q is missing, double or too long", in.Name)
		}
		if _, err := netip.ParseAddrPort(in.Listen); err != nil || seen[in.Listen] {
			return bad(at+"listen", "%q is no address and port, or double", in.Listen)
		}
		if in.Discovery != "" {
			if _, err := netip.ParseAddrPort(in.Discovery); err != nil {
				return bad(at+"discovery", "%q is not an address and port", in.Discovery)
			}
		}
		if in.Config == "" {
			return bad(at+"config", "the path of the instance's settings is missing")
		}
		seen[in.Name], seen[in.Listen] = true, true
	}
	return a, nil
}

// DefaultControl is where an agent is asked where no other address is given.
const DefaultControl = "127.0.0.1:7470"
