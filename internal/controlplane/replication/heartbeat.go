package replication

import (
	"context"
	"time"

	"gladepick/internal/rpc"
)

// firstEchoDelay is the pause after a first heartbeat: the second one echoes the peer's response, which makes its state
// fresh.
const firstEchoDelay = 10 * time.Millisecond

// sendHeartbeats sends heartbeats to a peer until it is a member any more.
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

// sendHeartbeat sends one heartbeat and draws the consequences of its response. It returns when to send the next.
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

// handleNoResponse records that a peer did not answer, and returns when to try again.
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

// handleResponse records a peer's response and helps it to what it lacks: the view, or the log.
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

// alignPeer makes a peer follow the log, by a copy of the state where it needs one.
func (l *leadership) alignPeer(ctx context.Context, view View, to *peer) {
	last := l.group.replica.end()
	aligned, err := l.group.align(ctx, to.member, view.Epoch, last, &lazySnapshot{})
	to.endAligning(aligned && err == nil)
	if aligned && err == nil {
		l.signal()
	}
}

// triggerHeartbeats has a heartbeat sent to everyone at once, which tells them what is committed.
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
