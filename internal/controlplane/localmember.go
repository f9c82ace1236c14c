package controlplane

import (
	"context"
	"slices"
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/membership"
	"gladepick/internal/controlplane/replication"
	"gladepick/internal/controlplane/syncutil"
	"gladepick/internal/rpc"
)

// roleCheckInterval bounds how late a loop that works only at the primary notices that its process has become it.
const roleCheckInterval = time.Second

// group is what the control plane needs of the replicated group.
type group interface {
	Run(ctx context.Context)
	Close()
	Role() replication.Role
	Bootstrap(ctx context.Context, members []replication.Member) error
	Propose(ctx context.Context, change []byte) error
	ReadBarrier(ctx context.Context) error
	DurableBarrier(ctx context.Context) error
	AddMember(ctx context.Context, member replication.Member) error
	RemoveMember(ctx context.Context, diskID string) error
	ReplaceMember(ctx context.Context, oldDiskID string, member replication.Member) error
	OnRoleChange(changed func(replication.Role))
}

// localMember is this process's part in the control group, as the other parts of the plane see it.
type localMember struct {
	group // nil on a process that cannot be a member

	diskID      string            // of this process
	roleChanged syncutil.Notifier // at each change of the group's role here
}

// Members lists the members of the group as this process remembers them.
func (m *localMember) Members() []cluster.CoreMember {
	if m.group == nil {
		return nil
	}
	return membership.CoreMembers(m.Role().View.Members)
}

// UpToDate tells whether this process's replica of the control state may be served to others.
func (m *localMember) UpToDate() bool {
	_, fresh := m.currentRole()
	return fresh
}

// currentRole returns the role of this process in the group, and whether its replica of the control state may be served
// to others.
func (m *localMember) currentRole() (replication.Role, bool) {
	role := m.Role()
	return role, role.UpToDate && slices.Contains(role.View.InSync, m.diskID)
}

// RequirePrimary returns an error that tells where the primary is, unless it is here.
func (m *localMember) RequirePrimary() error {
	if m.Role().Primary {
		return nil
	}
	return m.NotLeader()
}

// NotLeader returns the error that tells where the primary is.
func (m *localMember) NotLeader() error {
	view := m.Role().View
	for _, member := range view.Members {
		if member.DiskID == view.Primary && member.DiskID != m.diskID {
			return &rpc.Error{Code: rpc.CodeNotLeader, Message: member.Address}
		}
	}
	return &rpc.Error{Code: rpc.CodeNotLeader}
}

// whilePrimary calls a function again and again, with pauses, while this process is the primary. Before the first
// call of each such time it calls begin.
func (m *localMember) whilePrimary(ctx context.Context, interval time.Duration, begin func(), step func(context.Context)) {
	leading := false
	for ctx.Err() == nil {
		changed := m.roleChanged.Receive()
		pause := roleCheckInterval
		primary := m.Role().Primary
		if primary && !leading {
			begin()
		}
		leading = primary
		if primary {
			step(ctx)
			changed, pause = nil, interval
		}
		timer := time.NewTimer(pause)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
