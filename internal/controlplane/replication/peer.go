package replication

import (
	"context"
	"sync"
	"time"

	"gladepick/internal/rpc"
)

// alignRetry is the pause after a failed attempt to bring a peer up to date.
const alignRetryInterval = 400 * time.Millisecond

// firstEchoAfter is the pause after a first heartbeat: the second one echoes the peer's answer, which makes its state
// fresh.
const firstEchoDelay = 10 * time.Millisecond

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
	responseNumber uint64    // the number of its newest answer to a heartbeat; 0 while there is none
}

// dead tells whether the peer has been silent for so long that it must leave the in-sync set.
func (p *peer) unresponsive(now time.Time, timing Timing) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastSign()) >= timing.BackupTimeout {
		return true
	}
	return !p.refusedSince.IsZero() && now.Sub(p.refusedSince) >= timing.RefusedTimeout
}

// silentSince returns since when nothing has come from the peer. The caller holds the lock.
func (p *peer) lastSign() time.Time {
	if p.lastContact.After(p.created) {
		return p.lastContact
	}
	return p.created
}

// patience returns for how long the peer may still be silent.
func (p *peer) untilUnresponsive(now time.Time, timing Timing) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return timing.BackupTimeout - now.Sub(p.lastSign())
}

// ready tells whether the peer may enter the in-sync set.
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

// markRenewed records that the peer, as a witness, stands by the primary for the lease.
func (p *peer) markLeaseRenewed(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.leaseRenewedAt) {
		p.leaseRenewedAt = at
	}
}

// lastFollowed returns when the peer was last asked anything that showed that it follows this primary.
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

// noteNumber remembers the number of the peer's newest answer.
func (p *peer) noteResponseNumber(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responseNumber = number
}

// newestAnswer returns the number of the peer's newest answer, or 0.
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

// beginAligning tells whether the caller should bring the peer to follow the log; only one does at a time.
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

// heartbeats sends heartbeats to a peer until it is a member no more.
func (l *leadership) sendHeartbeats(ctx context.Context, to *peer) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-to.heartbeatNow:
		}
		wait := l.sendHeartbeat(ctx, to)
		timer.Reset(wait)
	}
}

// sendHeartbeat sends one heartbeat and draws the consequences of its answer. It returns when to send the next.
func (l *leadership) sendHeartbeat(ctx context.Context, to *peer) time.Duration {
	g := l.group
	view := l.currentView()
	sent := time.Now()
	committed, own := g.replica.committedIn(view.Epoch)
	request := heartbeatRequest{
		Target: to.member.DiskID, Epoch: view.Epoch, Primary: g.self.DiskID,
		Commit: committed, Leading: own && l.leaseValid(sent), Echo: to.newestResponseNumber(),
	}
	var response heartbeatResponse
	body, err := g.call(
		ctx, g.timing.suspectAfter(), to.member, methodHeartbeat, request, payloadOf(g.options.HeartbeatPayload), &response,
	)
	if err != nil {
		return l.handleNoResponse(view, to, err)
	}
	if response.Supported {
		to.markContact(sent)
		to.noteResponseNumber(response.Number)
	}
	if response.Supported && request.Leading && response.Accepted >= view.Epoch {
		to.markLeaseRenewed(sent)
	}
	l.handleResponse(ctx, view, to, response)
	if len(body) > 0 && g.options.OnHeartbeatResponse != nil {
		g.options.OnHeartbeatResponse(to.member, body)
	}
	g.notify()
	if request.Echo == 0 {
		return firstEchoDelay
	}
	return g.timing.HeartbeatInterval
}

// noteSilence records that a peer did not answer, and returns when to try again.
func (l *leadership) handleNoResponse(view View, silent *peer, err error) time.Duration {
	timing := l.group.timing
	now := time.Now()
	wait := timing.HeartbeatInterval
	if isConnectionRefused(err) || rpc.CodeOf(err) == rpc.CodeNotFound {
		silent.markRefused(now)
		wait = timing.RefusedTimeout
	}
	if silent.unresponsive(now, timing) {
		silent.setAligned(false)
		if view.HasInSync(silent.member.DiskID) {
			l.signal()
		}
	} else {
		time.AfterFunc(silent.untilUnresponsive(now, timing), l.signal)
	}
	l.group.notify()
	return wait
}

// noteAnswer records a peer's answer and helps it to what it lacks: the view, or the log.
func (l *leadership) handleResponse(ctx context.Context, view View, from *peer, response heartbeatResponse) {
	l.group.observeEpoch(response.Promised)
	if !response.Supported {
		if response.Promised >= view.Epoch {
			l.superseded.Store(true)
			l.signal()
		}
		return
	}
	if response.Accepted < view.Epoch && response.Promised <= view.Epoch {
		_, _ = l.group.sendAccept(ctx, from.member, view, false)
	}
	if response.Promised > view.Epoch {
		return // a new view is being made
	}
	from.setAligned(response.Attached)
	if !response.Attached {
		if from.beginAligning() {
			go l.alignPeer(ctx, view, from)
		}
		return
	}
	if !view.HasInSync(from.member.DiskID) {
		l.signal()
	}
}

// bringUp makes a peer follow the log, by a copy of the state where it needs one.
func (l *leadership) alignPeer(ctx context.Context, view View, to *peer) {
	last := l.group.replica.end()
	aligned, err := l.group.align(ctx, to.member, view.Epoch, last, &lazySnapshot{})
	to.endAligning(aligned && err == nil)
	if aligned && err == nil {
		l.signal()
	}
}

// kickPeers has a heartbeat sent to everyone at once, which tells them what is committed.
func (l *leadership) triggerHeartbeats() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, each := range l.peers {
		select {
		case each.heartbeatNow <- struct{}{}:
		default:
		}
	}
}

// leaseRuns tells whether this process surely is the primary: a majority and all of the in-sync set have answered a
// heartbeat that was sent within the lease. A lease that has run out is not taken up again in the same view: a witness
// that has seen it run out may have turned to another candidate.
func (l *leadership) leaseValid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leaseLapsed && !l.leaseSupported(now) {
		l.leaseLapsed = true
		l.signal()
	}
	return !l.leaseLapsed
}

// isSupported tells whether the answers of the other members carry the lease. The caller holds the lock.
func (l *leadership) leaseSupported(now time.Time) bool {
	for _, diskID := range l.view.InSync {
		if !l.signWithinLease(diskID, now, (*peer).lastAligned) {
			return false
		}
	}
	return l.view.hasQuorum(func(diskID string) bool { return l.signWithinLease(diskID, now, (*peer).lastLeaseRenewal) })
}

// answered tells whether the last sign of a member, of some kind, is younger than the lease. The caller holds the lock.
func (l *leadership) signWithinLease(diskID string, now time.Time, lastSign func(*peer) time.Time) bool {
	if diskID == l.group.self.DiskID {
		return true
	}
	known := l.peers[diskID]
	return known != nil && now.Sub(lastSign(known)) < l.group.timing.LeaseDuration
}
