package messagestore

import (
	"cmp"
	"slices"
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
	"gladepick/internal/messagestore/record"
	"gladepick/internal/wal"
)

// partition is the state of one partition at this store: the index of its messages, and the store's role. Store.mu
// guards it.
type partition struct {
	id           int
	epoch        uint64            // the highest epoch seen; records of lower epochs are rejected
	view         cluster.Partition // the newest view applied
	isReplica    bool              // the newest view lists this store's disk
	isPrimary    bool
	fenced       bool      // a backup knows a newer epoch: another store may be the primary
	renewalDue   time.Time // while fenced: when to ask the control plane for a new epoch
	paused       bool      // deliveries are stopped for a handover
	handingOver  bool      // handOverToPreferred is running
	entries      map[string]*entry
	settledEpoch uint64                  // the newest epoch under which this store has led without former primaries; see settle
	lastSequence uint64                  // the highest sequence number seen
	pending      map[*pendingWrite]bool  // writes that wait for replicas
	endings      map[*pendingWrite]bool  // outcomes that wait for replicas
	catchUp      *catchUp                // nil unless this store is a new primary that may lack outcomes
	collection   *collection             // nil unless this store is a primary that collects messages in a recovery
	resync       map[string]*resyncState // by disk ID: backups that may lack records
	// unsyncedSince is, by disk ID, the latest epoch in which a backup was seen as not synced. Confirmations from
	// earlier epochs do not count: the backup may have left the group in between and dropped its records.
	unsyncedSince map[string]uint64
}

// newPartition returns an empty partition.
func newPartition(id int) *partition {
	return &partition{
		id:            id,
		entries:       make(map[string]*entry),
		pending:       make(map[*pendingWrite]bool),
		endings:       make(map[*pendingWrite]bool),
		resync:        make(map[string]*resyncState),
		unsyncedSince: make(map[string]uint64),
	}
}

// backups returns the replicas of the view without the primary, which is the first one.
func (p *partition) backups() []cluster.Replica {
	if len(p.view.Replicas) == 0 {
		return nil
	}
	return p.view.Replicas[1:]
}

// isComplete reports whether enough replicas of the view are synced, so that no store needs to keep messages for a
// recovery.
func (p *partition) isComplete(replicationFactor int) bool {
	return p.view.SyncedReplicas() >= replicationFactor && len(p.view.Retained) == 0
}

// queued returns the entries that have not ended, in the order of their acceptance.
func (p *partition) queued() []*entry {
	var found []*entry
	for _, e := range p.entries {
		if !e.ended() {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *entry) int {
		return cmp.Compare(a.message.Sequence, b.message.Sequence)
	})
	return found
}

// apply applies a record to the index, both during a replay and at a backup. position is the record's place in this
// store's log. Applying a record again changes nothing.
func (p *partition) apply(r *record.Record, position wal.Position) {
	p.epoch = max(p.epoch, r.Epoch)
	switch r.Kind {
	case record.Accepted:
		p.applyAccepted(r, position)
	case record.Failed:
		if e := p.entries[r.ID]; e != nil {
			e.failures = max(e.failures, r.Failures)
		}
	case record.Ended:
		p.applyEnded(r)
	case record.Dropped:
		p.applyDropped(r)
	case record.Settled:
		p.settledEpoch = max(p.settledEpoch, r.Epoch)
	case record.Forget:
		clear(p.entries)
	}
}

// applyAccepted adds a message to the index. For a known message it updates the position of the body, and adds the
// details if they are still needed and not known. A message that was accepted again has a higher sequence number.
func (p *partition) applyAccepted(r *record.Record, position wal.Position) {
	p.lastSequence = max(p.lastSequence, r.Message.Sequence)
	if e := p.entries[r.Message.ID]; e != nil {
		e.position = position
		isNewer := e.message != nil && e.message.Sequence < r.Message.Sequence
		if (e.message == nil || isNewer) && e.outcome.State != message.Completed {
			e.message = r.Message
		}
		return
	}
	p.entries[r.Message.ID] = &entry{
		message:  r.Message,
		position: position,
		failures: r.Failures,
		outcome:  message.Outcome{State: message.Queued},
	}
}

// applyEnded records the outcome of a message, even if the message is unknown: its accepted record may arrive later or
// never.
func (p *partition) applyEnded(r *record.Record) {
	if r.Outcome == nil {
		return
	}
	e := p.entries[r.ID]
	if e == nil {
		e = &entry{}
		p.entries[r.ID] = e
	}
	e.outcome, e.endedAt = *r.Outcome, r.EndedAt
	e.body = nil
	if r.Outcome.State == message.Completed {
		e.message = nil
	}
}

// applyDropped removes a queued message that the primary of the record's epoch does not know. A message that has been
// accepted under that epoch or a later one stays, as the record may arrive after it.
func (p *partition) applyDropped(r *record.Record) {
	e := p.entries[r.ID]
	if e != nil && !e.ended() && e.message.Sequence < r.Epoch<<epochShift {
		delete(p.entries, r.ID)
	}
}

// acceptedRecord returns the record by which another replica, or a later segment of the log, gets an entry's message.
func (p *partition) acceptedRecord(e *entry) *record.Record {
	return &record.Record{
		Kind: record.Accepted, Partition: p.id, Epoch: p.epoch, Message: e.message, Failures: e.failures,
	}
}

// endedRecord returns the record of how a message ended.
func (p *partition) endedRecord(id string, outcome message.Outcome, endedAt time.Time) *record.Record {
	return &record.Record{
		Kind: record.Ended, Partition: p.id, Epoch: p.epoch, ID: id, Outcome: &outcome, EndedAt: endedAt,
	}
}
