// Package membership decides which processes are members of the control group.
//
// The control plane calls Manager.Step every Interval at the primary. A process that may be a member joins the group.
// If its name is listed with another disk, it replaces that member. A member that has not answered for removeAfter is
// removed, but only while the group stays large enough to have a majority after the tolerated losses. One change is
// made at a time.
//
// A Manager has no goroutine and no lock: Begin and Step are called by one goroutine. The decisions (plan, planJoin,
// planRemoval) make no calls and depend on the view, the leases and the time alone. Start reading at Manager.Step.
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
	// Interval is the pause between two calls of Manager.Step.
	Interval = 300 * time.Millisecond
	// MaxMembers is the maximum size of the group. No process is added to a group of this size.
	MaxMembers = 9

	changeTimeout    = 6 * time.Second
	removeAfter      = 5 * time.Second // time without an answer after which a member is removed
	replaceableAfter = time.Second     // time without an answer after which a joining process may replace a member
	smallestGroup    = 3               // no member is removed from a group of this size
)

// minMembers returns the size of the group at which no more members are removed. A smaller group would have no majority
// after the tolerated losses. At this size, members that do not answer stay in the group and can vote again as soon as
// they respond.
func minMembers(tolerated int) int { return max(smallestGroup, 2*tolerated+1) }

// Group is the part of the control group's API that a Manager uses.
type Group interface {
	Role() replication.Role
	AddMember(ctx context.Context, member replication.Member) error
	RemoveMember(ctx context.Context, diskID string) error
	ReplaceMember(ctx context.Context, oldDiskID string, member replication.Member) error
}

// Options configures a Manager.
type Options struct {
	Group           Group
	Leases          *lease.Table
	DiskID          string // of this process
	ToleratedLosses int    // number of members that may be lost at once
	// OnChange is called after each attempt to change the members.
	OnChange func()
	Logger   *zap.Logger
}

// memberChange is one change of the group's members. A replacement sets both fields; any other change sets exactly one.
type memberChange struct {
	remove string              // disk id
	add    *replication.Member // new member
}

// Manager adds processes to the group, and removes members that no longer respond, while its process is the primary.
type Manager struct {
	options      Options
	leadingSince time.Time
	lastAlive    map[string]time.Time // by disk id
}

// NewManager returns a manager. Begin must be called before the first Step.
func NewManager(options Options) *Manager { return &Manager{options: options} }

// Begin is called when this process becomes the primary. It resets the record of when members were last alive.
func (m *Manager) Begin() {
	m.lastAlive, m.leadingSince = map[string]time.Time{}, time.Now()
}

// Step makes at most one change of the members, and waits until the change has succeeded or failed.
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
		m.options.Logger.Info("failed to change the members of the control group", zap.Error(err))
	}
	m.options.OnChange()
}

// recordAlive records the members that are alive now. This process is always alive.
func (m *Manager) recordAlive(members []replication.Member, nodes map[string]lease.Status, now time.Time) {
	for _, member := range members {
		node, found := nodes[member.Name]
		if found && node.Live && node.Info.DiskID == member.DiskID || member.DiskID == m.options.DiskID {
			m.lastAlive[member.DiskID] = now
		}
	}
}

// unresponsiveFor returns the time since a member was last alive, at most the time since this process began to lead.
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

// replaceUnresponsive lets a joining process replace the member that has not answered for longest. If the process were
// added beside that member, the larger group could need one more vote for its majority and would have gained none.
// While that member has not answered for less than replaceableAfter, it returns nil and no process joins.
func (m *Manager) replaceUnresponsive(
	change *memberChange, members []replication.Member, now time.Time,
) *memberChange {
	if change.remove != "" || len(members) < minMembers(m.options.ToleratedLosses) {
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

// planJoin returns the change that adds a process that may be a member and is not, or nil. A process whose name is
// listed with another disk replaces that member.
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

// mayJoin reports whether a process is alive, can be a member, and is expected to stay: it neither drains nor reports a
// failing disk.
func mayJoin(node lease.Status) bool {
	return node.Recent && node.Info.ControlEligible && node.Info.DiskID != "" && !node.Info.Draining && !node.Info.DiskFailing
}

// planRemoval returns the change that removes a member that has not answered for longer than removeAfter, or nil. It
// requires that a majority of the other members is alive.
func (m *Manager) planRemoval(view replication.View, now time.Time) *memberChange {
	if len(view.Members) <= minMembers(m.options.ToleratedLosses) {
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
		m.options.Logger.Info("removing a member of the control group", zap.String("disk", change.remove))
		return group.RemoveMember(ctx, change.remove)
	case change.remove == "":
		m.options.Logger.Info("adding a member to the control group", zap.String("member", change.add.Name))
		return group.AddMember(ctx, *change.add)
	}
	m.options.Logger.Info("replacing a member of the control group", zap.String("member", change.add.Name))
	return group.ReplaceMember(ctx, change.remove, *change.add)
}
