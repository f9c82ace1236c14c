package replication

import (
	"context"
	"sync"
	"time"

	"gladepick/internal/rpc"
)

// alignRetry is the pause after a failed attempt to bring a peer up to date.
const alignRetry = 400 * time.Millisecond

// firstEchoAfter is the pause after a first heartbeat: the second one echoes the peer's answer, which makes its state
// fresh.
const firstEchoAfter = 10 * time.Millisecond

// peer is another member as the primary sees it. A goroutine of its own sends it heartbeats.
type peer struct {
	member Member
	cancel context.CancelFunc
	kick   chan struct{} // a heartbeat is wanted now

	created time.Time

	mu           sync.Mutex
	heard        time.Time // when the last heartbeat was sent that it answered
	renewed      time.Time // when the last sign was sent by which it has renewed the primary's lease
	alignedAt    time.Time // when it was last asked, in the making of a view, to follow the log and did
	refusedSince time.Time // since when its address refuses connections; zero while it does not
	aligned      bool      // it follows the primary's log
	aligning     bool      // it is being brought to do so
	nextAligning time.Time // not before then, after a failure
	answered     uint64    // the number of its newest answer to a heartbeat; 0 while there is none
}

// dead tells whether the peer has been silent for so long that it must leave the in-sync set.
func (p *peer) dead(now time.Time, timing Timing) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.silentSince()) >= timing.BackupTimeout {
		return true
	}
	return !p.refusedSince.IsZero() && now.Sub(p.refusedSince) >= timing.RefusedTimeout
}

// silentSince returns since when nothing has come from the peer. The caller holds the lock.
func (p *peer) silentSince() time.Time {
	if p.heard.After(p.created) {
		return p.heard
	}
	return p.created
}

// patience returns for how long the peer may still be silent.
func (p *peer) patience(now time.Time, timing Timing) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return timing.BackupTimeout - now.Sub(p.silentSince())
}

// ready tells whether the peer may enter the in-sync set.
func (p *peer) ready(now time.Time, timing Timing) bool {
	if p.dead(now, timing) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.aligned && now.Sub(p.heard) < 2*timing.suspectAfter()
}

func (p *peer) lastRenewed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.renewed
}

// markRenewed records that the peer, as a witness, stands by the primary for the lease.
func (p *peer) markRenewed(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.renewed) {
		p.renewed = at
	}
}

// lastFollowed returns when the peer was last asked anything that showed that it follows this primary.
func (p *peer) lastFollowed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.alignedAt.After(p.heard) {
		return p.alignedAt
	}
	return p.heard
}

func (p *peer) markHeard(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.heard) {
		p.heard = at
	}
	p.refusedSince = time.Time{}
}

// noteNumber remembers the number of the peer's newest answer.
func (p *peer) noteNumber(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered = number
}

// newestAnswer returns the number of the peer's newest answer, or 0.
func (p *peer) newestAnswer() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered
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
	if p.aligning || time.Now().Before(p.nextAligning) {
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
		p.nextAligning = time.Now().Add(alignRetry)
	}
}

// heartbeats sends heartbeats to a peer until it is a member no more.
func (l *leadership) heartbeats(ctx context.Context, to *peer) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-to.kick:
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
		Commit: committed, Leading: own && l.leaseRuns(sent), Echo: to.newestAnswer(),
	}
	var answer heartbeatAnswer
	body, err := g.call(
		ctx, g.timing.suspectAfter(), to.member, methodHeartbeat, request, payload(g.options.HeartbeatPayload), &answer,
	)
	if err != nil {
		return l.noteSilence(view, to, err)
	}
	if answer.Heard {
		to.markHeard(sent)
		to.noteNumber(answer.Number)
	}
	if answer.Heard && request.Leading && answer.Accepted >= view.Epoch {
		to.markRenewed(sent)
	}
	l.noteAnswer(ctx, view, to, answer)
	if len(body) > 0 && g.options.OnHeartbeatResponse != nil {
		g.options.OnHeartbeatResponse(to.member, body)
	}
	g.notify()
	if request.Echo == 0 {
		return firstEchoAfter
	}
	return g.timing.HeartbeatInterval
}

// noteSilence records that a peer did not answer, and returns when to try again.
func (l *leadership) noteSilence(view View, silent *peer, err error) time.Duration {
	timing := l.group.timing
	now := time.Now()
	wait := timing.HeartbeatInterval
	if isRefused(err) || rpc.CodeOf(err) == rpc.CodeNotFound {
		silent.markRefused(now)
		wait = timing.RefusedTimeout
	}
	if silent.dead(now, timing) {
		silent.setAligned(false)
		if view.HasInSync(silent.member.DiskID) {
			l.signal()
		}
	} else {
		time.AfterFunc(silent.patience(now, timing), l.signal)
	}
	l.group.notify()
	return wait
}

// noteAnswer records a peer's answer and helps it to what it lacks: the view, or the log.
func (l *leadership) noteAnswer(ctx context.Context, view View, from *peer, answer heartbeatAnswer) {
	l.group.noteEpoch(answer.Promised)
	if !answer.Heard {
		if answer.Promised >= view.Epoch {
			l.overtaken.Store(true)
			l.signal()
		}
		return
	}
	if answer.Accepted < view.Epoch && answer.Promised <= view.Epoch {
		_, _ = l.group.sendAccept(ctx, from.member, view, false)
	}
	if answer.Promised > view.Epoch {
		return // a new view is being made
	}
	from.setAligned(answer.Attached)
	if !answer.Attached {
		if from.beginAligning() {
			go l.bringUp(ctx, view, from)
		}
		return
	}
	if !view.HasInSync(from.member.DiskID) {
		l.signal()
	}
}

// bringUp makes a peer follow the log, by a copy of the state where it needs one.
func (l *leadership) bringUp(ctx context.Context, view View, to *peer) {
	last := l.group.replica.end()
	aligned, err := l.group.align(ctx, to.member, view.Epoch, last, &imageOnce{})
	to.endAligning(aligned && err == nil)
	if aligned && err == nil {
		l.signal()
	}
}

// kickPeers has a heartbeat sent to everyone at once, which tells them what is committed.
func (l *leadership) kickPeers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, each := range l.peers {
		select {
		case each.kick <- struct{}{}:
		default:
		}
	}
}

// leaseRuns tells whether this process surely is the primary: a majority and all of the in-sync set have answered a
// heartbeat that was sent within the lease. A lease that has run out is not taken up again in the same view: a witness
// that has seen it run out may have turned to another candidate.
func (l *leadership) leaseRuns(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lapsed && !l.isSupported(now) {
		l.lapsed = true
		l.signal()
	}
	return !l.lapsed
}

// isSupported tells whether the answers of the other members carry the lease. The caller holds the lock.
func (l *leadership) isSupported(now time.Time) bool {
	for _, diskID := range l.view.InSync {
		if !l.answered(diskID, now, (*peer).lastFollowed) {
			return false
		}
	}
	return l.view.quorum(func(diskID string) bool { return l.answered(diskID, now, (*peer).lastRenewed) })
}

// answered tells whether the last sign of a member, of some kind, is younger than the lease. The caller holds the lock.
func (l *leadership) answered(diskID string, now time.Time, lastSign func(*peer) time.Time) bool {
	if diskID == l.group.self.DiskID {
		return true
	}
	known := l.peers[diskID]
	return known != nil && now.Sub(lastSign(known)) < l.group.timing.LeaseDuration
}
