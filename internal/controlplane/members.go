package controlplane

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/controlplane/lease"
	"gladepick/internal/controlplane/replication"
)

const (
	memberInterval      = 300 * time.Millisecond // between two looks at the members
	memberChangeTimeout = 6 * time.Second
	memberSilenceLimit  = 5 * time.Second // after which a member is removed
	replaceableAfter    = time.Second     // of silence a member's place may be given to a process that wants to join
	memberCountLimit    = 9
	smallestGroup       = 3 // no member is removed from a group of this size
)

// leastMembers is the size down to which members are removed. A smaller group would have no majority left after the
// losses that the system must bear: members that are silent keep their places, and count again when they are back.
func leastMembers(tolerated int) int { return max(smallestGroup, 2*tolerated+1) }

// memberChange is one change of the group's members. Exactly one of the fields is set, or both to replace.
type memberChange struct {
	remove string              // disk id
	add    *replication.Member // new member
}

// memberManager adds processes to the group and removes those that are gone for good, while its process is the
// primary. It makes one change at a time.
type memberManager struct {
	plane        *Plane
	leadingSince time.Time
	lastAlive    map[string]time.Time // by disk id
}

func (m *memberManager) run(ctx context.Context) {
	m.plane.member.whilePrimary(ctx, memberInterval, m.begin, m.step)
}

func (m *memberManager) begin() {
	m.lastAlive, m.leadingSince = map[string]time.Time{}, time.Now()
}

func (m *memberManager) step(ctx context.Context) {
	now := time.Now()
	view := m.plane.member.Role().View
	nodes := m.plane.leases.Statuses(now)
	m.noteAlive(view.Members, nodes, now)
	change := m.plan(view, nodes, now)
	if change == nil {
		return
	}
	if err := m.apply(ctx, change); err != nil {
		m.plane.logger.Info("change of the members failed", zap.Error(err))
	}
	m.plane.manager.nudge()
}

// noteAlive remembers when each member was last known to be alive.
func (m *memberManager) noteAlive(members []replication.Member, nodes map[string]lease.Status, now time.Time) {
	for _, member := range members {
		node, found := nodes[member.Name]
		if found && node.Live && node.Info.DiskID == member.DiskID || member.DiskID == m.plane.options.Info.DiskID {
			m.lastAlive[member.DiskID] = now
		}
	}
}

func (m *memberManager) silence(member replication.Member, now time.Time) time.Duration {
	since, found := m.lastAlive[member.DiskID]
	if !found {
		since = m.leadingSince
	}
	return now.Sub(since)
}

// plan returns the next change of the members, or nil.
func (m *memberManager) plan(view replication.View, nodes map[string]lease.Status, now time.Time) *memberChange {
	if change := planJoin(view.Members, nodes); change != nil {
		return m.withSilentReplaced(change, view.Members, now)
	}
	return m.planRemoval(view, now)
}

// withSilentReplaced has a process that joins take the place of a member that is silent: beside it, the group would need
// one more for its majority and have none for it. While a member has been silent for a moment only, nobody joins.
func (m *memberManager) withSilentReplaced(
	change *memberChange, members []replication.Member, now time.Time,
) *memberChange {
	if change.remove != "" || len(members) < leastMembers(m.plane.options.Tolerated) {
		return change
	}
	longest := time.Duration(0)
	silent := ""
	for _, member := range members {
		if silence := m.silence(member, now); silence > longest {
			longest, silent = silence, member.DiskID
		}
	}
	switch {
	case silent == "":
		return change
	case longest < replaceableAfter:
		return nil
	}
	return &memberChange{remove: silent, add: change.add}
}

// planJoin returns the change that takes in a process that may be a member and is not. One whose name is listed with
// another disk takes that member's place.
func planJoin(members []replication.Member, nodes map[string]lease.Status) *memberChange {
	byName := make(map[string]replication.Member, len(members))
	for _, member := range members {
		byName[member.Name] = member
	}
	var joining *replication.Member
	for name, node := range nodes {
		if !node.Recent || !node.Info.Core || node.Info.DiskID == "" || node.Info.Draining || node.Info.DiskFailing {
			continue
		}
		candidate := replication.Member{Name: name, Address: node.Info.Address, DiskID: node.Info.DiskID}
		known, listed := byName[name]
		if listed && known.DiskID != candidate.DiskID {
			return &memberChange{remove: known.DiskID, add: &candidate}
		}
		if !listed && len(members) < memberCountLimit && (joining == nil || name < joining.Name) {
			joining = &candidate
		}
	}
	if joining == nil {
		return nil
	}
	return &memberChange{add: joining}
}

// planRemoval returns the change that removes a member that has been silent for long, while a majority of the others
// is alive.
func (m *memberManager) planRemoval(view replication.View, now time.Time) *memberChange {
	if len(view.Members) <= leastMembers(m.plane.options.Tolerated) {
		return nil
	}
	alive := 0
	var silent *replication.Member
	for i := range view.Members {
		switch silence := m.silence(view.Members[i], now); {
		case silence > memberSilenceLimit:
			silent = &view.Members[i]
		case silence == 0:
			alive++
		}
	}
	if silent == nil || 2*alive <= len(view.Members)-1 {
		return nil
	}
	return &memberChange{remove: silent.DiskID}
}

func (m *memberManager) apply(ctx context.Context, change *memberChange) error {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	group := &m.plane.member
	switch {
	case change.add == nil:
		m.plane.logger.Info("removing a member", zap.String("disk", change.remove))
		return group.RemoveMember(ctx, change.remove)
	case change.remove == "":
		m.plane.logger.Info("adding a member", zap.String("member", change.add.Name))
		return group.AddMember(ctx, *change.add)
	}
	m.plane.logger.Info("replacing a member", zap.String("member", change.add.Name))
	return group.ReplaceMember(ctx, change.remove, *change.add)
}
