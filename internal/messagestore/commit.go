package messagestore

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"gladepick/internal/messagestore/record"
)

// pendingWrite is a message or an outcome that is not committed yet: not all replicas have synced it. Store.mu guards
// all fields, but waiting for done needs no lock.
type pendingWrite struct {
	id            string
	entry         *entry
	partition     int
	isOutcome     bool
	appended      bool            // only of an outcome: its record is in this store's log
	line          []byte          // the record's line
	body          []byte          // the record's body
	syncedLocally bool            // this store's disk has synced it
	syncedOn      map[string]bool // by disk ID: a backup has confirmed it
	sentTo        map[string]bool // by disk ID: queued for a backup, in flight or confirmed
	done          chan struct{}   // closed when committed or aborted
	err           error           // set before done is closed
}

// sendPending queues a pending write for every backup that it was not sent to yet. The caller must hold s.mu.
func (s *Store) sendPending(p *partition, write *pendingWrite) {
	for _, replica := range p.backups() {
		if write.syncedOn[replica.DiskID] || write.sentTo[replica.DiskID] {
			continue
		}
		write.sentTo[replica.DiskID] = true
		s.sendTo(p, replica, write.line, write)
	}
}

// commitIfSynced commits a write once all disks of the view have synced it, and submits its message to the engine. An
// outcome also commits in a view with too few replicas. The caller must hold s.mu.
func (s *Store) commitIfSynced(p *partition, write *pendingWrite) {
	if !p.isPrimary || !write.syncedLocally || !p.isPending(write) {
		return
	}
	if !write.isOutcome && len(p.view.Replicas) < s.options.ReplicationFactor {
		return
	}
	for _, replica := range p.backups() {
		if !write.syncedOn[replica.DiskID] {
			return
		}
	}
	p.finishWrite(write, nil)
	if !write.isOutcome {
		write.entry.committed = true
		s.submit(p, write.entry)
	}
}

// isPending reports whether a write of this partition is not committed yet. The caller must hold Store.mu.
func (p *partition) isPending(write *pendingWrite) bool { return p.pending[write] || p.endings[write] }

// pendingWrites returns the messages and outcomes that are not committed yet, in unspecified order. The caller must
// hold Store.mu.
func (p *partition) pendingWrites() []*pendingWrite {
	return slices.AppendSeq(slices.Collect(maps.Keys(p.pending)), maps.Keys(p.endings))
}

// finishWrite ends the wait for a write. The caller must hold Store.mu.
func (p *partition) finishWrite(write *pendingWrite, err error) {
	delete(p.pending, write)
	delete(p.endings, write)
	if write.isOutcome {
		write.entry.ending = nil
	} else {
		write.entry.pending = nil
	}
	write.line, write.body = nil, nil
	write.err = err
	close(write.done)
}

// newPendingWrite returns a write that no disk has synced yet.
func newPendingWrite(p *partition, id string, written *entry, line, body []byte) *pendingWrite {
	return &pendingWrite{
		id: id, partition: p.id, entry: written, line: line, body: body,
		syncedOn: make(map[string]bool), sentTo: make(map[string]bool), done: make(chan struct{}),
	}
}

// abort fails a write that could not be synced to this store's disk. Backups may already have stored it, so its outcome
// is unknown to the client. The caller must hold s.mu.
func (s *Store) abort(p *partition, write *pendingWrite, err error) {
	if !p.pending[write] {
		return
	}
	s.cachedBytes -= int64(len(write.entry.body))
	delete(p.entries, write.id)
	p.finishWrite(write, err)
}

// appendRecord appends a record to the log. It neither waits for the disk nor queues the record for the backups. The
// caller must hold s.mu.
func (s *Store) appendRecord(r *record.Record) error {
	line, err := r.Encode()
	if err != nil {
		return err
	}
	_, err = s.log.Append(line)
	return err
}

// appendAndReplicate appends a record to the log, which is synced within about syncDelay, and queues it for the backups.
// It waits for neither. The caller must hold s.mu.
func (s *Store) appendAndReplicate(p *partition, r *record.Record) {
	line, err := r.Encode()
	if err != nil {
		s.logger.Error("encoding a record failed", zap.Error(err))
		return
	}
	if _, err := s.log.Append(line); err != nil {
		s.logger.Warn("appending a record failed", zap.Error(err))
	}
	s.syncSoon()
	for _, replica := range p.backups() {
		s.sendTo(p, replica, line, nil)
	}
}
