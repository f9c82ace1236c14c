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
	maxElectionDelay  = 150 * time.Millisecond // the random pause before an election is shorter
	electionBackoff   = 100 * time.Millisecond // the least pause after an election that failed
	electionJitter    = 200 * time.Millisecond // what is added to it at random
	minCheckInterval  = 50 * time.Millisecond  // between two looks at a primary that is silent
	nonMemberInterval = 500 * time.Millisecond // between two looks of a process that can't stand
)

// watchPrimary watches the primary's life and stands for election in its place when it is gone, until the group is closed.
func (g *Group) watchPrimary() {
	for ctxtime.Sleep(g.ctx, g.supervise()) {
	}
}

// supervise looks once, and returns after which time to look again.
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
	if held := g.monitor.electionDelay(time.Now()); held > 0 {
		return held
	}
	if g.replica.log.Failing() {
		return nonMemberInterval // a primary needs its disk
	}
	if !g.primaryDown(g.ctx) {
		return g.nextCheckDelay()
	}
	return g.campaignAfterDelay()
}

// nextCheckDelay returns how long a primary that seems alive may stay silent.
func (g *Group) nextCheckDelay() time.Duration {
	silence, _ := g.monitor.sinceContact(time.Now())
	limit := g.timing.suspectAfter()
	if silence >= limit {
		limit = min(g.timing.LeaseDuration, silence+g.timing.StatusTimeout)
	}
	return max(minCheckInterval, limit-silence)
}

// campaignAfterDelay holds an election after a random pause, unless another process has by then.
func (g *Group) campaignAfterDelay() time.Duration {
	if !ctxtime.Sleep(g.ctx, g.randomPause(maxElectionDelay)) {
		return 0
	}
	if g.monitor.electionDelay(time.Now()) > 0 || !g.primaryDown(g.ctx) {
		return minCheckInterval
	}
	if err := g.campaign(g.ctx); err != nil {
		g.logger.Debug("election failed", zap.Error(err))
		return electionBackoff + g.randomPause(electionJitter)
	}
	return g.timing.suspectAfter()
}

// primaryDown reports whether the primary is dead, leads no more, or has been silent for the lease.
func (g *Group) primaryDown(ctx context.Context) bool {
	record := g.witness.record()
	if record.Accepted == nil || record.Accepted.Primary == g.self.DiskID {
		return g.leadership.Load() == nil
	}
	silence, gone := g.monitor.sinceContact(time.Now())
	if gone || silence >= g.timing.LeaseDuration {
		return true
	}
	if silence < g.timing.suspectAfter() {
		return false
	}
	return g.checkPrimary(ctx, *record.Accepted)
}

// checkPrimary asks a silent primary whether it leads.
func (g *Group) checkPrimary(ctx context.Context, view View) bool {
	primary, found := view.PrimaryMember()
	if !found {
		return true
	}
	asked := time.Now()
	var status statusResponse
	_, err := g.call(ctx, g.timing.StatusTimeout, primary, methodStatus, struct{}{}, nil, &status)
	var reported *rpc.Error
	switch {
	case err == nil:
		if status.Leading && status.DiskID == primary.DiskID {
			return false
		}
	case errors.As(err, &reported), isConnectionRefused(err):
	default:
		return false
	}
	g.monitor.markDown(asked)
	return true
}

// campaign makes a view with this process as the primary, and leads it.
func (g *Group) campaign(ctx context.Context) error {
	known := g.newestKnownView()
	if known == nil {
		return trace.Wrap(errNotInSync)
	}
	change := viewChange{base: *known, derive: g.deriveSuccessorView}
	if known.Primary != g.self.DiskID {
		change.unresponsive = map[string]bool{known.Primary: true}
	}
	made, err := g.changeView(ctx, change)
	if err != nil {
		return trace.Wrap(err)
	}
	return g.startLeadership(made)
}

// deriveSuccessorView derives the view of a new primary.
func (g *Group) deriveSuccessorView(newest View) (View, error) {
	if _, member := findMember(newest.Members, g.self.DiskID); !member || !newest.HasInSync(g.self.DiskID) {
		return View{}, trace.Wrap(errNotInSync)
	}
	return View{Members: newest.Members, Previous: newest.Previous}, nil
}
