package replication

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// servePromise answers a candidate. A promise is durable before it is given.
func (g *Group) servePromise(ctx context.Context, request promiseRequest, _ []byte) (any, []byte, error) {
	if err := g.checkTarget(request.Target); err != nil {
		return nil, nil, err
	}
	record := g.witness.record()
	answer := promiseAnswer{Promised: record.Promised, Accepted: record.Accepted}
	if !g.mayVote(record, request) || g.standsByOther(ctx, request.Candidate) {
		return answer, nil, nil
	}
	if request.Trial {
		answer.Granted = true
		return answer, nil, nil
	}
	granted, err := g.witness.promise(request.Epoch, request.Candidate)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	record = g.witness.record()
	answer = promiseAnswer{Granted: granted, Promised: record.Promised, Accepted: record.Accepted}
	if granted {
		g.presence.pledge(request.Candidate, time.Now().Add(g.timing.RoundTimeout))
		g.giveWay(request.Epoch, request.Candidate)
	}
	return answer, nil, nil
}

// mayVote tells whether this process is a witness as far as it or the candidate knows.
func (g *Group) mayVote(record *witnessRecord, request promiseRequest) bool {
	if request.Founding {
		return g.mayFound(request.View)
	}
	view := newer(record.Accepted, &request.View)
	_, member := view.Member(g.self.DiskID)
	return member
}

// standsByOther tells whether this witness still has a living primary, other than the candidate.
func (g *Group) standsByOther(ctx context.Context, candidate string) bool {
	if candidate == g.self.DiskID {
		return false
	}
	if g.presence.pledgedElsewhere(candidate, time.Now()) {
		return true
	}
	if l := g.leading.Load(); l != nil {
		return l.leaseRuns(time.Now())
	}
	accepted := g.witness.record().Accepted
	if accepted == nil || accepted.Primary == candidate {
		return false
	}
	return !g.primaryGone(ctx)
}

// serveAccept accepts a view, durably, unless a higher epoch was promised.
func (g *Group) serveAccept(_ context.Context, request acceptRequest, _ []byte) (any, []byte, error) {
	if err := g.checkTarget(request.Target); err != nil {
		return nil, nil, err
	}
	answer := acceptAnswer{Promised: g.witness.record().Promised}
	if _, member := request.View.Member(g.self.DiskID); !member {
		return answer, nil, nil
	}
	if request.Founding && !g.options.AllowBootstrap {
		return answer, nil, nil
	}
	accepted, err := g.witness.accept(request.View)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	answer = acceptAnswer{Accepted: accepted, Promised: g.witness.record().Promised}
	if accepted {
		g.presence.heardFromPrimary(time.Now())
		g.giveWay(request.View.Epoch, request.View.Primary)
		g.notify()
	}
	return answer, nil, nil
}
