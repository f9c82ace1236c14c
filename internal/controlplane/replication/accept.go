package replication

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// collectAcceptances has the view accepted by a majority, and returns who has accepted it by then.
func (g *Group) collectAcceptances(ctx context.Context, view View, founding bool) (map[string]time.Time, error) {
	asked := time.Now()
	accepted := map[string]time.Time{}
	everyone := view.allMembers()
	replies := broadcast(everyone, func(to Member) (acceptResponse, error) {
		if to.DiskID == g.self.DiskID {
			done, err := g.witness.accept(view)
			return acceptResponse{Accepted: done}, err
		}
		return g.sendAccept(g.ctx, to, view, founding)
	})
	inForce := func() bool {
		return view.hasQuorum(func(diskID string) bool { return !accepted[diskID].IsZero() })
	}
	self := map[string]bool{g.self.DiskID: true}
	awaitRound(ctx, replies, everyone, self, func(member Member, response acceptResponse) bool {
		if response.Accepted {
			accepted[member.DiskID] = asked
		}
		return inForce()
	})
	if !inForce() || accepted[g.self.DiskID].IsZero() {
		return nil, trace.Wrap(ErrNoQuorum)
	}
	return accepted, nil
}

// sendAccept asks a member to accept a view.
func (g *Group) sendAccept(ctx context.Context, to Member, view View, founding bool) (acceptResponse, error) {
	var response acceptResponse
	request := acceptRequest{Target: to.DiskID, View: view, Bootstrap: founding}
	_, err := g.call(ctx, g.timing.RoundTimeout, to, methodAccept, request, nil, &response)
	return response, err
}
