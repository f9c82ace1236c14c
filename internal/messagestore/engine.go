package messagestore

import (
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/message"
	"gladepick/internal/messagestore/record"
	"gladepick/internal/wal"
)

// Engine delivers the messages of the partitions that have the store as their primary. The store may hold its lock
// during a call.
type Engine interface {
	// Submit passes a committed message to the engine. failures is the number of its failed attempts so far.
	Submit(m *message.Message, failures int)
	// Release drops a partition's messages. The store calls it when it is no longer the partition's primary.
	Release(partition int)
	// PausePartition stops new attempts of a partition's messages. Attempts in flight continue.
	PausePartition(partition int)
	// ResumePartition ends the effect of PausePartition.
	ResumePartition(partition int)
	// InFlightOf returns how many attempts of a partition's messages are in flight.
	InFlightOf(partition int) int
}

// Body implements delivery.Owner. It returns the body of a submitted message, from memory if it is cached and from the
// log otherwise.
func (s *Store) Body(m *message.Message) ([]byte, error) {
	s.mu.Lock()
	e := s.partition(m.Partition).entries[m.ID]
	if e == nil {
		s.mu.Unlock()
		return nil, trace.Wrap(message.ErrNotFound)
	}
	body, position := e.body, e.position
	s.mu.Unlock()
	if body != nil {
		return body, nil
	}
	return s.readBody(position)
}

// readBody reads a message's body from the accepted record at a position of the log.
func (s *Store) readBody(position wal.Position) ([]byte, error) {
	data, err := s.log.Read(position)
	if err != nil {
		return nil, trace.Wrap(err, "reading a message's body")
	}
	_, body, err := record.Decode(data)
	return body, trace.Wrap(err)
}

// Failed implements delivery.Owner. It records that a worker answered an attempt with a failure; failures is the total
// so far.
func (s *Store) Failed(m *message.Message, failures int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(m.Partition)
	e := p.entries[m.ID]
	if e == nil || e.ended() {
		return
	}
	e.failures = max(e.failures, failures)
	s.appendAndReplicate(p, &record.Record{
		Kind: record.Failed, Partition: p.id, Epoch: p.epoch, ID: m.ID, Failures: failures,
	})
}

// Ended implements delivery.Owner. It records how a message ended. If this store is no longer the partition's primary,
// it forwards the outcome to the new one.
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

// endMessage records how a message ended and replicates the outcome. It ignores a message that is unknown or has ended
// already. The caller must hold s.mu.
func (s *Store) endMessage(p *partition, id string, outcome message.Outcome) {
	e := p.entries[id]
	if e == nil || e.ended() {
		return
	}
	s.endEntry(p, e, p.endedRecord(id, outcome, time.Now()))
}

// endEntry applies the record of how a message ended and writes it. The caller must hold s.mu.
func (s *Store) endEntry(p *partition, e *entry, ended *record.Record) {
	s.cachedBytes -= int64(len(e.body))
	p.applyEnded(ended)
	s.writeOutcome(p, e, ended)
}
