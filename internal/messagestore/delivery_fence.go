package messagestore

import (
	"sync"
	"sync/atomic"
	"time"

	"gladepick/internal/cluster"
)

// deliveryFence tells whether deliveries of a partition may start. The delivery engine looks at it without the store's lock.
type deliveryFence struct {
	open        atomic.Bool // this store is the primary, not fenced, and hands nothing over
	backups     atomic.Pointer[[]*replicator]
	closedUntil atomic.Pointer[time.Time] // a former primary may deliver until then; nil where none may

	mutex  sync.Mutex
	grants map[string]time.Time // by disk ID: when a backup was asked for the last lease that it granted for this partition
}

// recordGrant records that a backup has granted a lease of the partition.
func (f *deliveryFence) recordGrant(diskID string, requestedAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.grants == nil {
		f.grants = make(map[string]time.Time)
	}
	f.grants[diskID] = requestedAt
}

// grantedAt returns when a backup was asked for the last lease that it granted, or the zero time.
func (f *deliveryFence) grantedAt(diskID string) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.grants[diskID]
}

// MayDeliver implements delivery.Owner: deliveries of a partition start only while no other store can have become
// primary, and once no former primary may deliver any more.
func (s *Store) MayDeliver(id int) bool {
	found, exists := s.fences.Load(id)
	if !exists {
		return false
	}
	fence := found.(*deliveryFence)
	if until := fence.closedUntil.Load(); until != nil && time.Now().Before(*until) {
		return false
	}
	return fence.open.Load() && s.holdsLease(fence)
}

// holdsLease tells whether no other store can have become a partition's primary: the lease runs, or every backup has
// lately granted a lease under this epoch.
func (s *Store) holdsLease(fence *deliveryFence) bool {
	return s.options.Control.LeaseRemaining() > 0 || fence.backupLeasesValid()
}

// backupLeasesValid tells whether all backups have lately granted a lease: none of them delivers for as long.
func (f *deliveryFence) backupLeasesValid() bool {
	backups := f.backups.Load()
	if backups == nil || len(*backups) == 0 {
		return false
	}
	for _, backup := range *backups {
		requestedAt := f.grantedAt(backup.replica.DiskID)
		ended := backup.processEnded.Load()
		if time.Since(requestedAt) >= backupLease || ended != nil && requestedAt.Before(*ended) {
			return false
		}
	}
	return true
}

// fence returns a partition's fence, made where there is none.
func (s *Store) fence(id int) *deliveryFence {
	found, _ := s.fences.LoadOrStore(id, &deliveryFence{})
	return found.(*deliveryFence)
}

// updateFence brings a partition's fence up to the store's role in it. The caller holds the lock.
func (s *Store) updateFence(p *partition) {
	fence := s.fence(p.id)
	var backups []*replicator
	if p.isPrimary {
		for _, replica := range p.backups() {
			backups = append(backups, s.replicator(replica))
		}
	}
	fence.backups.Store(&backups)
	fence.open.Store(p.isPrimary && !p.paused && !p.fenced)
}

// isConfirmedPrimary tells whether this store is a partition's primary and no other store can be. The caller holds the lock.
func (s *Store) isConfirmedPrimary(p *partition) bool {
	if !p.isPrimary || p.fenced {
		return false
	}
	return s.holdsLease(s.fence(p.id))
}

// awaitFormerPrimary keeps deliveries of a partition back for as long as a store of the former view may count on a lease. The
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
