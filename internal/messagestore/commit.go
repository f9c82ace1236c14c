package messagestore

import (
	"go.uber.org/zap"

	"gladepick/internal/messagestore/record"
)

// pendingWrite is a message that is not committed yet: not all replicas have synced it. Store.mu guards all fields, but
// waiting for done needs no lock.
type pendingWrite struct {
	id            string
	entry         *entry
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

// commitIfSynced commits a write once all disks of the view have synced it, and submits its message to the engine. The
// caller must hold s.mu.
func (s *Store) commitIfSynced(p *partition, write *pendingWrite) {
	if !p.pending[write] || !p.isPrimary || !write.syncedLocally || len(p.view.Replicas) < s.options.ReplicationFactor {
		return
	}
	for _, replica := range p.backups() {
		if !write.syncedOn[replica.DiskID] {
			return
		}
	}
	delete(p.pending, write)
	write.entry.pending = nil
	write.line, write.body = nil, nil
	close(write.done)
	s.engine.Submit(write.entry.message, write.entry.failures)
}

// abort fails a write that could not be synced to this store's disk. Backups may already have stored it, so its outcome
// is unknown to the client. The caller must hold s.mu.
func (s *Store) abort(p *partition, write *pendingWrite, err error) {
	if !p.pending[write] {
		return
	}
	delete(p.pending, write)
	s.cachedBytes -= int64(len(write.entry.body))
	delete(p.entries, write.id)
	write.err = err
	close(write.done)
}

// appendAndReplicate appends a record to the log and queues it for the backups. It waits for neither. The caller must
// hold s.mu.
func (s *Store) appendAndReplicate(p *partition, r *record.Record) {
	line, err := r.Encode()
	if err != nil {
		s.logger.Error("encoding a record failed", zap.Error(err))
		return
	}
	if _, err := s.log.Append(line); err != nil {
		s.logger.Warn("appending a record failed", zap.Error(err))
	}
	for _, replica := range p.backups() {
		s.sendTo(p, replica, line, nil)
	}
}
