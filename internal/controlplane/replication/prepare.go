package replication

import (
	"context"

	"github.com/gravitational/trace"
)

// promises is the result of a prepare round.
type promises struct {
	granted map[string]bool
	highest uint64 // the highest epoch that any member has promised
	newest  View   // the newest view that any member has accepted
}

// add adds a member's response to the result.
func (p *promises) add(member Member, response prepareResponse) {
	if response.Granted {
		p.granted[member.DiskID] = true
	}
	p.highest = max(p.highest, response.Promised)
	if response.Accepted != nil && response.Accepted.Epoch > p.newest.Epoch {
		p.newest = *response.Accepted
	}
}

// hasQuorum reports whether a majority of the newest view's members has promised.
func (p *promises) hasQuorum() bool {
	return p.newest.hasQuorum(func(diskID string) bool { return p.granted[diskID] })
}

// preVote asks whether a majority would promise an epoch, so that a process that can't win uses up no epoch and
// disturbs no primary. It returns an epoch that is higher than all that are known to be promised.
func (g *Group) preVote(ctx context.Context, change viewChange) (uint64, error) {
	request := prepareRequest{Epoch: g.witness.record().Promised + 1, PreVote: true}
	collected, err := g.collectPromises(ctx, change, request)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if _, err := change.derive(collected.newest); err != nil {
		return 0, trace.Wrap(err)
	}
	return g.highestEpoch.Load() + 1, nil
}

// collectPromises asks the members of the newest known view for their promises. It returns ErrNoQuorum unless a
// majority of the newest view that the responses name has promised.
func (g *Group) collectPromises(ctx context.Context, change viewChange, request prepareRequest) (promises, error) {
	request.Candidate, request.View, request.Bootstrap = g.self.DiskID, change.base, change.bootstrap
	own := g.witness.record()
	collected := promises{granted: map[string]bool{}, newest: change.base}
	collected.add(g.self, prepareResponse{Granted: true, Promised: own.Promised, Accepted: own.Accepted})
	others := withoutDisk(change.base.allMembers(), g.self.DiskID)
	responses := broadcast(others, func(to Member) (prepareResponse, error) {
		addressed := request
		addressed.Target = to.DiskID
		var response prepareResponse
		_, err := g.call(ctx, g.timing.RoundTimeout, to, methodPrepare, addressed, nil, &response)
		return response, err
	})
	awaited := others
	if request.PreVote {
		awaited = nil
	}
	awaitRound(ctx, responses, others, awaitedDisks(awaited, change), func(member Member, response prepareResponse) bool {
		collected.add(member, response)
		return collected.hasQuorum()
	})
	g.observeEpoch(collected.highest)
	g.learnView(&collected.newest)
	if !collected.hasQuorum() {
		return collected, trace.Wrap(ErrNoQuorum)
	}
	return collected, nil
}

// awaitedDisks returns the disks of the members whose promises the round waits for.
func awaitedDisks(members []Member, change viewChange) map[string]bool {
	awaited := map[string]bool{}
	for _, member := range members {
		if !change.unresponsive[member.DiskID] && !change.excluded[member.DiskID] {
			awaited[member.DiskID] = true
		}
	}
	return awaited
}
