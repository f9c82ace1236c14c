package replication

import (
	"slices"

	"github.com/gravitational/trace"
)

// unacknowledgedBatch is a batch whose changes are committed but on too few disks to be acknowledged.
type unacknowledgedBatch struct {
	requests []*request
	epoch    uint64
	after    position
}

// runBatch replicates the changes of a batch in one round. A batch without changes is a round that confirms the
// leadership.
func (l *leadership) runBatch(batch []*request) {
	g := l.group
	var changes [][]byte
	for _, waiting := range batch {
		if waiting.kind == requestChange {
			changes = append(changes, waiting.change)
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

// acknowledgeBatches answers the batches that wait for enough copies, where there are enough now. Read barriers don't wait.
func (l *leadership) acknowledgeBatches() {
	enough := len(l.currentView().InSync) >= l.group.options.ReplicationFactor
	waiting := l.unacknowledged
	l.unacknowledged = nil
	for _, batch := range waiting {
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

func anyNeedsReplicas(batch []*request) bool {
	return slices.ContainsFunc(batch, (*request).needsReplicas)
}

// failUnacknowledged fails what is still parked when the leadership ends.
func (l *leadership) failUnacknowledged() {
	for _, batch := range l.unacknowledged {
		failAll(batch.requests, ErrOutcomeUnknown)
	}
	l.unacknowledged = nil
}

// commitBatch brings the records to all of the in-sync set. Where that fails, a view without those that don't answer
// is made, by which all of the log is committed.
func (l *leadership) commitBatch(view View, after position, records []byte, count uint64) error {
	g := l.group
	failed, err := l.replicate(view, after, records)
	if err != nil {
		g.resign(l, "own disk: "+err.Error())
		return trace.Wrap(err)
	}
	if len(failed) == 0 {
		if attached, _ := g.replica.commit(view.Epoch, after.Index+count); !attached {
			g.resign(l, "overtaken")
			return trace.Wrap(errSuperseded)
		}
		return nil
	}
	return l.reconfigureUntilDone(failed)
}

// completeBatch tells the proposers what the state machine said.
func (l *leadership) completeBatch(batch []*request, index uint64) {
	for _, waiting := range batch {
		var outcome error
		if waiting.kind == requestChange {
			index++
			outcome = l.group.replica.takeApplyError(index)
		}
		waiting.done <- outcome
	}
}

func failAll(batch []*request, err error) {
	for _, waiting := range batch {
		waiting.done <- err
	}
}
