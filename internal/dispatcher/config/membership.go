package config

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// The longest name and version that fit into the membership's datagrams, in bytes.
const (
	memberNameBytes    = 24
	memberVersionBytes = 12
)

// Membership holds the settings of the membership protocol among dispatchers.
type Membership struct {
	Path             string         // of the operator's file
	Listen           netip.AddrPort // for datagrams
	Advertise        netip.AddrPort // at which the other dispatchers reach this one
	Peers            []Peer
	LearnNames       bool // the names of the peers are unknown, and are learnt from the datagrams they send
	ProbeInterval    time.Duration
	SuspicionTimeout time.Duration
	Weight           float64
	Version          string
	Events           string // a file to which a JSON line is written for each change
}

// membershipTable is the table members of an operator's file.
type membershipTable struct {
	Listen             string      `toml:"listen"`
	AdvertiseAddr      string      `toml:"at"`
	ProbeIntervalMs    int         `toml:"period_ms"`
	SuspicionTimeoutMs int         `toml:"bear_ms"`
	Weight             float64     `toml:"weight"`
	Version            string      `toml:"version"`
	Events             string      `toml:"events"`
	Peers              []namedPeer `toml:"peer"`
}

// loadMembership reads the operator's file for the membership. The membership runs only if this file is given and the
// settings permit messages among dispatchers.
func loadMembership(path string, n *Node, f *nodeFile) (*Membership, error) {
	if !n.Module.PeerMessages {
		return nil, fmt.Errorf("NODE_MEMBERS: %s: the settings forbid messages among dispatchers (limits.peers is not true); unset the variable to start", path)
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
		ProbeInterval:    time.Duration(table.ProbeIntervalMs) * time.Millisecond,
		SuspicionTimeout: time.Duration(table.SuspicionTimeoutMs) * time.Millisecond,
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
		if err := m.readPlatformPeers(f, n.Module.Self); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// readAddresses reads the dispatcher's own addresses. If the table has no listen address, the platform's is used.
func (m *Membership) readAddresses(table *membershipTable, at section, f *nodeFile) (err error) {
	if table.Listen == "" {
		table.Listen = f.PeerListen
	}
	if table.AdvertiseAddr == "" {
		table.AdvertiseAddr = table.Listen
	}
	if m.Listen, err = netip.ParseAddrPort(table.Listen); err != nil {
		return at.errorf("listen", "%q is not an address and port", table.Listen)
	}
	m.Advertise, err = netip.ParseAddrPort(table.AdvertiseAddr)
	if err != nil || m.Advertise.Addr().IsUnspecified() || m.Advertise.Port() == 0 {
		return at.errorf("at", "%q is not an address and port at which other dispatchers reach this one", table.AdvertiseAddr)
	}
	return nil
}

// check checks the range of the values that need no parsing, and the dispatcher's name.
func (table *membershipTable) check(at section, name string) error {
	switch {
	case table.ProbeIntervalMs != 0 && (table.ProbeIntervalMs < 50 || table.ProbeIntervalMs > 60000):
		return at.errorf("period_ms", "%d is not in 50 to 60000", table.ProbeIntervalMs)
	case table.SuspicionTimeoutMs != 0 && (table.SuspicionTimeoutMs < 200 || table.SuspicionTimeoutMs > 600000):
		return at.errorf("bear_ms", "%d is not in 200 to 600000", table.SuspicionTimeoutMs)
	case !(table.Weight >= 0 && table.Weight <= math.MaxFloat32):
		return at.errorf("weight", "%v is not 0 or more", table.Weight)
	case len(table.Version) > memberVersionBytes:
		return at.errorf("version", "%q is longer than 12 bytes", table.Version)
	case name == "" || len(name) > memberNameBytes:
		return fmt.Errorf("name (NODE_NAME): %q: the name of a member has 1 to 24 bytes (%s)", name, at.path)
	}
	return nil
}

// readPeers reads the peers in the operator's file.
func (m *Membership) readPeers(table *membershipTable, at section) error {
	for i, p := range table.Peers {
		address, err := netip.ParseAddrPort(p.Address)
		if err != nil {
			return at.errorf(fmt.Sprintf("peer.%d.address", i), "%q is not an address and port", p.Address)
		}
		duplicate := slices.ContainsFunc(m.Peers, func(q Peer) bool { return q.Name == p.Name })
		if p.Name == "" || len(p.Name) > memberNameBytes || duplicate {
			return at.errorf(fmt.Sprintf("peer.%d.name", i), "%q is missing, a duplicate or longer than 24 bytes", p.Name)
		}
		m.Peers = append(m.Peers, Peer{p.Name, address})
	}
	return nil
}

// readPlatformPeers reads the peers in the platform's file and leaves out this dispatcher, which has the index self.
func (m *Membership) readPlatformPeers(f *nodeFile, self int) error {
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
