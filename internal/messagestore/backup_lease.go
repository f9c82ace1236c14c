package messagestore

import (
	"time"

	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/messagestore/record"
)

// requestBackupLeases requests a lease from all backups of each partition that has this store as its primary. maintain
// calls it while this store's own lease from the control plane is about to end or has ended. An epoch record carries
// the request.
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

// recordLeaseGrants records until when another store may still deliver. If the requesting primary asks for a lease,
// this store grants one now. Otherwise the request reports the remaining time of leases granted to an earlier primary.
// The caller must hold s.mu.
func (s *Store) recordLeaseGrants(request *protocol.ReplicateRequest, now time.Time) {
	until := now.Add(time.Duration(request.LeaseGrantsMS) * time.Millisecond)
	if request.WantsLease {
		until = now.Add(backupLease)
	}
	if until.After(s.leaseGrants[request.From]) {
		s.leaseGrants[request.From] = until
	}
}

// leaseGrantsRemaining returns the time until the last lease grant that this store knows of has ended, or 0. Grants to
// the store named except do not count. A former process on this disk may have granted leases that this one does not know
// of. The caller must hold s.mu.
func (s *Store) leaseGrantsRemaining(except string) time.Duration {
	longest := max(0, time.Until(s.forgotten))
	for store, until := range s.leaseGrants {
		if store != except {
			longest = max(longest, time.Until(until))
		}
	}
	return longest
}
