package messagestore

import (
	"go.uber.org/zap"

	"gladepick/internal/messagestore/record"
)

// pendingWrite is a message that waits for the disks of all replicas. Store.mu guards it; done may be waited for without.
type pendingWrite struct {
	id            string
	entry         *entry
	line          []byte          // the record's line
	body          []byte          // the record's body
	syncedLocally bool            // on this store's disk
	syncedOn      map[string]bool // by disk ID: a backup has confirmed it
	sentTo        map[string]bool // by disk ID: on its way to a backup, or confirmed
	done          chan struct{}   // closed when committed or aborted
	err           error           // set before done is closed
}

// sendPending sends a waiting write to every backup that it has not gone to. The caller holds the lock.
func (s *Store) sendPending(p *partition, write *pendingWrite) {
	for _, replica := range p.backups() {
		if write.syncedOn[replica.DiskID] || write.sentTo[replica.DiskID] {
			continue
		}
		write.sentTo[replica.DiskID] = true
		s.sendTo(p, replica, write.line, write)
	}
}

// commitIfSynced commits a write that all disks of the view have synced, and hands its message to the engine. The caller holds
// the lock.
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

// abort fails a write that could not be synced to this store's disk. It may already be on backups, so for the client
// its outcome is unknown. The caller holds the lock.
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

// appendAndReplicate logs a record that nobody waits for, and sends it to the backups. The caller holds the lock.
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
