package messagestore

import (
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/message"
	"gladepick/internal/wal"
)

// Engine delivers the messages of the partitions that the store leads.
type Engine interface {
	Submit(m *message.Message, failures int)
	Release(partition int)
	PausePartition(partition int)
	ResumePartition(partition int)
	InFlightOf(partition int) int
}

// Body implements the delivery engine's owner.
func (s *Store) Body(m *message.Message) ([]byte, error) {
	s.mu.Lock()
	found := s.partition(m.Partition).entries[m.ID]
	if found == nil {
		s.mu.Unlock()
		return nil, trace.Wrap(message.ErrNotFound)
	}
	body, position := found.body, found.position
	s.mu.Unlock()
	if body != nil {
		return body, nil
	}
	return s.readBody(position)
}

// readBody reads a message's body from the log.
func (s *Store) readBody(position wal.Position) ([]byte, error) {
	data, err := s.log.Read(position)
	if err != nil {
		return nil, trace.Wrap(err, "reading a message's body")
	}
	_, body, err := decodeRecord(data)
	return body, trace.Wrap(err)
}

// Failed implements the delivery engine's owner: a worker answered an attempt with a failure.
func (s *Store) Failed(m *message.Message, failures int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(m.Partition)
	found := p.entries[m.ID]
	if found == nil || found.ended() {
		return
	}
	found.failures = max(found.failures, failures)
	s.appendAndReplicate(p, &record{
		Kind: recordFailed, Partition: p.id, Epoch: p.epoch, ID: m.ID, Failures: failures,
	})
}

// Ended implements the delivery engine's owner: a message has ended.
func (s *Store) Ended(m *message.Message, outcome message.Outcome) {
	s.mu.Lock()
	p := s.partition(m.Partition)
	if !p.isPrimary {
		s.mu.Unlock()
		s.forwardOutcome(m, outcome)
		return
	}
	s.endMessage(p, m.ID, outcome)
	s.mu.Unlock()
}

// end notes how a message ended and replicates it. The caller holds the lock.
func (s *Store) endMessage(p *partition, id string, outcome message.Outcome) {
	found := p.entries[id]
	if found == nil || found.ended() {
		return
	}
	s.cachedBytes -= int64(len(found.body))
	ended := &record{
		Kind: recordEnded, Partition: p.id, Epoch: p.epoch, ID: id, Outcome: &outcome, EndedAt: time.Now(),
	}
	p.applyEnded(ended)
	s.appendAndReplicate(p, ended)
}
