package replication

import (
	"context"
	"sync"
	"time"
)

// alignRetryInterval is the delay after a failed attempt to align a peer.
const alignRetryInterval = 400 * time.Millisecond

// peer is the primary's record of another member. Each peer has a goroutine that sends heartbeats to the member. mu
// guards the fields below it.
type peer struct {
	member       Member
	cancel       context.CancelFunc
	heartbeatNow chan struct{} // asks for a heartbeat at once

	created time.Time

	mu             sync.Mutex
	lastContact    time.Time // when the newest heartbeat that the peer supported was sent
	leaseRenewedAt time.Time // when the newest call by which the peer renewed the primary's lease was sent
	alignedAt      time.Time // when the peer was last aligned in a view change
	refusedSince   time.Time // when its address began to refuse connections; zero if it does not
	aligned        bool      // the peer follows the primary's log
	aligning       bool      // an attempt to align the peer is in progress
	nextAlignment  time.Time // earliest time of the next attempt
	responseNumber uint64    // number of the peer's newest response to a heartbeat; 0 if there is none
}

// unresponsive reports whether the peer has not responded for so long that it must leave the in-sync set.
func (p *peer) unresponsive(now time.Time, timing Timing) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastActive()) >= timing.BackupTimeout {
		return true
	}
	return !p.refusedSince.IsZero() && now.Sub(p.refusedSince) >= timing.RefusedTimeout
}

// lastActive returns when the newest heartbeat that the peer supported was sent, or when the peer was created if that
// is later. The caller holds the lock.
func (p *peer) lastActive() time.Time {
	if p.lastContact.After(p.created) {
		return p.lastContact
	}
	return p.created
}

// untilUnresponsive returns the time that is left for the peer to respond before it has to leave the in-sync set.
func (p *peer) untilUnresponsive(now time.Time, timing Timing) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return timing.BackupTimeout - now.Sub(p.lastActive())
}

// mayJoinInSync reports whether the peer may enter the in-sync set: it follows the log and has responded recently.
func (p *peer) mayJoinInSync(now time.Time, timing Timing) bool {
	if p.unresponsive(now, timing) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.aligned && now.Sub(p.lastContact) < 2*timing.suspectAfter()
}

// lastLeaseRenewal returns when the newest call by which the peer renewed the primary's lease was sent.
func (p *peer) lastLeaseRenewal() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaseRenewedAt
}

// markLeaseRenewed records that the peer, as a witness, supports the primary for a lease duration that begins at the
// given time.
func (p *peer) markLeaseRenewed(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.leaseRenewedAt) {
		p.leaseRenewedAt = at
	}
}

// lastAligned returns the send time of the newest call whose response showed that the peer follows this primary.
func (p *peer) lastAligned() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.alignedAt.After(p.lastContact) {
		return p.alignedAt
	}
	return p.lastContact
}

// markContact records a response to a heartbeat, with the time at which the heartbeat was sent.
func (p *peer) markContact(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.lastContact) {
		p.lastContact = at
	}
	p.refusedSince = time.Time{}
}

// setResponseNumber records the number of the peer's newest response.
func (p *peer) setResponseNumber(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responseNumber = number
}

// newestResponseNumber returns the number of the peer's newest response, or 0 if there is none.
func (p *peer) newestResponseNumber() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.responseNumber
}

// markRefused records that the peer's address refuses connections.
func (p *peer) markRefused(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusedSince.IsZero() {
		p.refusedSince = at
	}
}

// setAligned records whether the peer follows the log.
func (p *peer) setAligned(aligned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aligned = aligned
}

// markAligned records that the peer was aligned in a view change.
func (p *peer) markAligned(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aligned = true
	p.alignedAt = at
}

// beginAligning begins an attempt to align the peer. It reports false if another attempt is in progress, or one has
// failed within alignRetryInterval.
func (p *peer) beginAligning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.aligning || time.Now().Before(p.nextAlignment) {
		return false
	}
	p.aligning = true
	return true
}

// endAligning ends an attempt to align the peer.
func (p *peer) endAligning(aligned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aligning = false
	p.aligned = aligned
	if !aligned {
		p.nextAlignment = time.Now().Add(alignRetryInterval)
	}
}

// enterView makes a view the one that this process leads. It starts the heartbeats to new members and stops those to
// removed ones.
func (l *leadership) enterView(established establishedView) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view = established.view
	l.leaseLapsed = false
	for diskID, known := range l.peers {
		if _, member := established.view.Member(diskID); !member {
			known.cancel()
			delete(l.peers, diskID)
		}
	}
	for _, member := range established.view.allMembers() {
		if member.DiskID == l.group.self.DiskID {
			continue
		}
		l.updatePeer(member, established)
	}
}

// updatePeer applies the results of a view change to a member's peer, and creates the peer if there is none. The caller
// holds the lock.
func (l *leadership) updatePeer(member Member, established establishedView) {
	known := l.peers[member.DiskID]
	if known != nil && known.member != member {
		known.cancel() // its name or address has changed
		known = nil
	}
	if known == nil {
		known = &peer{member: member, heartbeatNow: make(chan struct{}, 1), created: time.Now()}
		l.peers[member.DiskID] = known
		var ctx context.Context
		ctx, known.cancel = context.WithCancel(l.ctx)
		go l.sendHeartbeats(ctx, known)
	}
	if at, accepted := established.acceptedAt[member.DiskID]; accepted {
		known.markContact(at)
		known.markLeaseRenewed(at)
	}
	if established.view.HasInSync(member.DiskID) {
		known.markAligned(established.alignedAt)
	} else {
		known.setAligned(false)
	}
}
