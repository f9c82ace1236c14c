package replication

import (
	"context"
	"slices"

	"github.com/gravitational/trace"
)

// alignInSync aligns other members with the whole log of this process, and returns the disks that hold it: the in-sync
// set of the new view. It tries the members that have promised the epoch, and the required member. It returns
// errTooFewInSync if fewer disks hold the log than the view needs, or the required disk does not.
func (g *Group) alignInSync(
	ctx context.Context, view View, last position, change viewChange, granted map[string]bool,
) ([]string, error) {
	var shared lazySnapshot
	chosen := filterMembers(view.Members, func(diskID string) bool {
		return diskID == change.required || (granted[diskID] && !change.excluded[diskID] && diskID != g.self.DiskID)
	})
	aligned := g.alignAll(ctx, chosen, view.Epoch, last, func(diskID string) *lazySnapshot {
		if change.alwaysSendSnapshot || diskID == change.required {
			return &shared
		}
		return nil
	})
	if err := g.replica.syncWithin(ctx, g.timing.RoundTimeout); err != nil {
		return nil, trace.Wrap(err)
	}
	inSync := append([]string{g.self.DiskID}, aligned...)
	minimum := view.minInSync(g.options.ReplicationFactor)
	if len(inSync) < minimum {
		others := filterMembers(view.Members, func(diskID string) bool {
			return granted[diskID] && !slices.Contains(inSync, diskID)
		})
		copied := g.alignAll(ctx, others, view.Epoch, last, func(string) *lazySnapshot { return &shared })
		inSync = append(inSync, copied...)
	}
	if len(inSync) < minimum || (change.required != "" && !slices.Contains(inSync, change.required)) {
		return nil, trace.Wrap(errTooFewInSync)
	}
	return inSync, nil
}

// alignAll aligns several members concurrently and returns the disks of those where it succeeded. A member for which
// snapshotFor returns nil gets no snapshot.
func (g *Group) alignAll(
	ctx context.Context, members []Member, epoch uint64, last position, snapshotFor func(diskID string) *lazySnapshot,
) []string {
	responses := broadcast(members, func(to Member) (bool, error) {
		return g.align(ctx, to, epoch, last, snapshotFor(to.DiskID))
	})
	var aligned []string
	for range members {
		if reply := <-responses; reply.err == nil && reply.response {
			aligned = append(aligned, reply.member.DiskID)
		}
	}
	return aligned
}

// align makes a member follow this process's log in an epoch, and reports whether the member does. If the logs differ
// and lazy is not nil, align sends the snapshot.
func (g *Group) align(
	ctx context.Context, to Member, epoch uint64, last position, lazy *lazySnapshot,
) (bool, error) {
	request := attachRequest{Target: to.DiskID, Epoch: epoch, Primary: g.self.DiskID, Last: last}
	var response attachResponse
	_, err := g.call(ctx, g.timing.RoundTimeout, to, methodAttach, request, nil, &response)
	if err != nil || response.Attached || response.Promised > epoch || lazy == nil {
		return response.Attached, err
	}
	data, snapshotLast, err := lazy.get(g.replica)
	if err != nil {
		return false, trace.Wrap(err)
	}
	request.Last, request.HasSnapshot = snapshotLast, true
	_, err = g.call(ctx, g.timing.SnapshotTimeout, to, methodAttach, request, data, &response)
	return response.Attached, err
}
