package messagestore

import (
	"slices"

	"go.uber.org/zap"

	"gladepick/internal/ctxtime"
	"gladepick/internal/messagestore/record"
)

// writeOutcome appends the record of an outcome to the log and queues it for the backups. It waits for neither. Callers
// learn the outcome only once all replicas have synced it (see awaitOutcome). The caller must hold s.mu.
func (s *Store) writeOutcome(p *partition, e *entry, ended *record.Record) {
	line, err := ended.Encode()
	if err != nil {
		s.logger.Error("encoding a record failed", zap.Error(err))
		return
	}
	write := newPendingWrite(p, ended.ID, e, line, nil)
	write.isOutcome = true
	e.ending = write
	p.endings[write] = true
	s.appendOutcome(write)
	s.unsynced = append(s.unsynced, write)
	s.syncSoon()
	s.sendPending(p, write)
}

// appendOutcome appends an outcome to the log. It fails while too many bytes wait for a slow or full disk; then
// syncAppended tries again. The caller must hold s.mu.
func (s *Store) appendOutcome(write *pendingWrite) {
	_, err := s.log.Append(write.line)
	if err != nil {
		s.logger.Warn("appending a record failed", zap.Error(err))
	}
	write.appended = err == nil
}

// syncSoon has everything that was appended so far synced within about syncDelay. It never blocks.
func (s *Store) syncSoon() {
	select {
	case s.syncWake <- struct{}{}:
	default:
	}
}

// syncInBackground runs until the store closes. It syncs the log syncDelay after a call of syncSoon, so that records
// which nobody waits for share a sync and become durable in bounded time.
func (s *Store) syncInBackground() {
	for {
		select {
		case <-s.context.Done():
			return
		case <-s.syncWake:
		}
		ctxtime.Sleep(s.context, syncDelay)
		if !s.syncAppended() {
			ctxtime.Sleep(s.context, maintainInterval)
			s.syncSoon()
		}
	}
}

// syncAppended syncs the log and commits the outcomes that only waited for that. It reports whether the disk has synced
// all of them.
func (s *Store) syncAppended() bool {
	outcomes := s.takeUnsynced()
	err := s.log.Sync(s.context)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.unsynced = append(outcomes, s.unsynced...)
		return false
	}
	var unwritten []*pendingWrite
	for _, write := range outcomes {
		if !write.appended {
			unwritten = append(unwritten, write)
			continue
		}
		write.syncedLocally = true
		s.commitIfSynced(s.partition(write.partition), write)
	}
	s.unsynced = append(unwritten, s.unsynced...)
	return len(unwritten) == 0
}

// takeUnsynced returns the outcomes that wait for the next sync, after another attempt to append those whose append
// failed.
func (s *Store) takeUnsynced() []*pendingWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcomes := s.unsynced
	s.unsynced = nil
	outcomes = slices.DeleteFunc(outcomes, func(write *pendingWrite) bool {
		return !s.partition(write.partition).isPending(write)
	})
	for _, write := range outcomes {
		if !write.appended {
			s.appendOutcome(write)
		}
	}
	return outcomes
}
