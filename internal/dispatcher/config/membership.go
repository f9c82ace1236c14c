package config

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// The longest names that fit into the membership's datagrams, in bytes.
const (
	memberNameBytes    = 24
	memberVersionBytes = 12
)

// Membership sets up the membership among dispatchers.
type Membership struct {
	Path             string         // of the operator's file
	Listen           netip.AddrPort // for datagrams
	Advertise        netip.AddrPort // where the others reach it
	Peers            []Peer
	LearnNames       bool // peers have no names: who is at an address shows in what comes from there
	ProbeInterval    time.Duration
	SuspicionTimeout time.Duration
	Weight           float64
	Version          string
	Events           string // a file that gets a JSON line for each change
}

// membershipTable is the table of an operator's file.
type membershipTable struct {
	Listen   string      `toml:"listen"`
	At       string      `toml:"at"`
	PeriodMs int         `toml:"period_ms"`
	BearMs   int         `toml:"bear_ms"`
	Weight   float64     `toml:"weight"`
	Version  string      `toml:"version"`
	Events   string      `toml:"events"`
	Peers    []namedPeer `toml:"peer"`
}

// loadMembership reads the operator's file for the membership. It needs the settings' permission too: neither alone turns
// it on.
func loadMembership(path string, n *Node, f *nodeFile) (*Membership, error) {
	if !n.Module.PeerMessages {
		return nil, fmt.Errorf("NODE_MEMBERS: %s: the settings forbid talk among dispatchers (limits.peers is not true); start without the variable", path)
	}
	var file struct {
		Members membershipTable `toml:"members"`
	}
	if err := decodeTOML(path, &file); err != nil {
		return nil, err
	}
	table, at := &file.Members, section{path, "members"}
	m := &Membership{
		Path:             path,
		ProbeInterval:    time.Duration(table.PeriodMs) * time.Millisecond,
		SuspicionTimeout: time.Duration(table.BearMs) * time.Millisecond,
		Weight:           table.Weight,
		Version:          table.Version,
		Events:           table.Events,
	}
	if err := m.readAddresses(table, at, f); err != nil {
		return nil, err
	}
	if err := table.check(at, n.Name); err != nil {
		return nil, err
	}
	if err := m.readPeers(table, at); err != nil {
		return nil, err
	}
	if m.LearnNames = len(m.Peers) == 0; m.LearnNames {
		if err := m.takePlatformsPeers(f, n.Module.Self); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// readAddresses reads the dispatcher's own addresses; without one the platform's holds.
func (m *Membership) readAddresses(table *membershipTable, at section, f *nodeFile) (err error) {
	if table.Listen == "" {
		table.Listen = f.PeerAt
	}
	if table.At == "" {
		table.At = table.Listen
	}
	if m.Listen, err = netip.ParseAddrPort(table.Listen); err != nil {
		return at.errorf("listen", "%q is not an address and port", table.Listen)
	}
	m.Advertise, err = netip.ParseAddrPort(table.At)
	if err != nil || m.Advertise.Addr().IsUnspecified() || m.Advertise.Port() == 0 {
		return at.errorf("at", "%q is not an address and port at which others reach it", table.At)
	}
	return nil
}

// check checks the values that are used as they stand, and the dispatcher's name.
func (table *membershipTable) check(at section, name string) error {
	switch {
	case table.PeriodMs != 0 && (table.PeriodMs < 50 || table.PeriodMs > 60000):
		return at.errorf("period_ms", "%d is not in 50 to 60000", table.PeriodMs)
	case table.BearMs != 0 && (table.BearMs < 200 || table.BearMs > 600000):
		return at.errorf("bear_ms", "%d is not in 200 to 600000", table.BearMs)
	case !(table.Weight >= 0 && table.Weight <= math.MaxFloat32):
		return at.errorf("weight", "%v is not 0 or more", table.Weight)
	case len(table.Version) > memberVersionBytes:
		return at.errorf("version", "%q is longer than 12 bytes", table.Version)
	case name == "" || len(name) > memberNameBytes:
		return fmt.Errorf("name (NODE_NAME): %q: 1 to 24 bytes are right for a member (%s)", name, at.path)
	}
	return nil
}

// readPeers reads the peers that the operator names.
func (m *Membership) readPeers(table *membershipTable, at section) error {
	for i, p := range table.Peers {
		address, err := netip.ParseAddrPort(p.Address)
		if err != nil {
			return at.errorf(fmt.Sprintf("peer.%d.address", i), "%q is not an address and port", p.Address)
		}
		double := slices.ContainsFunc(m.Peers, func(q Peer) bool { return q.Name == p.Name })
		if p.Name == "" || len(p.Name) > memberNameBytes || double {
			return at.errorf(fmt.Sprintf("peer.%d.name", i), "%q is missing, double or longer than 24 bytes", p.Name)
		}
		m.Peers = append(m.Peers, Peer{p.Name, address})
	}
	return nil
}

// takePlatformsPeers takes the peers from the platform's file, but for this dispatcher, which stands at index self.
func (m *Membership) takePlatformsPeers(f *nodeFile, self int) error {
	for i, text := range f.Peers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("NODE_CONFIG: peers.%d: %q is not an address and port", i, text)
		}
		if i != self {
			m.Peers = append(m.Peers, Peer{Address: address})
		}
	}
	return nil
}
