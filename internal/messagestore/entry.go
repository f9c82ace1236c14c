package messagestore

import (
	"time"

	"gladepick/internal/message"
	"gladepick/internal/wal"
)

// entry is what the index holds of one message.
type entry struct {
	message  *message.Message // nil once a completed message's details are not needed any more
	position wal.Position     // of the accepted record, whose bytes hold the body
	body     []byte           // a cache, only while the store is the primary and the message has not ended; may be nil
	failures int              // attempts that were answered with a failure
	outcome  message.Outcome  // State is Queued until the message has ended
	endedAt  time.Time
	pending  *pendingWrite // until it is committed; nil at a backup
}

// ended tells whether the message has ended.
func (e *entry) ended() bool { return e.outcome.State != message.Queued }

// needsBody tells whether the body may still be asked for.
func (e *entry) needsBody() bool { return e.message != nil && e.outcome.State != message.Completed }

// positionOf returns the position of an entry's accepted record.
func (s *Store) positionOf(e *entry) wal.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.position
}
