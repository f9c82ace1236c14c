package placement

import (
	"time"

	"gladepick/internal/cluster"
)

const (
	// restartGrace is how long stores that were found dead together are left their places. Processes that were killed
	// are back within it, with all they held; replacing their replicas would take longer.
	restartGrace = cluster.LeaseDuration
	// stabilizationTime passes between a first store found dead and the repair, so that others that died with it are known.
	stabilizationTime = 50 * time.Millisecond
	// newPrimaryStabilizationTime is the same after a new primary of the control group began: what ended the one before may have
	// ended stores too, and reports of them are on their way.
	newPrimaryStabilizationTime = 300 * time.Millisecond
)

// outage is what is known of the stores that were found dead lately and are still listed as replicas.
type outage struct {
	down    map[string]bool // by name
	latest  time.Time       // when the last of them was found dead
	expires time.Time       // when the grace of the first of them is over
}

// AwaitRestarts has the replicas of stores that were found dead lately keep their places, where such stores are expected
// back. It tells until when, so that its caller looks again; leadingSince is when the primary of the control group began
// to lead.
func (b *Builder) AwaitRestarts(now, leadingSince time.Time) (until time.Time, waits bool) {
	found := b.findOutage(now)
	if len(found.down) == 0 {
		return time.Time{}, false
	}
	until = found.keepPlacesUntil(b.ReplicationFactor-1, leadingSince)
	if !until.After(now) {
		return time.Time{}, false
	}
	b.expectedBack = found.down
	return until, true
}

// findOutage looks for stores that were found dead lately.
func (b *Builder) findOutage(now time.Time) outage {
	var found outage
	var places map[string]int // counted only where a store is dead
	for name, node := range b.nodes {
		if node.Live || now.Sub(node.Revoked) >= restartGrace {
			continue
		}
		if places == nil {
			places = b.replicaCounts()
		}
		if places[name] > 0 {
			found.add(name, node.Revoked)
		}
	}
	return found
}

// add notes a store that was found dead at a moment.
func (o *outage) add(name string, foundDead time.Time) {
	if o.down == nil {
		o.down = map[string]bool{}
	}
	o.down[name] = true
	if foundDead.After(o.latest) {
		o.latest = foundDead
	}
	if expires := foundDead.Add(restartGrace); o.expires.IsZero() || expires.Before(o.expires) {
		o.expires = expires
	}
}

// keepPlacesUntil returns until when the dead stores keep their places. More of them than the system is made to lose are
// expected to come back.
func (o outage) keepPlacesUntil(tolerated int, leadingSince time.Time) time.Time {
	if len(o.down) > tolerated {
		return o.expires
	}
	stable := o.latest.Add(stabilizationTime)
	if afterElection := leadingSince.Add(newPrimaryStabilizationTime); afterElection.After(stable) {
		return afterElection
	}
	return stable
}

// isExpectedBack tells whether a replica keeps its place although its store is down.
func (b *Builder) isExpectedBack(replica cluster.Replica) bool {
	entry := b.store(replica.Store)
	return b.expectedBack[replica.Store] && entry != nil && entry.DiskID == replica.DiskID
}
