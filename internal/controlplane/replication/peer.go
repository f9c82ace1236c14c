package replication

import (
	"context"
	"sync"
	"time"
)

// alignRetryInterval is the pause after a failed attempt to bring a peer up to date.
const alignRetryInterval = 400 * time.Millisecond

// peer is another member as the primary sees it. A goroutine of its own sends it heartbeats.
type peer struct {
	member       Member
	cancel       context.CancelFunc
	heartbeatNow chan struct{} // a heartbeat is wanted now

	created time.Time

	mu             sync.Mutex
	lastContact    time.Time // when the last heartbeat was sent that it answered
	leaseRenewedAt time.Time // when the last sign was sent by which it has renewed the primary's lease
	alignedAt      time.Time // when it was last asked, in the making of a view, to follow the log and did
	refusedSince   time.Time // since when its address refuses connections; zero while it does not
	aligned        bool      // it follows the primary's log
	aligning       bool      // it is being brought to do so
	nextAlignment  time.Time // not before then, after a failure
	responseNumber uint64    // the number of its newest response to a heartbeat; 0 while there is none
}

// unresponsive reports whether the peer has been silent for so long that it must leave the in-sync set.
func (p *peer) unresponsive(now time.Time, timing Timing) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastSign()) >= timing.BackupTimeout {
		return true
	}
	return !p.refusedSince.IsZero() && now.Sub(p.refusedSince) >= timing.RefusedTimeout
}

// lastSign returns since when nothing has come from the peer. The caller holds the lock.
func (p *peer) lastSign() time.Time {
	if p.lastContact.After(p.created) {
		return p.lastContact
	}
	return p.created
}

// untilUnresponsive returns for how long the peer may still be silent.
func (p *peer) untilUnresponsive(now time.Time, timing Timing) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return timing.BackupTimeout - now.Sub(p.lastSign())
}

// mayJoinInSync reports whether the peer may enter the in-sync set.
func (p *peer) mayJoinInSync(now time.Time, timing Timing) bool {
	if p.unresponsive(now, timing) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.aligned && now.Sub(p.lastContact) < 2*timing.suspectAfter()
}

func (p *peer) lastLeaseRenewal() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaseRenewedAt
}

// markLeaseRenewed records that the peer, as a witness, stands by the primary for the lease.
func (p *peer) markLeaseRenewed(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.leaseRenewedAt) {
		p.leaseRenewedAt = at
	}
}

// lastAligned returns when the peer was last asked anything that showed that it follows this primary.
func (p *peer) lastAligned() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.alignedAt.After(p.lastContact) {
		return p.alignedAt
	}
	return p.lastContact
}

func (p *peer) markContact(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.lastContact) {
		p.lastContact = at
	}
	p.refusedSince = time.Time{}
}

// noteResponseNumber remembers the number of the peer's newest response.
func (p *peer) noteResponseNumber(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responseNumber = number
}

// newestResponseNumber returns the number of the peer's newest response, or 0.
func (p *peer) newestResponseNumber() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.responseNumber
}

func (p *peer) markRefused(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusedSince.IsZero() {
		p.refusedSince = at
	}
}

func (p *peer) setAligned(aligned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aligned = aligned
}

// markAligned records that the peer followed the log in the making of a view.
func (p *peer) markAligned(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aligned = true
	p.alignedAt = at
}

// beginAligning reports whether the caller should bring the peer to follow the log; only one does at a time.
func (p *peer) beginAligning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.aligning || time.Now().Before(p.nextAlignment) {
		return false
	}
	p.aligning = true
	return true
}

func (p *peer) endAligning(aligned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aligning = false
	p.aligned = aligned
	if !aligned {
		p.nextAlignment = time.Now().Add(alignRetryInterval)
	}
}

// enterView makes a view the one that this process leads, and begins and ends the heartbeats accordingly.
func (l *leadership) enterView(made establishedView) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view = made.view
	l.leaseLapsed = false
	for diskID, known := range l.peers {
		if _, member := made.view.Member(diskID); !member {
			known.cancel()
			delete(l.peers, diskID)
		}
	}
	for _, member := range made.view.allMembers() {
		if member.DiskID == l.group.self.DiskID {
			continue
		}
		l.updatePeer(member, made)
	}
}

// updatePeer records what the making of a view has told of a member. The caller holds the lock.
func (l *leadership) updatePeer(member Member, made establishedView) {
	known := l.peers[member.DiskID]
	if known != nil && known.member != member {
		known.cancel() // it has moved
		known = nil
	}
	if known == nil {
		known = &peer{member: member, heartbeatNow: make(chan struct{}, 1), created: time.Now()}
		l.peers[member.DiskID] = known
		var ctx context.Context
		ctx, known.cancel = context.WithCancel(l.ctx)
		go l.sendHeartbeats(ctx, known)
	}
	if at, accepted := made.acceptedAt[member.DiskID]; accepted {
		known.markContact(at)
		known.markLeaseRenewed(at)
	}
	if made.view.HasInSync(member.DiskID) {
		known.markAligned(made.alignedAt)
	} else {
		known.setAligned(false)
	}
}
