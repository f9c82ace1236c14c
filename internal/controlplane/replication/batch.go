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

// runBatch replicates the changes of a batch in one round. A batch without changes is a round that only confirms the
// leadership.
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
		g.resign(l, "log refused: "+err.Error())
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

// acknowledgeBatches responds to the batches that wait for the replication factor, where it is reached. Read
// barriers don't wait for it.
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

// anyNeedsReplicas reports whether a batch holds a request that is answered only while enough disks are in sync.
func anyNeedsReplicas(batch []*request) bool {
	return slices.ContainsFunc(batch, (*request).needsReplicas)
}

// failUnacknowledged fails the batches that still wait when the leadership ends.
func (l *leadership) failUnacknowledged() {
	for _, batch := range l.unacknowledged {
		failAll(batch.requests, ErrOutcomeUnknown)
	}
	l.unacknowledged = nil
}

// commitBatch brings the records to the whole in-sync set. Where a backup does not confirm them, a new view without
// it is made, which commits the whole log.
func (l *leadership) commitBatch(view View, after position, records []byte, count uint64) error {
	g := l.group
	failed, err := l.replicate(view, after, records)
	if err != nil {
		g.resign(l, "own disk: "+err.Error())
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

// completeBatch passes what the state machine returned on to the proposers. The batch's changes follow the given
// index.
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
