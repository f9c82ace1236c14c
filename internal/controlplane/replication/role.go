package replication

import "time"

// Role is the role of a process in the group at one time.
type Role struct {
	View     View   // the newest view this process has accepted
	Epoch    uint64 // the epoch of that view
	Primary  bool   // it leads the group, and its lease is valid
	UpToDate bool   // it has applied all that was committed at a time within the last lease, so its state may be read
}

// Role returns this process's current role.
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

// OnRoleChange registers a function that is called with the new role whenever Epoch, Primary or UpToDate has changed.
// The function must return soon, and must not propose to the group or wait for it.
func (g *Group) OnRoleChange(observer func(Role)) {
	g.observersMu.Lock()
	defer g.observersMu.Unlock()
	g.observers = append(g.observers, observer)
}

// notify calls the observers if the role has changed.
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
