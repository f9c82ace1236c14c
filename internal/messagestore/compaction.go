package messagestore

import (
	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// diskFull reports whether the log is too large to accept further messages.
func (s *Store) diskFull() bool {
	return s.options.DiskBytes > 0 && s.log.Size() > s.options.DiskBytes*fullNumerator/fullDenominator
}

// compactIfLarge compacts the log if it takes at least 1/compactionThreshold of Options.DiskBytes.
func (s *Store) compactIfLarge() {
	if s.options.DiskBytes <= 0 || s.log.Size() < s.options.DiskBytes/compactionThreshold {
		return
	}
	if err := s.Compact(); err != nil {
		s.logger.Warn("compacting the log failed", zap.Error(err))
	}
}

// Compact copies the entries that are still needed from the older half of the segments to the end of the log, writes a
// snapshot of the index, and removes the segments that no entry refers to.
func (s *Store) Compact() error {
	segments := s.log.Segments()
	if len(segments) < compactionShare {
		return nil
	}
	before := segments[len(segments)/compactionShare].Number
	if err := s.rewriteEntries(s.entriesBefore(before)); err != nil {
		return trace.Wrap(err)
	}
	if err := s.writeSnapshot(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.log.RemoveSegments(s.oldestReferencedSegment(before)))
}

// locatedEntry is an entry together with its partition.
type locatedEntry struct {
	partition *partition
	entry     *entry
}

// entriesBefore returns the entries that need their body and have it in a segment with a lower number than the given
// one.
func (s *Store) entriesBefore(segment uint64) []locatedEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var located []locatedEntry
	for _, p := range s.partitions {
		for _, candidate := range p.entries {
			if candidate.needsBody() && candidate.position.Segment < segment {
				located = append(located, locatedEntry{partition: p, entry: candidate})
			}
		}
	}
	return located
}

// rewriteEntries appends copies of the entries' accepted records to the log and syncs it, each time after at most about
// compactionBatchBytes, so that the copies leave room for other records.
func (s *Store) rewriteEntries(entries []locatedEntry) error {
	unsynced := 0
	for _, located := range entries {
		written, err := s.rewriteEntry(located)
		if err != nil {
			return trace.Wrap(err)
		}
		if unsynced += written; unsynced < compactionBatchBytes {
			continue
		}
		if err := s.log.Sync(s.context); err != nil {
			return trace.Wrap(err)
		}
		unsynced = 0
	}
	return trace.Wrap(s.log.Sync(s.context))
}

// rewriteEntry appends a copy of an entry's accepted record to the log, so that the entry no longer refers to its old
// segment. It returns the size of the copy in bytes.
func (s *Store) rewriteEntry(located locatedEntry) (int, error) {
	body, err := s.readBody(s.positionOf(located.entry))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !located.entry.needsBody() {
		return 0, nil
	}
	line, err := located.partition.acceptedRecord(located.entry).Encode()
	if err != nil {
		return 0, trace.Wrap(err)
	}
	position, err := s.log.AppendParts(line, body)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	located.entry.position = position
	return len(line) + len(body), nil
}

// oldestReferencedSegment returns the lowest number of a segment that an entry refers to, or the given number if that
// is lower.
func (s *Store) oldestReferencedSegment(before uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := before
	for _, p := range s.partitions {
		for _, candidate := range p.entries {
			if candidate.needsBody() {
				oldest = min(oldest, candidate.position.Segment)
			}
		}
	}
	return oldest
}
