package replication

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"gladepick/internal/ctxtime"
)

// replicate sends records to the in-sync backups while it syncs this process's log, and returns the disks of the
// backups that did not confirm them.
func (l *leadership) replicate(view View, after position, records []byte) (map[string]bool, error) {
	g := l.group
	var backups []Member
	for _, diskID := range view.InSync {
		if member, found := view.Member(diskID); found && diskID != g.self.DiskID {
			backups = append(backups, member)
		}
	}
	responses := broadcast(backups, func(to Member) (bool, error) { return l.sendRecords(to, view.Epoch, after, records) })
	if records != nil {
		if err := g.replica.syncWithin(l.ctx, 2*g.timing.RoundTimeout); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	failed := map[string]bool{}
	for range backups {
		if reply := <-responses; reply.err != nil || !reply.response {
			failed[reply.member.DiskID] = true
		}
	}
	return failed, nil
}

// sendRecords sends records to a backup, and sends them once more if the call fails before the time-out. A backup that
// no longer follows this log, for example after a restart, is aligned again, with a snapshot if the logs differ.
func (l *leadership) sendRecords(to Member, epoch uint64, after position, records []byte) (bool, error) {
	g := l.group
	ctx, cancel := context.WithTimeout(l.ctx, g.timing.BackupTimeout)
	defer cancel()
	response, err := l.callAppend(ctx, to, epoch, after, records)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		if isConnectionRefused(err) {
			ctxtime.Sleep(ctx, g.timing.RefusedTimeout)
		}
		response, err = l.callAppend(ctx, to, epoch, after, records)
	}
	if err != nil || response.Attached || response.Promised > epoch {
		return response.Attached, err
	}
	return g.align(l.ctx, to, epoch, g.replica.end(), &lazySnapshot{})
}

// callAppend makes one append call.
func (l *leadership) callAppend(
	ctx context.Context, to Member, epoch uint64, after position, records []byte,
) (appendResponse, error) {
	g := l.group
	committed, _ := g.replica.committedIn(epoch)
	request := appendRequest{
		Target: to.DiskID, Epoch: epoch, Primary: g.self.DiskID, After: after, Commit: committed,
	}
	var response appendResponse
	_, err := g.call(ctx, g.timing.BackupTimeout, to, methodAppend, request, records, &response)
	return response, err
}
