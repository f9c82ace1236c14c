package messagestore

import (
	"time"

	"gladepick/internal/message"
	"gladepick/internal/wal"
)

// entry is a message in the index. Store.mu guards it.
type entry struct {
	message  *message.Message // nil once the message has completed, or if only its outcome is known
	position wal.Position     // of the accepted record in the log, which includes the body
	body     []byte           // cache, may be nil; only while the store is primary and the message has not ended
	failures int              // attempts that were answered with a failure
	outcome  message.Outcome  // State is Queued until the message has ended
	endedAt  time.Time
	pending  *pendingWrite // nil once committed, and at a backup
	// committed is set once this process has committed the message. Others may be on this store only.
	committed bool
	ending    *pendingWrite // the write of the outcome; nil once committed, and at a backup
}

// ended reports whether the message has ended. The caller must hold Store.mu.
func (e *entry) ended() bool { return e.outcome.State != message.Queued }

// needsBody reports whether the body may still be requested. The caller must hold Store.mu.
func (e *entry) needsBody() bool { return e.message != nil && e.outcome.State != message.Completed }

// lacksBody reports whether the message is a dead letter of which only the outcome is known. The caller must hold
// Store.mu.
func (e *entry) lacksBody() bool { return e.message == nil && e.outcome.State == message.DeadLetter }

// positionOf returns the position of an entry's accepted record in the log.
func (s *Store) positionOf(e *entry) wal.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.position
}
