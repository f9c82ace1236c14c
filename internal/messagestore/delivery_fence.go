package messagestore

import (
	"sync"
	"sync/atomic"
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/messagestore/record"
)

// deliveryFence decides whether deliveries of a partition may start. The delivery engine reads it without Store.mu.
type deliveryFence struct {
	open        atomic.Bool // this store is the primary, not fenced, not paused for a handover, and has all messages
	backups     atomic.Pointer[[]*replicator]
	closedUntil atomic.Pointer[time.Time] // a former primary may deliver until then; nil if there was none

	mutex  sync.Mutex
	grants map[string]time.Time // by disk ID: when the last lease that a backup granted was requested
}

// recordGrant records that a backup has granted a lease for the partition. The lease counts from the time of its
// request.
func (f *deliveryFence) recordGrant(diskID string, requestedAt time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.grants == nil {
		f.grants = make(map[string]time.Time)
	}
	f.grants[diskID] = requestedAt
}

// grantedAt returns when the last lease that a backup granted was requested, or the zero time if it has granted none.
func (f *deliveryFence) grantedAt(diskID string) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.grants[diskID]
}

// MayDeliver implements delivery.Owner. It reports whether a delivery of the partition may start now: no other store
// can have become the primary, and no former primary may still deliver.
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

// holdsLease reports whether no other store can have become the partition's primary: this store's lease from the
// control plane is valid, or every backup has granted it a lease under this epoch that is still valid.
func (s *Store) holdsLease(fence *deliveryFence) bool {
	return s.options.Control.LeaseRemaining() > 0 || fence.backupLeasesValid()
}

// backupLeasesValid reports whether all backups have granted leases that are still valid. A backup that becomes primary
// starts no deliveries before the lease that it granted has ended. A backup whose process has ended has lost its record
// of the grant, so a lease that was requested before that no longer counts.
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

// fence returns a partition's fence and creates it if it does not exist. It needs no lock.
func (s *Store) fence(id int) *deliveryFence {
	found, _ := s.fences.LoadOrStore(id, &deliveryFence{})
	return found.(*deliveryFence)
}

// updateFence updates a partition's fence after a change of the store's role in the partition. The caller must hold
// s.mu.
func (s *Store) updateFence(p *partition) {
	fence := s.fence(p.id)
	var backups []*replicator
	if p.isPrimary {
		for _, replica := range p.backups() {
			backups = append(backups, s.replicator(replica))
		}
	}
	fence.backups.Store(&backups)
	fence.open.Store(p.isPrimary && !p.paused && !p.fenced && p.collection == nil)
}

// isConfirmedPrimary reports whether this store is a partition's primary and no other store can be. The caller must
// hold s.mu.
func (s *Store) isConfirmedPrimary(p *partition) bool {
	if !p.isPrimary || p.fenced || p.collection != nil {
		return false
	}
	return s.holdsLease(s.fence(p.id))
}

// awaitFormerPrimary delays deliveries of a partition until all known leases of stores in the former view have ended. A
// process that has seen no view before does not know the former primary and has lost the leases of before its start; it
// waits until all of them must have ended, unless its log shows that it led under this epoch after they had. The caller
// must hold s.mu.
func (s *Store) awaitFormerPrimary(p *partition, former cluster.Partition) {
	var until time.Time
	if len(former.Replicas) == 0 && p.settledEpoch < p.epoch && p.epoch > firstEpoch {
		until = time.Now().Add(s.leaseGrantsRemaining(s.options.Name))
	}
	for _, replica := range former.Replicas {
		until = laterOf(until, s.leaseGrants[replica.Store])
	}
	s.fence(p.id).closedUntil.Store(&until)
}

// settle records in the log under which epoch this store leads without a former primary that may still deliver, so that
// it does not wait for such a primary after a restart. The caller must hold s.mu.
func (s *Store) settle(p *partition) {
	if !p.isPrimary || p.fenced || p.collection != nil || p.settledEpoch >= p.epoch || p.epoch <= firstEpoch {
		return
	}
	if until := s.fence(p.id).closedUntil.Load(); until != nil && time.Now().Before(*until) {
		return
	}
	if s.appendRecord(&record.Record{Kind: record.Settled, Partition: p.id, Epoch: p.epoch}) != nil {
		return // the next round tries again
	}
	p.settledEpoch = p.epoch
	s.syncSoon()
}

// extendClosed delays deliveries of a partition further, until a lease that another replica has granted has ended.
func (f *deliveryFence) extendClosed(until time.Time) {
	if closed := f.closedUntil.Load(); closed == nil || until.After(*closed) {
		f.closedUntil.Store(&until)
	}
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
