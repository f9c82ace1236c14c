package messagestore

import (
	"context"

	"gladepick/internal/message"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/rpc"
)

// copyItem is an entry that a backup lacks, or whose end it lacks.
type missingEntry struct {
	id            string
	entry         *entry
	needsAccepted bool // its accepted record is lacking
}

// missing lists what a backup lacks.
func (s *Store) missing(p *partition, held *protocol.InventoryResponse) []missingEntry {
	live := make(map[string]bool, len(held.Queued))
	for _, id := range held.Queued {
		live[id] = true
	}
	ended := make(map[string]bool, len(held.Ended))
	for _, id := range held.Ended {
		ended[id] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []missingEntry
	for id, each := range p.entries {
		hasStart := live[id] || ended[id]
		switch {
		case each.pending != nil:
		case each.ended() && !ended[id]:
			found = append(found, missingEntry{id: id, entry: each, needsAccepted: !hasStart && each.needsBody()})
		case !each.ended() && (!hasStart || each.failures > 0):
			found = append(found, missingEntry{id: id, entry: each, needsAccepted: !hasStart})
		}
	}
	return found
}

// copyMissing sends records to a backup, a batch after the other, and waits until the last is synced there.
func (s *Store) sendMissing(ctx context.Context, p *partition, backup *replicator, items []missingEntry) error {
	size := 0
	for _, item := range items {
		sent, err := s.enqueueMissing(p, backup, item)
		if err != nil {
			return err
		}
		if size += sent; size < batchBytes {
			continue
		}
		if err := backup.flush(ctx, p); err != nil {
			return err
		}
		size = 0
	}
	return backup.flush(ctx, p)
}

// copyOne queues the records of one entry.
func (s *Store) enqueueMissing(p *partition, backup *replicator, item missingEntry) (int, error) {
	var body []byte
	if item.needsAccepted {
		read, err := s.readBody(s.positionOf(item.entry))
		if err != nil {
			return 0, err
		}
		body = read
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for _, each := range s.missingRecords(p, item) {
		line, err := each.encode()
		if err != nil {
			return 0, err
		}
		out := queuedRecord{partition: p.id, epoch: p.epoch, line: line}
		if each.Kind == recordAccepted {
			out.body = body
		}
		size += out.size()
		backup.enqueue(out)
	}
	return size, nil
}

// recordsOf returns the records that bring a backup up to an entry's present state. The caller holds the lock.
func (s *Store) missingRecords(p *partition, item missingEntry) []*record {
	var records []*record
	if item.needsAccepted && item.entry.message != nil {
		records = append(records, &record{
			Kind: recordAccepted, Partition: p.id, Epoch: p.epoch,
			Message: item.entry.message, Failures: item.entry.failures,
		})
	} else if !item.entry.ended() && item.entry.failures > 0 {
		records = append(records, &record{
			Kind: recordFailed, Partition: p.id, Epoch: p.epoch, ID: item.id, Failures: item.entry.failures,
		})
	}
	if item.entry.ended() {
		records = append(records, p.endedRecord(item.id, item.entry))
	}
	return records
}

// handleInventory tells a primary which messages this store holds.
func (s *Store) handleInventory(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var request protocol.InventoryRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkDiskID(request.TargetDiskID); err != nil {
		return nil, nil, err
	}
	if !s.adoptEpoch(request.Partition, request.Epoch) {
		return nil, nil, &rpc.Error{Code: rpc.CodeConflict, Message: "the epoch is not the newest"}
	}
	response := &protocol.InventoryResponse{}
	for id, each := range s.partition(request.Partition).entries {
		if each.outcome.State == message.Queued {
			response.Queued = append(response.Queued, id)
		} else {
			response.Ended = append(response.Ended, id)
		}
	}
	return response, nil, nil
}
