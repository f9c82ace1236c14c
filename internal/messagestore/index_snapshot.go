package messagestore

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/message"
	"gladepick/internal/messagestore/record"
	"gladepick/internal/wal"
)

// snapshotEntry is the encoding of an entry in a snapshot of the index.
type snapshotEntry struct {
	ID       string           `json:"id"`
	Message  *message.Message `json:"message,omitempty"`
	Position wal.Position     `json:"position"`
	Failures int              `json:"failures,omitempty"`
	Outcome  message.Outcome  `json:"outcome"`
	EndedAt  time.Time        `json:"endedAt,omitzero"`
}

// snapshotPartition is the encoding of a partition in a snapshot of the index.
type snapshotPartition struct {
	ID      int             `json:"id"`
	Epoch   uint64          `json:"epoch"`
	Last    uint64          `json:"last"`
	Settled uint64          `json:"settled,omitempty"`
	Entries []snapshotEntry `json:"entries"`
}

// writeSnapshot writes a snapshot of the index beside the log. It does not block the store: it holds Store.mu for one
// partition at a time, and not during I/O. So the snapshot of a partition may already include records that follow the
// snapshot in the log. A replay applies these records again, which changes nothing (see partition.apply).
func (s *Store) writeSnapshot() error {
	snapshot, err := s.log.BeginSnapshot()
	if err != nil {
		return trace.Wrap(err)
	}
	data, err := s.encodeIndex()
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(snapshot.Commit(data))
}

// encodeIndex returns the index as a JSON array of partitions in the order of their IDs.
func (s *Store) encodeIndex() ([]byte, error) {
	data := []byte{'['}
	for i, id := range s.partitionIDs() {
		encoded, err := json.Marshal(s.snapshotOf(id))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if i > 0 {
			data = append(data, ',')
		}
		data = append(data, encoded...)
	}
	return append(data, ']'), nil
}

// partitionIDs returns the IDs of all partitions in the index, in ascending order.
func (s *Store) partitionIDs() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.partitions))
}

// snapshotOf returns the encoding of one partition as of now.
func (s *Store) snapshotOf(id int) snapshotPartition {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(id)
	snapshot := snapshotPartition{ID: p.id, Epoch: p.epoch, Last: p.lastSequence, Settled: p.settledEpoch}
	for id, e := range p.entries {
		snapshot.Entries = append(snapshot.Entries, snapshotEntry{
			ID: id, Message: e.message, Position: e.position, Failures: e.failures,
			Outcome: e.outcome, EndedAt: e.endedAt,
		})
	}
	return snapshot
}

// restore loads a snapshot of the index. Open calls it before any replay.
func (s *Store) restore(snapshot []byte) error {
	var partitions []snapshotPartition
	if err := json.Unmarshal(snapshot, &partitions); err != nil {
		return trace.Wrap(err, "reading the snapshot of the index")
	}
	for _, restored := range partitions {
		p := s.partition(restored.ID)
		p.epoch, p.lastSequence, p.settledEpoch = restored.Epoch, restored.Last, restored.Settled
		for _, e := range restored.Entries {
			if e.Message != nil {
				e.Message.RestoreExactText()
			}
			p.entries[e.ID] = &entry{
				message: e.Message, position: e.Position, failures: e.Failures,
				outcome: e.Outcome, endedAt: e.EndedAt,
			}
		}
	}
	return nil
}

// replay applies a record of the log to the index. Open calls it for each record after the snapshot.
func (s *Store) replay(position wal.Position, data []byte) error {
	decoded, _, err := record.Decode(data)
	if err != nil {
		return trace.Wrap(err)
	}
	s.partition(decoded.Partition).apply(decoded, position)
	return nil
}
