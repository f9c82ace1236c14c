package replication

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

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

// teach copies the state to a process that is to become a member, while the group goes on.
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

// reshape makes a view whose in-sync set has those who answer, without the failed disks. It also ends a change of
// membership that is in force.
func (l *leadership) reconfigure(failed map[string]bool) error {
	current := l.currentView()
	return l.changeView(viewChange{excluded: failed}, func(newest View) (View, error) {
		next := View{Members: newest.Members, Previous: newest.Previous}
		if newest.Epoch == current.Epoch {
			next.Previous = nil
		}
		return next, nil
	})
}

// makeView makes a view with this process as the primary, and enters it. The leadership ends where another process
// leads in a newer one.
func (l *leadership) changeView(change viewChange, derive func(newest View) (View, error)) error {
	l.superseded.Store(false)
	change.base = l.currentView()
	change.alwaysSendSnapshot = true
	change.excluded = l.unusablePeers(change.excluded)
	change.derive = func(newest View) (View, error) {
		if newest.Primary != l.group.self.DiskID {
			return View{}, trace.Wrap(errSuperseded)
		}
		return derive(newest)
	}
	made, err := l.group.changeView(l.ctx, change)
	switch {
	case err == nil:
		l.enterView(made)
		l.group.notify()
	case errors.Is(err, errSuperseded):
		l.group.resign(l, "overtaken")
	}
	return trace.Wrap(err)
}

// absentPeers returns the disks that can't be in the in-sync set now, besides the given ones.
func (l *leadership) unusablePeers(failed map[string]bool) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	absent := maps.Clone(failed)
	if absent == nil {
		absent = map[string]bool{}
	}
	now := time.Now()
	for diskID, known := range l.peers {
		usable := !known.unresponsive(now, l.group.timing)
		if !l.view.HasInSync(diskID) {
			usable = known.mayJoinInSync(now, l.group.timing)
		}
		if !usable {
			absent[diskID] = true
		}
	}
	return absent
}

// enter makes a view the one that this process leads, and begins and ends the heartbeats accordingly.
func (l *leadership) enterView(made establishedView) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view = made.view
	l.leaseLapsed = false
	for diskID, known := range l.peers {
		if _, member := made.view.Member(diskID); !member {
			known.cancel()
			delete(l.peers, diskID)
		}
	}
	for _, member := range made.view.allMembers() {
		if member.DiskID == l.group.self.DiskID {
			continue
		}
		l.updatePeer(member, made)
	}
}

// noteEntered records what the making of a view has told of a member. The caller holds the lock.
func (l *leadership) updatePeer(member Member, made establishedView) {
	known := l.peers[member.DiskID]
	if known != nil && known.member != member {
		known.cancel() // it has moved
		known = nil
	}
	if known == nil {
		known = &peer{member: member, heartbeatNow: make(chan struct{}, 1), created: time.Now()}
		l.peers[member.DiskID] = known
		var ctx context.Context
		ctx, known.cancel = context.WithCancel(l.ctx)
		go l.sendHeartbeats(ctx, known)
	}
	if at, accepted := made.acceptedAt[member.DiskID]; accepted {
		known.markContact(at)
		known.markLeaseRenewed(at)
	}
	if made.view.HasInSync(member.DiskID) {
		known.markAligned(made.alignedAt)
	} else {
		known.setAligned(false)
	}
}

// mustReshape tells whether the group stands still until a new view is made.
func (l *leadership) mustReconfigure() bool {
	view := l.currentView()
	if l.superseded.Load() || l.group.witness.record().Promised != view.Epoch {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaseLapsed {
		return true
	}
	now := time.Now()
	for _, diskID := range l.view.InSync {
		if known := l.peers[diskID]; known != nil && known.unresponsive(now, l.group.timing) {
			return true
		}
	}
	return false
}

// mayGrow tells whether a new view would be better than the current one: with more disks in sync, or free of the
// previous members. Otherwise it tells when to ask again; 0 stands for never.
func (l *leadership) mayImprove(now time.Time) (grow bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := len(l.view.Previous) > 0
	for _, member := range l.view.Members {
		known := l.peers[member.DiskID]
		if known != nil && !l.view.HasInSync(member.DiskID) && known.mayJoinInSync(now, l.group.timing) {
			wanted = true
		}
	}
	if !wanted {
		return false, 0
	}
	if rest := l.nextImprovement.Sub(now); rest > 0 {
		return false, rest
	}
	return true, 0
}

func (l *leadership) postponeImprovement() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextImprovement = time.Now().Add(improvementInterval)
}

// String names a member in messages.
func (m Member) String() string { return fmt.Sprintf("%s (%s)", m.Name, m.DiskID) }
