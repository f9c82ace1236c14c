package messagestore

import (
	"cmp"
	"slices"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
	"gladepick/internal/messagestore/record"
	"gladepick/internal/wal"
)

// partition is what the store holds of one partition: the index of its messages, and the store's role. Store.mu guards it.
type partition struct {
	id           int
	epoch        uint64            // the highest one seen; records of older ones are rejected
	view         cluster.Partition // the newest applied
	isReplica    bool              // the newest view lists this store's disk
	isPrimary    bool
	fenced       bool // a backup knows a newer epoch: another store may be the primary
	paused       bool // deliveries are stopped for a handover
	handingOver  bool // handOverToPreferred runs
	entries      map[string]*entry
	lastSequence uint64                  // the highest sequence number seen
	pending      map[*pendingWrite]bool  // writes that wait for replicas
	resync       map[string]*resyncState // by disk ID: backups that may lack records
	// unsyncedSince tells by disk ID in which epoch a backup was last seen to be not synced. What it confirmed in earlier epochs
	// it may have forgotten: it may have left the group in between.
	unsyncedSince map[string]uint64
}

// newPartition returns a partition of which nothing is known.
func newPartition(id int) *partition {
	return &partition{
		id:            id,
		entries:       make(map[string]*entry),
		pending:       make(map[*pendingWrite]bool),
		resync:        make(map[string]*resyncState),
		unsyncedSince: make(map[string]uint64),
	}
}

// backups returns the replicas behind the primary.
func (p *partition) backups() []cluster.Replica {
	if len(p.view.Replicas) == 0 {
		return nil
	}
	return p.view.Replicas[1:]
}

// queued returns the entries that have not ended, in their order of acceptance.
func (p *partition) queued() []*entry {
	var found []*entry
	for _, each := range p.entries {
		if !each.ended() {
			found = append(found, each)
		}
	}
	slices.SortFunc(found, func(a, b *entry) int {
		return cmp.Compare(a.message.Sequence, b.message.Sequence)
	})
	return found
}

// apply takes a record into the index, at a replay as at a backup. The position is that of the record in this store's log.
func (p *partition) apply(r *record.Record, position wal.Position) {
	p.epoch = max(p.epoch, r.Epoch)
	switch r.Kind {
	case record.Accepted:
		p.applyAccepted(r, position)
	case record.Failed:
		if found := p.entries[r.ID]; found != nil {
			found.failures = max(found.failures, r.Failures)
		}
	case record.Ended:
		p.applyEnded(r)
	case record.Forget:
		clear(p.entries)
	}
}

// applyAccepted adds a message. For a known message it only updates the position of the body.
func (p *partition) applyAccepted(r *record.Record, position wal.Position) {
	p.lastSequence = max(p.lastSequence, r.Message.Sequence)
	if found := p.entries[r.Message.ID]; found != nil {
		found.position = position
		if found.message == nil && found.outcome.State != message.Completed {
			found.message = r.Message
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

// applyEnded notes an outcome, also of a message that is not known.
func (p *partition) applyEnded(r *record.Record) {
	if r.Outcome == nil {
		return
	}
	found := p.entries[r.ID]
	if found == nil {
		found = &entry{}
		p.entries[r.ID] = found
	}
	found.outcome, found.endedAt = *r.Outcome, r.EndedAt
	found.body = nil
	if r.Outcome.State == message.Completed {
		found.message = nil
	}
}

// endedRecord returns the record that tells how an entry ended.
func (p *partition) endedRecord(id string, e *entry) *record.Record {
	outcome := e.outcome
	return &record.Record{
		Kind: record.Ended, Partition: p.id, Epoch: p.epoch, ID: id, Outcome: &outcome, EndedAt: e.endedAt,
	}
}
