package placement

import (
	"time"

	"gladepick/internal/cluster"
)

const (
	// restartGrace is how long stores that were found dead together keep their replicas. Processes that were killed
	// restart within this time with all their data; replacing their replicas would take longer.
	restartGrace = cluster.LeaseDuration
	// stabilizationTime is the delay between the last store found dead and the repair, so that other stores that failed
	// with it are found first.
	stabilizationTime = 50 * time.Millisecond
	// newPrimaryStabilizationTime is the delay between the start of a new primary of the control group and the repair.
	// The failure that ended the former primary may have ended stores too, whose failure reports are still on their way.
	newPrimaryStabilizationTime = 300 * time.Millisecond
)

// outage describes the stores that were found dead within restartGrace and are still listed as replicas.
type outage struct {
	down    map[string]bool // by name
	latest  time.Time       // when the last of them was found dead
	expires time.Time       // when restartGrace ends for the store that was found dead first
}

// AwaitRestarts keeps the replicas of stores that were found dead recently, while these stores are expected to restart.
// The caller plans again at the returned time. leadingSince is when the primary of the control group began to lead.
func (b *Builder) AwaitRestarts(now, leadingSince time.Time) (until time.Time, waits bool) {
	found := b.findOutage(now)
	if len(found.down) == 0 {
		return time.Time{}, false
	}
	until = found.keepReplicasUntil(b.ReplicationFactor-1, leadingSince)
	if !until.After(now) {
		return time.Time{}, false
	}
	b.expectedBack = found.down
	return until, true
}

// findOutage returns the stores that hold replicas and were found dead within restartGrace before now.
func (b *Builder) findOutage(now time.Time) outage {
	var found outage
	var counts map[string]int // counted only if a store is dead
	for name, node := range b.nodes {
		if node.Live || now.Sub(node.Revoked) >= restartGrace {
			continue
		}
		if counts == nil {
			counts = b.replicaCounts()
		}
		if counts[name] > 0 {
			found.add(name, node.Revoked)
		}
	}
	return found
}

// add adds a store that was found dead at the given time.
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

// keepReplicasUntil returns the time until which the dead stores keep their replicas. If more stores are dead than the
// number of tolerated losses, they are expected to restart and keep their replicas for restartGrace. Otherwise, they
// keep their replicas only until stabilizationTime and newPrimaryStabilizationTime have passed, so that other failures
// are found first.
func (o outage) keepReplicasUntil(tolerated int, leadingSince time.Time) time.Time {
	if len(o.down) > tolerated {
		return o.expires
	}
	stable := o.latest.Add(stabilizationTime)
	if afterElection := leadingSince.Add(newPrimaryStabilizationTime); afterElection.After(stable) {
		return afterElection
	}
	return stable
}

// isExpectedBack reports whether a replica is kept although its store is down.
func (b *Builder) isExpectedBack(replica cluster.Replica) bool {
	entry := b.store(replica.Store)
	return b.expectedBack[replica.Store] && entry != nil && entry.DiskID == replica.DiskID
}
