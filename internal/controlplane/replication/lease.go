package replication

import "time"

// leaseValid reports whether this process is certainly the primary: a majority and every backup of the in-sync set have
// responded to heartbeats that were sent within the lease duration. An expired lease is not renewed in the same view,
// because a witness that has seen it expire may have promised an epoch to another candidate.
func (l *leadership) leaseValid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leaseLapsed && !l.leaseSupported(now) {
		l.leaseLapsed = true
		l.signal()
	}
	return !l.leaseLapsed
}

// leaseSupported reports whether the responses of the other members support the lease. The caller holds the lock.
func (l *leadership) leaseSupported(now time.Time) bool {
	for _, diskID := range l.view.InSync {
		if !l.withinLease(diskID, now, (*peer).lastAligned) {
			return false
		}
	}
	return l.view.hasQuorum(func(diskID string) bool { return l.withinLease(diskID, now, (*peer).lastLeaseRenewal) })
}

// withinLease reports whether the time that lastCall returns for a member is less than the lease duration ago. This
// process itself always counts. The caller holds the lock.
func (l *leadership) withinLease(diskID string, now time.Time, lastCall func(*peer) time.Time) bool {
	if diskID == l.group.self.DiskID {
		return true
	}
	known := l.peers[diskID]
	return known != nil && now.Sub(lastCall(known)) < l.group.timing.LeaseDuration
}
