package replication

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// collectAcceptances asks all members to accept a view. When this process and a majority have accepted it, the result
// holds the disks of the members that have accepted by then, each with the time at which its call was sent. If that
// does not happen, collectAcceptances returns ErrNoQuorum.
func (g *Group) collectAcceptances(ctx context.Context, view View, bootstrap bool) (map[string]time.Time, error) {
	sentAt := time.Now()
	accepted := map[string]time.Time{}
	members := view.allMembers()
	responses := broadcast(members, func(to Member) (acceptResponse, error) {
		if to.DiskID == g.self.DiskID {
			ok, err := g.witness.accept(view)
			return acceptResponse{Accepted: ok}, err
		}
		return g.sendAccept(g.ctx, to, view, bootstrap)
	})
	reached := func() bool {
		return view.hasQuorum(func(diskID string) bool { return !accepted[diskID].IsZero() })
	}
	self := map[string]bool{g.self.DiskID: true}
	awaitRound(ctx, responses, members, self, func(member Member, response acceptResponse) bool {
		if response.Accepted {
			accepted[member.DiskID] = sentAt
		}
		return reached()
	})
	if !reached() || accepted[g.self.DiskID].IsZero() {
		return nil, trace.Wrap(ErrNoQuorum)
	}
	return accepted, nil
}

// sendAccept asks a member to accept a view.
func (g *Group) sendAccept(ctx context.Context, to Member, view View, bootstrap bool) (acceptResponse, error) {
	var response acceptResponse
	request := acceptRequest{Target: to.DiskID, View: view, Bootstrap: bootstrap}
	_, err := g.call(ctx, g.timing.RoundTimeout, to, methodAccept, request, nil, &response)
	return response, err
}
