// Operators' files: members, promises and message queues.

package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"gladepick/internal/decision"
)

// decodeTOML reads an operator's file strictly: a key that nobody reads is an error that names it.
func decodeTOML(path string, into any) error {
	meta, err := toml.DecodeFile(path, into)
	if err != nil {
		var parse toml.ParseError
		if errors.As(err, &parse) {
			return fmt.Errorf("%s: key %s: %s", path, parse.LastKey, parse.Error())
		}
		return fmt.Errorf("%s: %w", path, err)
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return fmt.Errorf("%s: key %s is unknown", path, extra[0])
	}
	return nil
}

func loadAMQP(path string, n *Node) (*AMQP, error) {
	var f struct {
		AMQP AMQP `toml:"amqp"`
	}
	if err := decodeTOML(path, &f); err != nil {
		return nil, err
	}
	a := &f.AMQP
	if !strings.HasPrefix(a.URL, "amqp://") && !strings.HasPrefix(a.URL, "amqps://") { // not shown: it may hold a password
		return nil, fmt.Errorf("%s: key amqp.url: it does not begin with amqp:// or amqps://", path)
	}
	if a.Jobs == "" {
		return nil, fmt.Errorf("%s: key amqp.jobs: the name of a queue is missing", path)
	}
	if a.Prefetch == 0 {
		a.Prefetch = n.Limits.OpenJobs / 2
	}
	if a.Prefetch < 1 || a.Prefetch > n.Limits.OpenJobs {
		return nil, fmt.Errorf("%s: key amqp.prefetch: %d is not in 1 to %d", path, a.Prefetch, n.Limits.OpenJobs)
	}
	seen := map[string]bool{}
	for i, w := range a.Workers {
		switch at := fmt.Sprintf("%s: key amqp.worker.%d", path, i); {
		case w.ID == "" || seen[w.ID]:
			return nil, fmt.Errorf("%s.id: %q is missing or double", at, w.ID)
		case w.Queue == "":
			return nil, fmt.Errorf("%s.queue: the name of a queue is missing", at)
		case Index(n.Zones, w.Zone) < 0:
			return nil, fmt.Errorf("%s.zone: %q is none of %v", at, w.Zone, n.Zones)
		case Index(n.Kinds, w.Kind) < 0:
			return nil, fmt.Errorf("%s.kind: %q is none of %v", at, w.Kind, n.Kinds)
		}
		seen[w.ID] = true
	}
	return a, nil
}

// named is an address of another dispatcher in an operator's file.
type named struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// loadMembers reads the operator's file for the membership. It needs the settings' permission too: neither alone turns it on.
func loadMembers(path string, n *Node, f *nodeFile) (*Membership, error) {
	if !n.Module.PeerMessages {
		return nil, fmt.Errorf("NODE_MEMBERS: %s: the settings forbid talk among dispatchers (limits.peers is not true); start without the variable", path)
	}
	var t struct {
		Members struct {
			Listen   string  `toml:"listen"`
			At       string  `toml:"at"`
			PeriodMs int     `toml:"period_ms"`
			BearMs   int     `toml:"bear_ms"`
			Weight   float64 `toml:"weight"`
			Version  string  `toml:"version"`
			Events   string  `toml:"events"`
			Peers    []named `toml:"peer"`
		} `toml:"members"`
	}
	if err := decodeTOML(path, &t); err != nil {
		return nil, err
	}
	c := &t.Members
	bad := func(key, format string, v ...any) (*Membership, error) {
		return nil, fmt.Errorf("%s: key members.%s: %s", path, key, fmt.Sprintf(format, v...))
	}
	m := &Membership{Path: path, ProbeInterval: time.Duration(c.PeriodMs) * time.Millisecond, SuspicionTimeout: time.Duration(c.BearMs) * time.Millisecond,
		Weight: c.Weight, Version: c.Version, Events: c.Events}
	if c.Listen == "" {
		c.Listen = f.PeerAt // the platform's
	}
	if c.At == "" {
		c.At = c.Listen
	}
	var err error
	if m.Listen, err = netip.ParseAddrPort(c.Listen); err != nil {
		return bad("listen", "%q is not an address and port", c.Listen)
	}
	if m.Advertise, err = netip.ParseAddrPort(c.At); err != nil || m.Advertise.Addr().IsUnspecified() || m.Advertise.Port() == 0 {
		return bad("at", "%q is not an address and port at which others reach it", c.At)
	}
	switch {
	case c.PeriodMs != 0 && (c.PeriodMs < 50 || c.PeriodMs > 60000):
		return bad("period_ms", "%d is not in 50 to 60000", c.PeriodMs)
	case c.BearMs != 0 && (c.BearMs < 200 || c.BearMs > 600000):
		return bad("bear_ms", "%d is not in 200 to 600000", c.BearMs)
	case !(c.Weight >= 0 && c.Weight <= math.MaxFloat32):
		return bad("weight", "%v is not 0 or more", c.Weight)
	case len(c.Version) > 12:
		return bad("version", "%q is longer than 12 bytes", c.Version)
	case n.Name == "" || len(n.Name) > 24:
		return nil, fmt.Errorf("name (NODE_NAME): %q: 1 to 24 bytes are right for a member (%s)", n.Name, path)
	}
	for i, p := range c.Peers {
		at, err := netip.ParseAddrPort(p.Address)
		if err != nil {
			return bad(fmt.Sprintf("peer.%d.address", i), "%q is not an address and port", p.Address)
		}
		if p.Name == "" || len(p.Name) > 24 || slices.ContainsFunc(m.Peers, func(q Peer) bool { return q.Name == p.Name }) {
			return bad(fmt.Sprintf("peer.%d.name", i), "%q is missing, double or longer than 24 bytes", p.Name)
		}
		m.Peers = append(m.Peers, Peer{p.Name, at})
	}
	if m.LearnNames = len(m.Peers) == 0; m.LearnNames {
		for i, text := range f.Peers {
			at, err := netip.ParseAddrPort(text)
			if err != nil {
				return nil, fmt.Errorf("NODE_CONFIG: peers.%d: %q is not an address and port", i, text)
			}
			if i != n.Module.Self {
				m.Peers = append(m.Peers, Peer{Address: at})
			}
		}
	}
	return m, nil
}

// loadPromises reads the operator's file for promises. They stand on the membership, and need a path between dispatchers
// that carries more than notes: where the platform itself carries datagrams for them, it is said to be the only one.
func loadPromises(path string, n *Node, f *nodeFile) (*DurableJobs, error) {
	switch {
	case !n.Module.PeerMessages:
		return nil, fmt.Errorf("NODE_PROMISES: %s: the settings forbid talk among dispatchers (limits.peers is not true); start without the variable", path)
	case f.PeerAt != "":
		return nil, fmt.Errorf("NODE_PROMISES: %s: this platform carries notes between dispatchers (peer_listen), and no other path leads from one to another; start without the variable", path)
	case n.Membership == nil:
		return nil, fmt.Errorf("NODE_PROMISES: %s: promises stand on the membership; set NODE_MEMBERS too", path)
	}
	var t struct {
		Promises struct {
			Listen  string  `toml:"listen"`
			Groups  int     `toml:"groups"`
			Copies  int     `toml:"copies"`
			KeepS   float64 `toml:"keep_s"`
			SkewMs  int     `toml:"skew_ms"`
			Most    int     `toml:"most"`
			Events  string  `toml:"events"`
			CrashAt string  `toml:"crash_at"`
			CrashOn int     `toml:"crash_on"`
			CrashBy string  `toml:"crash_by"`
			Peers   []named `toml:"peer"`
		} `toml:"promises"`
	}
	t.Promises.Groups, t.Promises.Copies, t.Promises.KeepS, t.Promises.SkewMs, t.Promises.Most, t.Promises.CrashOn = 16, 3, 600, 250, 100000, 1
	if err := decodeTOML(path, &t); err != nil {
		return nil, err
	}
	c := &t.Promises
	bad := func(key, format string, v ...any) (*DurableJobs, error) {
		return nil, fmt.Errorf("%s: key promises.%s: %s", path, key, fmt.Sprintf(format, v...))
	}
	p := &DurableJobs{Path: path, Groups: c.Groups, Replicas: c.Copies, Retention: time.Duration(c.KeepS * float64(time.Second)), MaxClockSkew: time.Duration(c.SkewMs) * time.Millisecond,
		MaxJobs: c.Most, Events: c.Events, CrashAt: c.CrashAt, CrashOn: c.CrashOn, CrashByStop: c.CrashBy == "stop"}
	var err error
	if p.Listen, err = netip.ParseAddrPort(c.Listen); err != nil {
		return bad("listen", "%q is not an address and port", c.Listen)
	}
	switch {
	case c.Groups < 1 || c.Groups > 256:
		return bad("groups", "%d is not in 1 to 256", c.Groups)
	case c.Copies < 1 || c.Copies > 7 || c.Copies%2 == 0:
		return bad("copies", "%d is none of 1, 3, 5, 7", c.Copies)
	case !(c.KeepS >= 1 && c.KeepS <= 7*86400):
		return bad("keep_s", "%v is not in 1 to 604800", c.KeepS)
	case c.SkewMs < 0 || c.SkewMs > 60000:
		return bad("skew_ms", "%d is not in 0 to 60000", c.SkewMs)
	case c.Most < 1 || c.Most > 1<<24:
		return bad("most", "%d is not in 1 to %d", c.Most, 1<<24)
	case c.CrashAt != "" && !slices.Contains(CrashPoints, c.CrashAt):
		return bad("crash_at", "%q is none of %s", c.CrashAt, strings.Join(CrashPoints, ", "))
	case c.CrashBy != "" && c.CrashBy != "kill" && c.CrashBy != "stop":
		return bad("crash_by", "%q is not kill or stop", c.CrashBy)
	case c.CrashOn < 1:
		return bad("crash_on", "%d is not 1 or more", c.CrashOn)
	}
	for i, x := range n.Module.Classes {
		if need := p.MaxClockSkew + x.DedupWindow/10; x.Idempotency == decision.Deduplicated && x.DedupWindow > 0 && need > x.DedupWindow/2 {
			return bad("skew_ms", "%d: class %s may be repeated for %v only, which clocks so far apart leave no room in", c.SkewMs, n.Classes[i], x.DedupWindow)
		}
	}
	for i, x := range c.Peers {
		at, err := netip.ParseAddrPort(x.Address)
		if err != nil {
			return bad(fmt.Sprintf("peer.%d.address", i), "%q is not an address and port", x.Address)
		}
		if x.Name == "" || slices.ContainsFunc(c.Peers[:i], func(q named) bool { return q.Name == x.Name }) {
			return bad(fmt.Sprintf("peer.%d.name", i), "%q is missing or double", x.Name)
		}
		if x.Name == n.Name { // its own: the files may be alike
			continue
		}
		p.Peers = append(p.Peers, Peer{x.Name, at})
	}
	if len(p.Peers)+1 < c.Copies {
		return bad("peer", "%d others are named, and %d copies need %d", len(p.Peers), c.Copies, c.Copies-1)
	}
	return p, nil
}
