package replication

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/gravitational/trace"
)

// errTooFewInSync means that not enough processes could be aligned for an in-sync set.
var errTooFewInSync = errors.New("replication: too few in-sync processes")

// alignInSync brings the log of this process, up to its end, to the disks of the members, and returns the disks where
// it is: the in-sync set of the view. Only those are tried that have given their promise, and one that is required.
func (g *Group) alignInSync(
	ctx context.Context, view View, last position, change viewChange, granted map[string]bool,
) ([]string, error) {
	others := slices.DeleteFunc(without(view.Members, g.self.DiskID), func(member Member) bool {
		candidate := granted[member.DiskID] && !change.excluded[member.DiskID]
		return !candidate && member.DiskID != change.required
	})
	var whole imageOnce
	aligned := g.alignAll(ctx, others, view.Epoch, last, func(member Member) *imageOnce {
		if change.copyAlways || member.DiskID == change.required {
			return &whole
		}
		return nil
	})
	if err := g.replica.syncWithin(ctx, g.timing.RoundTimeout); err != nil {
		return nil, trace.Wrap(err)
	}
	least := view.leastInSync(g.options.Copies)
	if len(aligned)+1 < least && !change.copyAlways {
		behind := slices.DeleteFunc(others, func(member Member) bool { return slices.Contains(aligned, member.DiskID) })
		copied := g.alignAll(ctx, behind, view.Epoch, last, func(Member) *imageOnce { return &whole })
		aligned = append(aligned, copied...)
	}
	inSync := append([]string{g.self.DiskID}, aligned...)
	if len(inSync) < least {
		return nil, trace.Wrap(errTooFewInSync)
	}
	if change.required != "" && !slices.Contains(inSync, change.required) {
		return nil, trace.Wrap(errTooFewInSync)
	}
	return inSync, nil
}

// alignAll aligns several members at once and returns the disks of those where it succeeded. The state is sent where
// an image is offered.
func (g *Group) alignAll(
	ctx context.Context, members []Member, epoch uint64, last position, offer func(Member) *imageOnce,
) []string {
	replies := ask(members, func(to Member) (bool, error) {
		return g.align(ctx, to, epoch, last, offer(to))
	})
	var aligned []string
	for range members {
		if received := <-replies; received.err == nil && received.answer {
			aligned = append(aligned, received.member.DiskID)
		}
	}
	return aligned
}

// align makes a member follow this process's log in an epoch. The whole state is sent where the member's log is
// another and an image is offered.
func (g *Group) align(
	ctx context.Context, to Member, epoch uint64, last position, whole *imageOnce,
) (bool, error) {
	request := attachRequest{Target: to.DiskID, Epoch: epoch, Primary: g.self.DiskID, Last: last}
	var answer attachAnswer
	_, err := g.call(ctx, g.timing.RoundTimeout, to, methodAttach, request, nil, &answer)
	if err != nil || answer.Attached || answer.Promised > epoch || whole == nil {
		return answer.Attached, err
	}
	data, imageLast, err := whole.get(g.replica)
	if err != nil {
		return false, trace.Wrap(err)
	}
	request.Last, request.Complete = imageLast, true
	_, err = g.call(ctx, g.timing.CopyTimeout, to, methodAttach, request, data, &answer)
	println(g.self.Name, "copy to", to.Name, answer.Attached, fmt.Sprint(err))
	return answer.Attached, err
}
