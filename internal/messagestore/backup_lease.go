package messagestore

import (
	"time"

	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/messagestore/record"
)

// requestBackupLeases asks the backups of every partition for a lease while the control plane does not renew this store's.
func (s *Store) requestBackupLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		if !p.isPrimary || p.fenced {
			continue
		}
		line, err := (&record.Record{Kind: record.Epoch, Partition: p.id, Epoch: p.epoch}).Encode()
		if err != nil {
			continue
		}
		for _, replica := range p.backups() {
			s.sendTo(p, replica, line, nil)
		}
	}
}

// recordLeaseGrants records until when another store may still deliver: the requesting primary by a lease that this store
// grants now, or an earlier primary by a lease that the requesting one reports. The caller holds the lock.
func (s *Store) recordLeaseGrants(request *protocol.ReplicateRequest, now time.Time) {
	until := now.Add(time.Duration(request.LeaseGrantsMS) * time.Millisecond)
	if request.WantsLease {
		until = now.Add(backupLease)
	}
	if until.After(s.leaseGrants[request.From]) {
		s.leaseGrants[request.From] = until
	}
}

// leaseGrantsRemaining returns for how long any store may still count on a grant that this one knows of.
func (s *Store) leaseGrantsRemaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := time.Duration(0)
	for _, until := range s.leaseGrants {
		longest = max(longest, time.Until(until))
	}
	return longest
}
