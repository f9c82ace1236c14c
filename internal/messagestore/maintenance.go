package messagestore

import "time"

// wakeMaintenance makes maintain run its next round at once.
func (s *Store) wakeMaintenance() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// maintain runs until the store closes. Every maintainInterval, and when woken, it does what is due in the partitions
// that it leads, requests leases from the backups, drops expired messages and compacts the log.
func (s *Store) maintain() {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	var lastExpiry, lastLeaseRequest time.Time
	for {
		select {
		case <-s.context.Done():
			return
		case <-s.wake:
		case <-ticker.C:
		}
		s.maintainLeadership()
		if s.options.Control.LeaseRemaining() < backupLeaseMargin && time.Since(lastLeaseRequest) >= heartbeatInterval {
			lastLeaseRequest = time.Now()
			s.requestBackupLeases()
		}
		if time.Since(lastExpiry) >= expiryInterval {
			lastExpiry = time.Now()
			s.dropExpired(lastExpiry)
			s.compactIfLarge()
		}
	}
}

// maintainLeadership does what is due in the partitions that have this store as their primary: it resyncs backups, and
// takes the states of a new or fenced primary to their ends.
func (s *Store) maintainLeadership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		if !p.isPrimary {
			continue
		}
		s.startDueResyncs(p)
		s.endCatchUpIfAnswered(p)
		s.settle(p)
		s.finishIfCollected(p)
		s.renewFencedEpoch(p)
	}
}

// dropExpired removes messages that ended more than Options.StatusRetention ago from the index. It keeps those of an
// incomplete partition: a replica that has left the group may still call them queued, and take part in a recovery.
func (s *Store) dropExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		if !p.isComplete(s.options.ReplicationFactor) {
			continue
		}
		for id, e := range p.entries {
			if e.ended() && now.Sub(e.endedAt) > s.options.StatusRetention {
				delete(p.entries, id)
			}
		}
	}
}
