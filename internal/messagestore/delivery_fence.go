package messagestore

import (
	"sync"
	"sync/atomic"
	"time"

	"gladepick/internal/cluster"
)

// gate tells whether deliveries of a partition may start. The delivery engine looks at it without the store's lock.
type deliveryFence struct {
	open        atomic.Bool
	backups     atomic.Pointer[[]*replicator]
	closedUntil atomic.Pointer[time.Time] // a former primary may deliver until then; nil where none may

	mutex  sync.Mutex
	grants map[string]time.Time // by disk: when a backup was asked for the last lease that it granted for this partition
}

// noteGrant records that a backup has granted a lease of the partition.
func (g *deliveryFence) recordGrant(disk string, asked time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.grants == nil {
		g.grants = make(map[string]time.Time)
	}
	g.grants[disk] = asked
}

// grantedAt returns when a backup was asked for the last lease that it granted, or the zero time.
func (g *deliveryFence) grantedAt(disk string) time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.grants[disk]
}

// MayDeliver implements the delivery engine's owner: deliveries start only while no other store can have become
// primary, and once no former primary may deliver any more.
func (s *Store) MayDeliver(id int) bool {
	found, exists := s.fences.Load(id)
	if !exists {
		return false
	}
	state := found.(*deliveryFence)
	if notBefore := state.closedUntil.Load(); notBefore != nil && time.Now().Before(*notBefore) {
		return false
	}
	return state.open.Load() && s.holdsLease(state)
}

// surelyLeads tells whether no other store can have become a partition's primary: the lease runs, or every backup has
// lately granted a lease under this epoch.
func (s *Store) holdsLease(state *deliveryFence) bool {
	return s.options.Control.LeaseRemaining() > 0 || state.backupLeasesValid()
}

// backupsGrant tells whether all backups have lately granted a lease: none of them delivers for as long.
func (g *deliveryFence) backupLeasesValid() bool {
	backups := g.backups.Load()
	if backups == nil || len(*backups) == 0 {
		return false
	}
	for _, backup := range *backups {
		asked := g.grantedAt(backup.replica.DiskID)
		ended := backup.processEnded.Load()
		if time.Since(asked) >= backupLease || ended != nil && asked.Before(*ended) {
			return false
		}
	}
	return true
}

// gate returns a partition's gate, made where there is none.
func (s *Store) fence(id int) *deliveryFence {
	found, _ := s.fences.LoadOrStore(id, &deliveryFence{})
	return found.(*deliveryFence)
}

// setGate brings a partition's gate up to the store's role in it. The caller holds the lock.
func (s *Store) updateFence(p *partition) {
	state := s.fence(p.id)
	var backups []*replicator
	if p.isPrimary {
		for _, replica := range p.backups() {
			backups = append(backups, s.replicator(replica))
		}
	}
	state.backups.Store(&backups)
	state.open.Store(p.isPrimary && !p.paused && !p.fenced)
}

// leadsForSure tells whether this store is a partition's primary and no other store can be. The caller holds the lock.
func (s *Store) isConfirmedPrimary(p *partition) bool {
	if !p.isPrimary || p.fenced {
		return false
	}
	return s.holdsLease(s.fence(p.id))
}

// waitForFormer keeps deliveries of a partition back for as long as a former primary may count on a lease from this store. The
// caller holds the lock.
func (s *Store) awaitFormerPrimary(p *partition, former cluster.Partition) {
	var until time.Time
	for _, replica := range former.Replicas {
		if grant := s.leaseGrants[replica.Store]; grant.After(until) {
			until = grant
		}
	}
	s.fence(p.id).closedUntil.Store(&until)
}
