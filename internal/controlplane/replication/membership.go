package replication

import (
	"context"

	"github.com/gravitational/trace"
)

// membershipChange takes one member out and another in; either may be missing.
type membershipChange struct {
	remove string // a disk id, or ""
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

// AddMember takes a process into the group, after it has copied the state. It returns when the view is in force.
func (g *Group) AddMember(ctx context.Context, added Member) error {
	return g.submitMembership(ctx, membershipChange{add: &added})
}

// RemoveMember takes a disk out of the group. The primary can't remove itself.
func (g *Group) RemoveMember(ctx context.Context, diskID string) error {
	return g.submitMembership(ctx, membershipChange{remove: diskID})
}

// ReplaceMember takes a disk out and another in, by one change.
func (g *Group) ReplaceMember(ctx context.Context, oldDiskID string, added Member) error {
	return g.submitMembership(ctx, membershipChange{remove: oldDiskID, add: &added})
}

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

// catchUpLearner copies the state to a process that is to become a member, while the group goes on.
func (l *leadership) catchUpLearner(ctx context.Context, learner Member) error {
	last := l.group.replica.end()
	taught, err := l.group.align(ctx, learner, l.currentView().Epoch, last, &lazySnapshot{})
	if err != nil {
		return trace.Wrap(err)
	}
	if !taught {
		return trace.Wrap(ErrNotPrimary)
	}
	return nil
}

// changeMembership makes a view with the new members, which needs majorities of both the old and the new ones, and
// then one in which the old ones have no say any more. Where the second fails it is made later.
func (l *leadership) changeMembership(change membershipChange) error {
	view := l.currentView()
	if len(view.Previous) > 0 {
		return trace.Wrap(ErrNotPrimary) // the last change is not finished
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
