package controlplane

import (
	"time"

	"gladepick/internal/cluster"
)

const (
	// restartGrace is how long stores that were found dead together are left their places. Processes that were killed
	// are back within it, with all they held; replacing their copies would take longer.
	restartGrace = cluster.LeaseDuration
	// settleTime passes between a first store found dead and the repair, so that others that died with it are known.
	settleTime = 50 * time.Millisecond
	// newPrimarySettle is the same after a new primary of the control group began: what ended the one before may have
	// ended stores too, and reports of them are on their way.
	newPrimarySettle = 300 * time.Millisecond
)

// outage is what is known of the stores that were found dead lately and still have their places.
type outage struct {
	dead    map[string]bool // by name
	latest  time.Time       // when the last of them was found dead
	expires time.Time       // when the grace of the first of them is over
}

// findOutage looks for stores that were found dead lately.
func (d *draft) findOutage(now time.Time) outage {
	var found outage
	var places map[string]int // counted only where a store is dead
	for name, node := range d.nodes {
		if node.Live || now.Sub(node.Revoked) >= restartGrace {
			continue
		}
		if places == nil {
			places = d.replicaCounts()
		}
		if places[name] > 0 {
			found.add(name, node.Revoked)
		}
	}
	return found
}

// add notes a store that was found dead at a moment.
func (o *outage) add(name string, refused time.Time) {
	if o.dead == nil {
		o.dead = map[string]bool{}
	}
	o.dead[name] = true
	if refused.After(o.latest) {
		o.latest = refused
	}
	if expires := refused.Add(restartGrace); o.expires.IsZero() || expires.Before(o.expires) {
		o.expires = expires
	}
}

// holdUntil returns until when the dead stores keep their places. More of them than the system is made to lose are
// expected to come back.
func (o outage) holdUntil(tolerated int, leadingSince time.Time) time.Time {
	if len(o.dead) > tolerated {
		return o.expires
	}
	settled := o.latest.Add(settleTime)
	if young := leadingSince.Add(newPrimarySettle); young.After(settled) {
		return young
	}
	return settled
}

// expectsBack tells whether a replica keeps its place although its store is down.
func (d *draft) expectsBack(replica cluster.Replica) bool {
	entry := d.store(replica.Store)
	return d.held[replica.Store] && entry != nil && entry.DiskID == replica.DiskID
}
