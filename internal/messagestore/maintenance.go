package messagestore

import "time"

// wakeMaintenance has the background work look at once.
func (s *Store) wakeMaintenance() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// maintain repairs replica groups, drops what need not be remembered, and compacts the log.
func (s *Store) maintain() {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	var forgotten, beaten time.Time
	for {
		select {
		case <-s.context.Done():
			return
		case <-s.wake:
		case <-ticker.C:
		}
		s.repairBackups()
		if s.options.Control.LeaseRemaining() < backupLeaseMargin && time.Since(beaten) >= heartbeatInterval {
			beaten = time.Now()
			s.requestBackupLeases()
		}
		if time.Since(forgotten) >= expiryInterval {
			forgotten = time.Now()
			s.dropExpired(forgotten)
			s.compactIfLarge()
		}
	}
}

// repair starts the copies that are due.
func (s *Store) repairBackups() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		if p.isPrimary && len(p.resync) > 0 {
			s.startDueResyncs(p)
		}
	}
}

// dropOld forgets messages that ended long ago.
func (s *Store) dropExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		for id, each := range p.entries {
			if each.ended() && now.Sub(each.endedAt) > s.options.StatusRetention {
				delete(p.entries, id)
			}
		}
	}
}
