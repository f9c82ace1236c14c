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

// roleCheckInterval bounds how late a loop that runs only at the primary notices that its process has become the
// primary.
const roleCheckInterval = time.Second

// group is the part of the replicated group's API that the control plane uses.
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

// localMember is this process's membership in the control group, as the other packages of the control plane see it.
type localMember struct {
	group // nil on a process that cannot be a member

	diskID      string            // of this process
	roleChanged syncutil.Notifier // notified at each change of this process's role in the group
}

// Members returns the members of the group that this process last knew, or nil if it cannot be a member.
func (m *localMember) Members() []cluster.ControlMember {
	if m.group == nil {
		return nil
	}
	return membership.ControlMembers(m.Role().View.Members)
}

// UpToDate reports whether this process may serve its replica of the control state to other processes.
func (m *localMember) UpToDate() bool {
	_, upToDate := m.currentRole()
	return upToDate
}

// currentRole returns the role of this process in the group. The boolean reports whether the process may serve its
// replica of the control state to other processes.
func (m *localMember) currentRole() (replication.Role, bool) {
	role := m.Role()
	return role, role.UpToDate && slices.Contains(role.View.InSync, m.diskID)
}

// RequirePrimary returns nil if this process is the primary, and otherwise an error that holds the primary's address.
func (m *localMember) RequirePrimary() error {
	if m.Role().Primary {
		return nil
	}
	return m.NotLeader()
}

// NotLeader returns a CodeNotLeader error. Its message is the primary's address, or empty if no other primary is known.
func (m *localMember) NotLeader() error {
	view := m.Role().View
	for _, member := range view.Members {
		if member.DiskID == view.Primary && member.DiskID != m.diskID {
			return &rpc.Error{Code: rpc.CodeNotLeader, Message: member.Address}
		}
	}
	return &rpc.Error{Code: rpc.CodeNotLeader}
}

// whilePrimary calls step repeatedly while this process is the primary, and waits for the interval after each call. It
// calls begin before the first step of each leadership. It returns when the context ends.
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
