package replication

import (
	"slices"

	"github.com/gravitational/trace"
)

// unacknowledgedBatch is a batch whose changes are committed, but on fewer disks than an acknowledgement needs.
type unacknowledgedBatch struct {
	requests []*request
	epoch    uint64
	after    position
}

// runBatch replicates the changes of a batch in one round. If the batch has no changes, the round only confirms that
// this process still leads.
func (l *leadership) runBatch(batch []*request) {
	g := l.group
	var changes [][]byte
	for _, queued := range batch {
		if queued.kind == requestChange {
			changes = append(changes, queued.change)
		}
	}
	view := l.currentView()
	after, records, err := g.replica.propose(view.Epoch, changes)
	if err != nil {
		g.resign(l, "appending to the log failed: "+err.Error())
		failAll(batch, ErrOutcomeUnknown)
		return
	}
	if err := l.commitBatch(view, after, records, uint64(len(changes))); err != nil {
		failAll(batch, ErrOutcomeUnknown)
		return
	}
	l.unacknowledged = append(l.unacknowledged, unacknowledgedBatch{batch, view.Epoch, after})
	l.acknowledgeBatches()
	if len(changes) > 0 {
		l.triggerHeartbeats()
		g.compact()
	}
}

// acknowledgeBatches completes the batches that wait for the replication factor, if the in-sync set has reached it. A
// batch of read barriers alone does not wait for it. Batches fail with ErrOutcomeUnknown if another process has
// replaced the log since.
func (l *leadership) acknowledgeBatches() {
	enough := len(l.currentView().InSync) >= l.group.options.ReplicationFactor
	batches := l.unacknowledged
	l.unacknowledged = nil
	for _, batch := range batches {
		switch {
		case !l.group.replica.ownsSince(batch.epoch):
			failAll(batch.requests, ErrOutcomeUnknown)
		case enough || !anyNeedsReplicas(batch.requests):
			l.completeBatch(batch.requests, batch.after.Index)
		default:
			l.unacknowledged = append(l.unacknowledged, batch)
		}
	}
}

// anyNeedsReplicas reports whether a batch holds a request that is completed only while enough disks are in sync.
func anyNeedsReplicas(batch []*request) bool {
	return slices.ContainsFunc(batch, (*request).needsReplicas)
}

// failUnacknowledged fails the batches that are unacknowledged when the leadership ends.
func (l *leadership) failUnacknowledged() {
	for _, batch := range l.unacknowledged {
		failAll(batch.requests, ErrOutcomeUnknown)
	}
	l.unacknowledged = nil
}

// commitBatch replicates records to the whole in-sync set. If a backup does not confirm them, commitBatch makes a new
// view without it; that view commits the whole log.
func (l *leadership) commitBatch(view View, after position, records []byte, count uint64) error {
	g := l.group
	failed, err := l.replicate(view, after, records)
	if err != nil {
		g.resign(l, "syncing the log failed: "+err.Error())
		return trace.Wrap(err)
	}
	if len(failed) == 0 {
		if attached, _ := g.replica.commit(view.Epoch, after.Index+count); !attached {
			g.resign(l, "superseded")
			return trace.Wrap(errSuperseded)
		}
		return nil
	}
	return l.reconfigureUntilDone(failed)
}

// completeBatch returns the results of the state machine to the proposers. The first change of the batch has the index
// after the given one.
func (l *leadership) completeBatch(batch []*request, index uint64) {
	for _, queued := range batch {
		var result error
		if queued.kind == requestChange {
			index++
			result = l.group.replica.takeApplyError(index)
		}
		queued.done <- result
	}
}

// failAll ends all requests of a batch with an error.
func failAll(batch []*request, err error) {
	for _, queued := range batch {
		queued.done <- err
	}
}
