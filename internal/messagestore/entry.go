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
	body     []byte           // only while the store leads the partition and the message has not ended
	failures int
	outcome  message.Outcome // State is Queued until the message has ended
	endedAt  time.Time
	pending  *pendingWrite // the commit under way, nil when committed
}

// ended tells whether the message has ended.
func (e *entry) ended() bool { return e.outcome.State != message.Queued }

// needsBody tells whether the body may still be asked for.
func (e *entry) needsBody() bool { return e.message != nil && e.outcome.State != message.Completed }

func (s *Store) positionOf(e *entry) wal.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.position
}
