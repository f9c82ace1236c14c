package replication

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/ctxtime"
	"gladepick/internal/rpc"
)

const (
	maxElectionDelay  = 150 * time.Millisecond // upper bound of the random delay before an election
	electionBackoff   = 100 * time.Millisecond // minimum delay after a failed election
	electionJitter    = 200 * time.Millisecond // upper bound of the random addition to electionBackoff
	minCheckInterval  = 50 * time.Millisecond  // minimum delay between two checks of a primary that does not respond
	nonMemberInterval = 500 * time.Millisecond // between two checks by a process that can't be a candidate
)

// watchPrimary watches the primary, and campaigns when it is down, until the group is closed.
func (g *Group) watchPrimary() {
	for ctxtime.Sleep(g.ctx, g.supervise()) {
	}
}

// supervise makes one check of the primary, and returns the delay until the next.
func (g *Group) supervise() time.Duration {
	g.notify()
	if g.leadership.Load() != nil {
		return g.timing.suspectAfter()
	}
	known := g.newestKnownView()
	if known == nil {
		return nonMemberInterval
	}
	if _, member := findMember(known.Members, g.self.DiskID); !member {
		return nonMemberInterval
	}
	if delay := g.monitor.electionDelay(time.Now()); delay > 0 {
		return delay
	}
	if g.replica.log.Failing() {
		return nonMemberInterval // a primary needs a disk that works
	}
	if !g.primaryDown(g.ctx) {
		return g.nextCheckDelay()
	}
	return g.campaignAfterDelay()
}

// nextCheckDelay returns the delay until the primary has to be checked if no heartbeat arrives before.
func (g *Group) nextCheckDelay() time.Duration {
	elapsed, _ := g.monitor.sinceContact(time.Now())
	limit := g.timing.suspectAfter()
	if elapsed >= limit {
		limit = min(g.timing.LeaseDuration, elapsed+g.timing.StatusTimeout)
	}
	return max(minCheckInterval, limit-elapsed)
}

// campaignAfterDelay campaigns after a random delay, unless this process has heard from another candidate or from the
// primary by then. It returns the delay until the next check.
func (g *Group) campaignAfterDelay() time.Duration {
	if !ctxtime.Sleep(g.ctx, g.randomDelay(maxElectionDelay)) {
		return 0
	}
	if g.monitor.electionDelay(time.Now()) > 0 || !g.primaryDown(g.ctx) {
		return minCheckInterval
	}
	if err := g.campaign(g.ctx); err != nil {
		g.logger.Debug("election failed", zap.Error(err))
		return electionBackoff + g.randomDelay(electionJitter)
	}
	return g.timing.suspectAfter()
}

// primaryDown reports whether the primary has failed, no longer leads, or has not been heard from for a lease duration.
func (g *Group) primaryDown(ctx context.Context) bool {
	record := g.witness.record()
	if record.Accepted == nil || record.Accepted.Primary == g.self.DiskID {
		return g.leadership.Load() == nil
	}
	elapsed, down := g.monitor.sinceContact(time.Now())
	if down || elapsed >= g.timing.LeaseDuration {
		return true
	}
	if elapsed < g.timing.suspectAfter() {
		return false
	}
	return g.checkPrimary(ctx, *record.Accepted)
}

// checkPrimary asks a primary that has not been heard from whether it leads. It reports true only if the primary
// certainly does not lead: the response says so, a remote process returns an error, or the address refuses connections.
// A time-out proves nothing.
func (g *Group) checkPrimary(ctx context.Context, view View) bool {
	primary, found := view.PrimaryMember()
	if !found {
		return true
	}
	sentAt := time.Now()
	var status statusResponse
	_, err := g.call(ctx, g.timing.StatusTimeout, primary, methodStatus, struct{}{}, nil, &status)
	var remote *rpc.Error
	switch {
	case err == nil:
		if status.Leading && status.DiskID == primary.DiskID {
			return false
		}
	case errors.As(err, &remote), isConnectionRefused(err):
	default:
		return false
	}
	g.monitor.markDown(sentAt)
	return true
}

// campaign makes a view with this process as the primary, and leads it. It succeeds only in a process of the newest
// view's in-sync set.
func (g *Group) campaign(ctx context.Context) error {
	known := g.newestKnownView()
	if known == nil {
		return trace.Wrap(errNotInSync)
	}
	change := viewChange{base: *known, derive: g.deriveSuccessorView}
	if known.Primary != g.self.DiskID {
		change.unresponsive = map[string]bool{known.Primary: true}
	}
	established, err := g.changeView(ctx, change)
	if err != nil {
		return trace.Wrap(err)
	}
	return g.startLeadership(established)
}

// deriveSuccessorView derives the view of a new primary from the newest accepted one. It returns errNotInSync if this
// process may lack acknowledged changes.
func (g *Group) deriveSuccessorView(newest View) (View, error) {
	if _, member := findMember(newest.Members, g.self.DiskID); !member || !newest.HasInSync(g.self.DiskID) {
		return View{}, trace.Wrap(errNotInSync)
	}
	return View{Members: newest.Members, Previous: newest.Previous}, nil
}
