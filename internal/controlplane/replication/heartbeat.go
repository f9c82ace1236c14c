package replication

import (
	"context"
	"time"

	"gladepick/internal/rpc"
)

// firstEchoDelay is the delay after the first heartbeat to a peer. The second heartbeat echoes the peer's response,
// which tells the peer that its state is up to date.
const firstEchoDelay = 10 * time.Millisecond

// sendHeartbeats sends heartbeats to a peer until the context ends, that is until the peer leaves the group or the
// leadership ends.
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

// sendHeartbeat sends one heartbeat and handles the response. It returns the delay until the next one.
func (l *leadership) sendHeartbeat(ctx context.Context, to *peer) time.Duration {
	g := l.group
	view := l.currentView()
	sentAt := time.Now()
	committed, owned := g.replica.committedIn(view.Epoch)
	request := heartbeatRequest{
		Target: to.member.DiskID, Epoch: view.Epoch, Primary: g.self.DiskID,
		Commit: committed, Leading: owned && l.leaseValid(sentAt), Echo: to.newestResponseNumber(),
	}
	var response heartbeatResponse
	body, err := g.call(
		ctx, g.timing.suspectAfter(), to.member, methodHeartbeat, request, payloadOf(g.options.HeartbeatPayload), &response,
	)
	if err != nil {
		return l.handleNoResponse(view, to, err)
	}
	if response.Supported {
		to.markContact(sentAt)
		to.setResponseNumber(response.Number)
	}
	if response.Supported && request.Leading && response.Accepted >= view.Epoch {
		to.markLeaseRenewed(sentAt)
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

// handleNoResponse handles a heartbeat that a peer did not respond to, and returns the delay until the next one.
func (l *leadership) handleNoResponse(view View, failed *peer, err error) time.Duration {
	timing := l.group.timing
	now := time.Now()
	wait := timing.HeartbeatInterval
	if isConnectionRefused(err) || rpc.CodeOf(err) == rpc.CodeNotFound {
		failed.markRefused(now)
		wait = timing.RefusedTimeout
	}
	if failed.unresponsive(now, timing) {
		failed.setAligned(false)
		if view.HasInSync(failed.member.DiskID) {
			l.signal()
		}
	} else {
		time.AfterFunc(failed.untilUnresponsive(now, timing), l.signal)
	}
	l.group.notify()
	return wait
}

// handleResponse records a peer's response, and sends the peer what it lacks: the view, or the log.
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

// alignPeer makes a peer follow the log, with a snapshot if the logs differ.
func (l *leadership) alignPeer(ctx context.Context, view View, to *peer) {
	last := l.group.replica.end()
	aligned, err := l.group.align(ctx, to.member, view.Epoch, last, &lazySnapshot{})
	to.endAligning(aligned && err == nil)
	if aligned && err == nil {
		l.signal()
	}
}

// triggerHeartbeats triggers an immediate heartbeat to every peer, which carries the commit index.
func (l *leadership) triggerHeartbeats() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range l.peers {
		select {
		case known.heartbeatNow <- struct{}{}:
		default:
		}
	}
}
