package replication

import (
	"context"

	"github.com/gravitational/trace"
)

// membershipChange removes one member and adds another; either may be missing.
type membershipChange struct {
	remove string // a disk id; "" for none
	add    *Member
}

// apply returns the members after the change.
func (c membershipChange) apply(members []Member) []Member {
	changed := withoutDisk(members, c.remove)
	if c.add != nil {
		changed = append(withoutDisk(changed, c.add.DiskID), *c.add)
	}
	return changed
}

// AddMember sends the state to a process and adds the process to the group. It returns nil when the view with the new
// member is in force, and ErrNotPrimary if this process can't carry out the change.
func (g *Group) AddMember(ctx context.Context, added Member) error {
	return g.submitMembership(ctx, membershipChange{add: &added})
}

// RemoveMember removes the member with a disk id. The primary can't remove itself.
func (g *Group) RemoveMember(ctx context.Context, diskID string) error {
	return g.submitMembership(ctx, membershipChange{remove: diskID})
}

// ReplaceMember removes the member with a disk id and adds another in one change, so that the group never has one
// member fewer in between.
func (g *Group) ReplaceMember(ctx context.Context, oldDiskID string, added Member) error {
	return g.submitMembership(ctx, membershipChange{remove: oldDiskID, add: &added})
}

// submitMembership submits a change of the membership to the leadership's goroutine. A new member receives the state
// first, while the group continues to commit changes.
func (g *Group) submitMembership(ctx context.Context, change membershipChange) error {
	if change.remove == g.self.DiskID {
		return trace.BadParameter("the primary can't leave the group")
	}
	l := g.leadership.Load()
	if l == nil {
		return trace.Wrap(ErrNotPrimary)
	}
	if change.add != nil {
		if err := l.catchUpLearner(ctx, *change.add); err != nil {
			return trace.Wrap(err)
		}
	}
	return g.submit(ctx, &request{kind: requestMembership, membership: change})
}

// catchUpLearner sends the state to a learner, a process that is to become a member.
func (l *leadership) catchUpLearner(ctx context.Context, learner Member) error {
	last := l.group.replica.end()
	attached, err := l.group.align(ctx, learner, l.currentView().Epoch, last, &lazySnapshot{})
	if err != nil {
		return trace.Wrap(err)
	}
	if !attached {
		return trace.Wrap(ErrNotPrimary)
	}
	return nil
}

// changeMembership makes a view with the new members, which needs majorities of the previous and of the new members,
// and then a view without the previous members. If the second view fails, step retries it.
func (l *leadership) changeMembership(change membershipChange) error {
	view := l.currentView()
	if len(view.Previous) > 0 {
		return trace.Wrap(ErrNotPrimary) // the previous change has not been completed
	}
	required := ""
	if change.add != nil {
		required = change.add.DiskID
	}
	err := l.changeView(viewChange{required: required}, func(newest View) (View, error) {
		if newest.Epoch != view.Epoch {
			return View{}, trace.Wrap(ErrNotPrimary)
		}
		return View{Members: change.apply(newest.Members), Previous: newest.Members}, nil
	})
	if err != nil {
		return trace.Wrap(err)
	}
	_ = l.reconfigure(nil)
	return nil
}
