package messagestore

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/message"
	"gladepick/internal/wal"
)

// wakeMaintenance has the background work look at once.
func (s *Store) wakeMaintenance() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// maintain repairs replica groups, drops what need not be remembered, and compacts the log.
func (s *Store) maintain() {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	var forgotten, beaten time.Time
	for {
		select {
		case <-s.context.Done():
			return
		case <-s.wake:
		case <-ticker.C:
		}
		s.repair()
		if s.options.Control.LeaseRemaining() < askGrantsBefore && time.Since(beaten) >= heartbeatInterval {
			beaten = time.Now()
			s.heartbeat()
		}
		if time.Since(forgotten) >= forgetInterval {
			forgotten = time.Now()
			s.dropOld(forgotten)
			s.compactIfLarge()
		}
	}
}

// repair starts the copies that are due.
func (s *Store) repair() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		if p.leading && len(p.resync) > 0 {
			s.resyncAll(p)
		}
	}
}

// heartbeat asks the backups of every partition for a lease while the control plane does not renew the lease.
func (s *Store) heartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		if !p.leading || p.fenced {
			continue
		}
		line, err := (&record{Kind: recordEpoch, Partition: p.id, Epoch: p.epoch}).encode()
		if err != nil {
			continue
		}
		for _, replica := range p.backups() {
			s.sendTo(p, replica, line, nil)
		}
	}
}

// dropOld forgets messages that ended long ago.
func (s *Store) dropOld(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		for id, each := range p.entries {
			if each.ended() && now.Sub(each.endedAt) > s.options.StatusFor {
				delete(p.entries, id)
			}
		}
	}
}

// diskFull tells whether the log has no room for further messages.
func (s *Store) diskFull() bool {
	return s.options.DiskBytes > 0 && s.log.Size() > s.options.DiskBytes*fullAbove/fullOf
}

// compactIfLarge compacts the log when it takes much of the disk.
func (s *Store) compactIfLarge() {
	if s.options.DiskBytes <= 0 || s.log.Size() < s.options.DiskBytes/compactAbove {
		return
	}
	if err := s.Compact(); err != nil {
		s.logger.Warn("compacting the log", zap.Error(err))
	}
}

// Compact copies what is still needed out of the older half of the segments, writes a snapshot of the index, and
// removes the segments that nothing refers to.
func (s *Store) Compact() error {
	segments := s.log.Segments()
	if len(segments) < compactionPart {
		return nil
	}
	before := segments[len(segments)/compactionPart].Number
	for _, moved := range s.entriesBefore(before) {
		if err := s.moveEntry(moved); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := s.log.Sync(s.context); err != nil {
		return trace.Wrap(err)
	}
	if err := s.writeSnapshot(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.log.RemoveSegments(s.oldestNeeded(before)))
}

// located is an entry with its partition.
type located struct {
	partition *partition
	entry     *entry
}

// entriesBefore lists the entries whose body may be asked for and lies in a segment below a number.
func (s *Store) entriesBefore(segment uint64) []located {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []located
	for _, p := range s.partitions {
		for _, each := range p.entries {
			if each.needsBody() && each.position.Segment < segment {
				found = append(found, located{partition: p, entry: each})
			}
		}
	}
	return found
}

// moveEntry appends an entry's accepted record anew.
func (s *Store) moveEntry(moved located) error {
	body, err := s.readBody(s.positionOf(moved.entry))
	if err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !moved.entry.needsBody() {
		return nil
	}
	line, err := (&record{
		Kind: recordAccepted, Partition: moved.partition.id, Epoch: moved.partition.epoch,
		Message: moved.entry.message, Failures: moved.entry.failures,
	}).encode()
	if err != nil {
		return trace.Wrap(err)
	}
	position, err := s.log.AppendParts(line, body)
	if err != nil {
		return trace.Wrap(err)
	}
	moved.entry.position = position
	return nil
}

// oldestNeeded returns the lowest segment that an entry refers to, at most the given one.
func (s *Store) oldestNeeded(before uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := before
	for _, p := range s.partitions {
		for _, each := range p.entries {
			if each.needsBody() {
				oldest = min(oldest, each.position.Segment)
			}
		}
	}
	return oldest
}

// snapshotEntry is an entry in a snapshot of the index.
type snapshotEntry struct {
	ID       string           `json:"id"`
	Message  *message.Message `json:"message,omitempty"`
	Position wal.Position     `json:"position"`
	Failures int              `json:"failures,omitempty"`
	Outcome  message.Outcome  `json:"outcome"`
	EndedAt  time.Time        `json:"endedAt,omitzero"`
}

// snapshotPartition is a partition in a snapshot of the index.
type snapshotPartition struct {
	ID      int             `json:"id"`
	Epoch   uint64          `json:"epoch"`
	Last    uint64          `json:"last"`
	Entries []snapshotEntry `json:"entries"`
}

// writeSnapshot writes the index beside the log.
func (s *Store) writeSnapshot() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []snapshotPartition
	for _, p := range s.partitions {
		one := snapshotPartition{ID: p.id, Epoch: p.epoch, Last: p.last}
		for id, each := range p.entries {
			one.Entries = append(one.Entries, snapshotEntry{
				ID: id, Message: each.message, Position: each.position, Failures: each.failures,
				Outcome: each.outcome, EndedAt: each.endedAt,
			})
		}
		all = append(all, one)
	}
	data, err := json.Marshal(all)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.log.WriteSnapshot(data))
}

// restore takes a snapshot of the index in.
func (s *Store) restore(snapshot []byte) error {
	var all []snapshotPartition
	if err := json.Unmarshal(snapshot, &all); err != nil {
		return trace.Wrap(err, "reading the snapshot of the index")
	}
	for _, one := range all {
		p := s.partition(one.ID)
		p.epoch, p.last = one.Epoch, one.Last
		for _, each := range one.Entries {
			p.entries[each.ID] = &entry{
				message: each.Message, position: each.Position, failures: each.Failures,
				outcome: each.Outcome, endedAt: each.EndedAt,
			}
		}
	}
	return nil
}

// replay takes a record of the log in.
func (s *Store) replay(position wal.Position, data []byte) error {
	decoded, _, err := decodeRecord(data)
	if err != nil {
		return trace.Wrap(err)
	}
	s.partition(decoded.Partition).apply(decoded, position)
	return nil
}
