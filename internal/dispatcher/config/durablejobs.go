package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"gladepick/internal/decision"
)

// DurableJobs holds the settings of durable jobs. A durable job is replicated to other dispatchers before it is
// processed, so it outlives the dispatcher that accepted it.
type DurableJobs struct {
	Path         string         // of the operator's file
	Listen       netip.AddrPort // for the other dispatchers
	Peers        []Peer         // the other dispatchers, each with a name
	Groups       int
	Replicas     int
	Retention    time.Duration // how long an outcome is kept after the client's deadline
	MaxClockSkew time.Duration // between the clocks of two dispatchers
	MaxJobs      int           // maximum number of jobs kept over all groups, open ones included
	Events       string        // a file to which a JSON line is written for each step

	// For fault tests: the process kills itself when it reaches the point CrashAt for the CrashOccurrence-th time. With
	// CrashByStop it suspends itself instead, until it is resumed from outside.
	CrashAt         string // one of CrashPoints; empty: no crash
	CrashOccurrence int
	CrashByStop     bool
}

// CrashPoints lists the values of DurableJobs.CrashAt in the order in which a job passes them.
var CrashPoints = []string{"before-take", "taken", "before-intent", "intended", "sent", "worked", "ended", "told"}

// durableJobsTable is the table promises of an operator's file.
type durableJobsTable struct {
	Listen          string      `toml:"listen"`
	Groups          int         `toml:"groups"`
	Copies          int         `toml:"copies"`
	KeepS           float64     `toml:"keep_s"`
	SkewMs          int         `toml:"skew_ms"`
	Most            int         `toml:"most"`
	Events          string      `toml:"events"`
	CrashAt         string      `toml:"crash_at"`
	CrashOccurrence int         `toml:"crash_on"`
	CrashBy         string      `toml:"crash_by"`
	Peers           []namedPeer `toml:"peer"`
}

// loadDurableJobs reads the operator's file for durable jobs. They need the membership, and a network path between
// dispatchers that carries more than the decision module's messages. A platform that sets peer_listen carries only
// datagrams between dispatchers and is documented as the only path, so there durable jobs are an error.
func loadDurableJobs(path string, n *Node, f *nodeFile) (*DurableJobs, error) {
	switch {
	case !n.Module.PeerMessages:
		return nil, fmt.Errorf("NODE_PROMISES: %s: the settings forbid messages among dispatchers (limits.peers is not true); unset the variable to start", path)
	case f.PeerListen != "":
		return nil, fmt.Errorf("NODE_PROMISES: %s: this platform carries only datagrams between dispatchers (peer_listen), and there is no other path between them; unset the variable to start", path)
	case n.Membership == nil:
		return nil, fmt.Errorf("NODE_PROMISES: %s: durable jobs need the membership; set NODE_MEMBERS too", path)
	}
	var file struct {
		Promises durableJobsTable `toml:"promises"`
	}
	file.Promises = durableJobsTable{Groups: 16, Copies: 3, KeepS: 600, SkewMs: 250, Most: 100000, CrashOccurrence: 1}
	if err := decodeTOML(path, &file); err != nil {
		return nil, err
	}
	table, at := &file.Promises, section{path, "promises"}
	d := &DurableJobs{
		Path:            path,
		Groups:          table.Groups,
		Replicas:        table.Copies,
		Retention:       time.Duration(table.KeepS * float64(time.Second)),
		MaxClockSkew:    time.Duration(table.SkewMs) * time.Millisecond,
		MaxJobs:         table.Most,
		Events:          table.Events,
		CrashAt:         table.CrashAt,
		CrashOccurrence: table.CrashOccurrence,
		CrashByStop:     table.CrashBy == "stop",
	}
	var err error
	if d.Listen, err = netip.ParseAddrPort(table.Listen); err != nil {
		return nil, at.errorf("listen", "%q is not an address and port", table.Listen)
	}
	if err := table.check(at); err != nil {
		return nil, err
	}
	if err := d.checkSkew(at, n); err != nil {
		return nil, err
	}
	if err := d.readPeers(table, at, n.Name); err != nil {
		return nil, err
	}
	if len(d.Peers)+1 < d.Replicas {
		return nil, at.errorf("peer", "%d other dispatchers are named; %d copies need %d", len(d.Peers), d.Replicas, d.Replicas-1)
	}
	return d, nil
}

// check checks the range of the values that need no parsing.
func (table *durableJobsTable) check(at section) error {
	switch {
	case table.Groups < 1 || table.Groups > 256:
		return at.errorf("groups", "%d is not in 1 to 256", table.Groups)
	case table.Copies < 1 || table.Copies > 7 || table.Copies%2 == 0:
		return at.errorf("copies", "%d is none of 1, 3, 5, 7", table.Copies)
	case !(table.KeepS >= 1 && table.KeepS <= 7*86400):
		return at.errorf("keep_s", "%v is not in 1 to 604800", table.KeepS)
	case table.SkewMs < 0 || table.SkewMs > 60000:
		return at.errorf("skew_ms", "%d is not in 0 to 60000", table.SkewMs)
	case table.Most < 1 || table.Most > 1<<24:
		return at.errorf("most", "%d is not in 1 to %d", table.Most, 1<<24)
	case table.CrashAt != "" && !slices.Contains(CrashPoints, table.CrashAt):
		return at.errorf("crash_at", "%q is not one of %s", table.CrashAt, strings.Join(CrashPoints, ", "))
	case table.CrashBy != "" && table.CrashBy != "kill" && table.CrashBy != "stop":
		return at.errorf("crash_by", "%q is not kill or stop", table.CrashBy)
	case table.CrashOccurrence < 1:
		return at.errorf("crash_on", "%d is not 1 or more", table.CrashOccurrence)
	}
	return nil
}

// checkSkew checks that MaxClockSkew leaves time for retries within the deduplication window of each class: the skew
// and a tenth of the window may take up half of the window at most.
func (d *DurableJobs) checkSkew(at section, n *Node) error {
	for i, class := range n.Module.Classes {
		if class.Idempotency != decision.Deduplicated || class.DedupWindow <= 0 {
			continue
		}
		if need := d.MaxClockSkew + class.DedupWindow/10; need > class.DedupWindow/2 {
			return at.errorf("skew_ms", "%d: class %s may be repeated for %v only, which clocks so far apart leave no room in",
				d.MaxClockSkew.Milliseconds(), n.Classes[i], class.DedupWindow)
		}
	}
	return nil
}

// readPeers reads the other dispatchers. It skips the entry of this one, so that all dispatchers can share one file.
func (d *DurableJobs) readPeers(table *durableJobsTable, at section, self string) error {
	for i, p := range table.Peers {
		address, err := netip.ParseAddrPort(p.Address)
		if err != nil {
			return at.errorf(fmt.Sprintf("peer.%d.address", i), "%q is not an address and port", p.Address)
		}
		if p.Name == "" || slices.ContainsFunc(table.Peers[:i], func(q namedPeer) bool { return q.Name == p.Name }) {
			return at.errorf(fmt.Sprintf("peer.%d.name", i), "%q is missing or a duplicate", p.Name)
		}
		if p.Name != self {
			d.Peers = append(d.Peers, Peer{p.Name, address})
		}
	}
	return nil
}
