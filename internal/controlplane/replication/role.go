package replication

import "time"

// Role is the part that a process plays at a moment.
type Role struct {
	View     View   // the newest view this process has accepted
	Epoch    uint64 // the view's epoch
	Primary  bool   // it leads the group: a majority and the whole in-sync set have answered within the lease
	UpToDate bool   // its state is current enough to be read
}

// Role tells which part this process plays now.
func (g *Group) Role() Role {
	now := time.Now()
	role := Role{}
	if l := g.leadership.Load(); l != nil {
		role.View = l.currentView()
		role.Primary = l.leaseValid(now)
		role.UpToDate = role.Primary
	} else {
		if accepted := g.witness.record().Accepted; accepted != nil {
			role.View = *accepted
		}
		role.UpToDate = g.monitor.upToDate(now, g.timing.LeaseDuration)
	}
	role.Epoch = role.View.Epoch
	return role
}

// OnRoleChange has a function called with the new role whenever the epoch, the primary's part or the freshness changes.
// The function must return soon, and must not propose or wait for anything of the group.
func (g *Group) OnRoleChange(observer func(Role)) {
	g.observersMu.Lock()
	defer g.observersMu.Unlock()
	g.observers = append(g.observers, observer)
}

// notify tells the observers where the role has changed.
func (g *Group) notify() {
	g.observersMu.Lock()
	defer g.observersMu.Unlock()
	role := g.Role()
	known := g.reported
	if role.Epoch == known.Epoch && role.Primary == known.Primary && role.UpToDate == known.UpToDate {
		return
	}
	g.reported = role
	for _, observer := range g.observers {
		observer(role)
	}
}
