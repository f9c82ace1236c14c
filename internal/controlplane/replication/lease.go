package replication

import "time"

// leaseValid reports whether this process surely is the primary: a majority, and every backup of the in-sync set,
// has responded to a heartbeat that was sent within the lease. An expired lease is not renewed in the same view, as
// a witness that has seen it expire may have promised an epoch to another candidate.
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
		if !l.signWithinLease(diskID, now, (*peer).lastAligned) {
			return false
		}
	}
	return l.view.hasQuorum(func(diskID string) bool { return l.signWithinLease(diskID, now, (*peer).lastLeaseRenewal) })
}

// signWithinLease reports whether the latest sign of some kind from a member is younger than the lease. The caller
// holds the lock.
func (l *leadership) signWithinLease(diskID string, now time.Time, lastSign func(*peer) time.Time) bool {
	if diskID == l.group.self.DiskID {
		return true
	}
	known := l.peers[diskID]
	return known != nil && now.Sub(lastSign(known)) < l.group.timing.LeaseDuration
}
