package replication

import (
	"errors"
	"maps"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/ctxtime"
)

// reconfigure makes a view whose in-sync set consists of the members that respond, without the failed disks. It also
// completes a change of the membership that is in force.
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

// reconfigureUntilDone makes a view without the failed disks, and retries until a view is in force or the leadership
// has ended.
func (l *leadership) reconfigureUntilDone(failed map[string]bool) error {
	for l.ctx.Err() == nil {
		if l.reconfigure(failed) == nil {
			return nil
		}
		failed = nil
		ctxtime.Sleep(l.ctx, reconfigureInterval)
	}
	return trace.Wrap(errSuperseded)
}

// changeView makes a view with this process as the primary, and enters it. It ends the leadership if another process
// leads in a newer view.
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
	established, err := l.group.changeView(l.ctx, change)
	switch {
	case err == nil:
		l.enterView(established)
		l.group.notify()
	case errors.Is(err, errSuperseded):
		l.group.resign(l, "superseded")
	}
	return trace.Wrap(err)
}

// unusablePeers returns the disks that can't be in the in-sync set now, besides the given ones.
func (l *leadership) unusablePeers(failed map[string]bool) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	unusable := maps.Clone(failed)
	if unusable == nil {
		unusable = map[string]bool{}
	}
	now := time.Now()
	for diskID, known := range l.peers {
		usable := !known.unresponsive(now, l.group.timing)
		if !l.view.HasInSync(diskID) {
			usable = known.mayJoinInSync(now, l.group.timing)
		}
		if !usable {
			unusable[diskID] = true
		}
	}
	return unusable
}

// mustReconfigure reports whether nothing can be committed until a new view is made.
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

// mayImprove reports whether to make a view that is better than the current one: with more disks in sync, or without
// the previous members. Otherwise it returns how long to wait before asking again; 0 means that there is nothing to
// improve.
func (l *leadership) mayImprove(now time.Time) (improve bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	better := len(l.view.Previous) > 0
	for _, member := range l.view.Members {
		known := l.peers[member.DiskID]
		if known != nil && !l.view.HasInSync(member.DiskID) && known.mayJoinInSync(now, l.group.timing) {
			better = true
		}
	}
	if !better {
		return false, 0
	}
	if remaining := l.nextImprovement.Sub(now); remaining > 0 {
		return false, remaining
	}
	return true, 0
}

// postponeImprovement sets the earliest time of the next view that only improves the current one.
func (l *leadership) postponeImprovement() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextImprovement = time.Now().Add(improvementInterval)
}
