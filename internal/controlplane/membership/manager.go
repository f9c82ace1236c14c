// Package membership decides who is a member of the control group.
//
// Its one job is Manager.Step, which the control plane calls every Interval at the primary. A process that may be a
// member joins; one whose name is listed with another disk takes that member's place; a member that has not answered for
// long is removed, but never so far that further tolerated losses could leave no majority. One change is made at a time.
//
// A Manager has no goroutine and no lock: Begin and Step are called by one goroutine. The decisions (plan, planJoin,
// planRemoval) are pure functions of the view, the leases and the time. Start reading at Manager.Step.
package membership

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/controlplane/lease"
	"gladepick/internal/controlplane/replication"
)

const (
	// Interval is the pause between two looks at the members.
	Interval = 300 * time.Millisecond
	// MaxMembers is the size up to which a group takes processes in.
	MaxMembers = 9

	changeTimeout    = 6 * time.Second
	removeAfter      = 5 * time.Second // without an answer, a member is removed
	replaceableAfter = time.Second     // without an answer, a member's place may be given to a process that wants to join
	smallestGroup    = 3               // no member is removed from a group of this size
)

// minMembers is the size down to which members are removed. A smaller group would have no majority left after the
// losses that the system must bear: members that do not answer keep their places, and count again when they are back.
func minMembers(tolerated int) int { return max(smallestGroup, 2*tolerated+1) }

// Group is what a Manager needs of the control group.
type Group interface {
	Role() replication.Role
	AddMember(ctx context.Context, member replication.Member) error
	RemoveMember(ctx context.Context, diskID string) error
	ReplaceMember(ctx context.Context, oldDiskID string, member replication.Member) error
}

// Options holds what a Manager works with.
type Options struct {
	Group     Group
	Leases    *lease.Table
	DiskID    string // of this process
	Tolerated int    // how many members may be lost at once
	// OnChange is called after each attempt to change the members.
	OnChange func()
	Logger   *zap.Logger
}

// memberChange is one change of the group's members. Exactly one of the fields is set, or both to replace.
type memberChange struct {
	remove string              // disk id
	add    *replication.Member // new member
}

// Manager adds processes to the group and removes those that are gone for good, while its process is the primary.
type Manager struct {
	options      Options
	leadingSince time.Time
	lastAlive    map[string]time.Time // by disk id
}

// NewManager returns a manager. Begin must be called before the first Step.
func NewManager(options Options) *Manager { return &Manager{options: options} }

// Begin starts the leadership of this process: of no member it is known yet how long it has not answered.
func (m *Manager) Begin() {
	m.lastAlive, m.leadingSince = map[string]time.Time{}, time.Now()
}

// Step makes at most one change of the members.
func (m *Manager) Step(ctx context.Context) {
	now := time.Now()
	view := m.options.Group.Role().View
	nodes := m.options.Leases.Statuses(now)
	m.recordAlive(view.Members, nodes, now)
	change := m.plan(view, nodes, now)
	if change == nil {
		return
	}
	if err := m.apply(ctx, change); err != nil {
		m.options.Logger.Info("change of the members failed", zap.Error(err))
	}
	m.options.OnChange()
}

// recordAlive remembers when each member was last known to be alive.
func (m *Manager) recordAlive(members []replication.Member, nodes map[string]lease.Status, now time.Time) {
	for _, member := range members {
		node, found := nodes[member.Name]
		if found && node.Live && node.Info.DiskID == member.DiskID || member.DiskID == m.options.DiskID {
			m.lastAlive[member.DiskID] = now
		}
	}
}

func (m *Manager) unresponsiveFor(member replication.Member, now time.Time) time.Duration {
	since, found := m.lastAlive[member.DiskID]
	if !found {
		since = m.leadingSince
	}
	return now.Sub(since)
}

// plan returns the next change of the members, or nil.
func (m *Manager) plan(view replication.View, nodes map[string]lease.Status, now time.Time) *memberChange {
	if change := planJoin(view.Members, nodes); change != nil {
		return m.replaceUnresponsive(change, view.Members, now)
	}
	return m.planRemoval(view, now)
}

// replaceUnresponsive has a process that joins take the place of a member that does not answer: beside it, the group
// would need one more for its majority and have none for it. While a member has not answered for a moment only, nobody
// joins.
func (m *Manager) replaceUnresponsive(
	change *memberChange, members []replication.Member, now time.Time,
) *memberChange {
	if change.remove != "" || len(members) < minMembers(m.options.Tolerated) {
		return change
	}
	longest := time.Duration(0)
	unresponsive := ""
	for _, member := range members {
		if duration := m.unresponsiveFor(member, now); duration > longest {
			longest, unresponsive = duration, member.DiskID
		}
	}
	switch {
	case unresponsive == "":
		return change
	case longest < replaceableAfter:
		return nil
	}
	return &memberChange{remove: unresponsive, add: change.add}
}

// planJoin returns the change that takes in a process that may be a member and is not. One whose name is listed with
// another disk takes that member's place.
func planJoin(members []replication.Member, nodes map[string]lease.Status) *memberChange {
	byName := make(map[string]replication.Member, len(members))
	for _, member := range members {
		byName[member.Name] = member
	}
	var joining *replication.Member
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		node := nodes[name]
		if !mayJoin(node) {
			continue
		}
		candidate := replication.Member{Name: name, Address: node.Info.Address, DiskID: node.Info.DiskID}
		known, listed := byName[name]
		if listed && known.DiskID != candidate.DiskID {
			return &memberChange{remove: known.DiskID, add: &candidate}
		}
		if !listed && len(members) < MaxMembers && joining == nil {
			joining = &candidate
		}
	}
	if joining == nil {
		return nil
	}
	return &memberChange{add: joining}
}

// mayJoin tells whether a process that is alive can be a member for longer.
func mayJoin(node lease.Status) bool {
	return node.Recent && node.Info.Core && node.Info.DiskID != "" && !node.Info.Draining && !node.Info.DiskFailing
}

// planRemoval returns the change that removes a member that has not answered for long, while a majority of the others
// is alive.
func (m *Manager) planRemoval(view replication.View, now time.Time) *memberChange {
	if len(view.Members) <= minMembers(m.options.Tolerated) {
		return nil
	}
	alive := 0
	var unresponsive *replication.Member
	for i := range view.Members {
		switch duration := m.unresponsiveFor(view.Members[i], now); {
		case duration > removeAfter:
			unresponsive = &view.Members[i]
		case duration == 0:
			alive++
		}
	}
	if unresponsive == nil || 2*alive <= len(view.Members)-1 {
		return nil
	}
	return &memberChange{remove: unresponsive.DiskID}
}

func (m *Manager) apply(ctx context.Context, change *memberChange) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	group := m.options.Group
	switch {
	case change.add == nil:
		m.options.Logger.Info("removing a member", zap.String("disk", change.remove))
		return group.RemoveMember(ctx, change.remove)
	case change.remove == "":
		m.options.Logger.Info("adding a member", zap.String("member", change.add.Name))
		return group.AddMember(ctx, *change.add)
	}
	m.options.Logger.Info("replacing a member", zap.String("member", change.add.Name))
	return group.ReplaceMember(ctx, change.remove, *change.add)
}
