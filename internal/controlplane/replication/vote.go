package replication

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// servePrepare responds to a candidate as a witness. A promise is durable before the response is sent.
func (g *Group) servePrepare(ctx context.Context, request prepareRequest, _ []byte) (any, []byte, error) {
	if err := g.checkTarget(request.Target); err != nil {
		return nil, nil, err
	}
	record := g.witness.record()
	response := prepareResponse{Promised: record.Promised, Accepted: record.Accepted}
	if !g.mayVote(record, request) || g.supportsOther(ctx, request.Candidate) {
		return response, nil, nil
	}
	if request.PreVote {
		response.Granted = true
		return response, nil, nil
	}
	granted, err := g.witness.promise(request.Epoch, request.Candidate)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	record = g.witness.record()
	response = prepareResponse{Granted: granted, Promised: record.Promised, Accepted: record.Accepted}
	if granted {
		g.monitor.reserveVote(request.Candidate, time.Now().Add(g.timing.RoundTimeout))
		g.resignIfSuperseded(request.Epoch, request.Candidate)
	}
	return response, nil, nil
}

// mayVote reports whether this process may vote: it must be a witness in the newer of its own view and the candidate's
// view or, in a bootstrap, be allowed to take part.
func (g *Group) mayVote(record *witnessRecord, request prepareRequest) bool {
	if request.Bootstrap {
		return g.mayBootstrap(request.View)
	}
	view := newerView(record.Accepted, &request.View)
	_, member := view.Member(g.self.DiskID)
	return member
}

// supportsOther reports whether this witness still supports a primary or a candidate other than the given one.
func (g *Group) supportsOther(ctx context.Context, candidate string) bool {
	if candidate == g.self.DiskID {
		return false
	}
	if g.monitor.voteReservedForOther(candidate, time.Now()) {
		return true
	}
	if l := g.leadership.Load(); l != nil {
		return l.leaseValid(time.Now())
	}
	accepted := g.witness.record().Accepted
	if accepted == nil || accepted.Primary == candidate {
		return false
	}
	return !g.primaryDown(ctx)
}

// serveAccept accepts a view, unless this witness has promised a higher epoch. The view is durable before the response
// is sent.
func (g *Group) serveAccept(_ context.Context, request acceptRequest, _ []byte) (any, []byte, error) {
	if err := g.checkTarget(request.Target); err != nil {
		return nil, nil, err
	}
	response := acceptResponse{Promised: g.witness.record().Promised}
	if _, member := request.View.Member(g.self.DiskID); !member {
		return response, nil, nil
	}
	if request.Bootstrap && !g.options.AllowBootstrap {
		return response, nil, nil
	}
	accepted, err := g.witness.accept(request.View)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	response = acceptResponse{Accepted: accepted, Promised: g.witness.record().Promised}
	if accepted {
		g.monitor.recordContact(time.Now())
		g.resignIfSuperseded(request.View.Epoch, request.View.Primary)
		g.notify()
	}
	return response, nil, nil
}
