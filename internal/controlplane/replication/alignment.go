package replication

import (
	"context"
	"slices"

	"github.com/gravitational/trace"
)

// alignInSync brings the log of this process, up to its end, to the disks of the members, and returns the disks where
// it is: the in-sync set of the view. Only those are tried that have given their promise, and one that is required.
func (g *Group) alignInSync(
	ctx context.Context, view View, last position, change viewChange, granted map[string]bool,
) ([]string, error) {
	var whole lazySnapshot
	wanted := membersThat(view.Members, func(diskID string) bool {
		return diskID == change.required || (granted[diskID] && !change.excluded[diskID] && diskID != g.self.DiskID)
	})
	aligned := g.alignAll(ctx, wanted, view.Epoch, last, func(diskID string) *lazySnapshot {
		if change.alwaysSendSnapshot || diskID == change.required {
			return &whole
		}
		return nil
	})
	if err := g.replica.syncWithin(ctx, g.timing.RoundTimeout); err != nil {
		return nil, trace.Wrap(err)
	}
	inSync := append([]string{g.self.DiskID}, aligned...)
	least := view.minInSync(g.options.ReplicationFactor)
	if len(inSync) < least {
		rest := membersThat(view.Members, func(diskID string) bool {
			return granted[diskID] && !slices.Contains(inSync, diskID)
		})
		copied := g.alignAll(ctx, rest, view.Epoch, last, func(string) *lazySnapshot { return &whole })
		inSync = append(inSync, copied...)
	}
	if len(inSync) < least || (change.required != "" && !slices.Contains(inSync, change.required)) {
		return nil, trace.Wrap(errTooFewInSync)
	}
	return inSync, nil
}

// alignAll aligns several members at once and returns the disks of those where it succeeded. The state is sent where
// a snapshot is offered.
func (g *Group) alignAll(
	ctx context.Context, members []Member, epoch uint64, last position, offer func(diskID string) *lazySnapshot,
) []string {
	replies := broadcast(members, func(to Member) (bool, error) {
		return g.align(ctx, to, epoch, last, offer(to.DiskID))
	})
	var aligned []string
	for range members {
		if received := <-replies; received.err == nil && received.response {
			aligned = append(aligned, received.member.DiskID)
		}
	}
	return aligned
}

// align makes a member follow this process's log in an epoch. The whole state is sent where the member's log is
// another and a snapshot is offered.
func (g *Group) align(
	ctx context.Context, to Member, epoch uint64, last position, whole *lazySnapshot,
) (bool, error) {
	request := attachRequest{Target: to.DiskID, Epoch: epoch, Primary: g.self.DiskID, Last: last}
	var response attachResponse
	_, err := g.call(ctx, g.timing.RoundTimeout, to, methodAttach, request, nil, &response)
	if err != nil || response.Attached || response.Promised > epoch || whole == nil {
		return response.Attached, err
	}
	data, imageLast, err := whole.get(g.replica)
	if err != nil {
		return false, trace.Wrap(err)
	}
	request.Last, request.HasSnapshot = imageLast, true
	_, err = g.call(ctx, g.timing.SnapshotTimeout, to, methodAttach, request, data, &response)
	return response.Attached, err
}
