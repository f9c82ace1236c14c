package messagestore

import (
	"context"

	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/messagestore/record"
	"gladepick/internal/rpc"
)

// missingEntry is an entry some of whose records a backup lacks.
type missingEntry struct {
	id            string
	entry         *entry
	needsAccepted bool // the backup lacks the accepted record
}

// missing returns the entries some of whose records a backup lacks, according to its inventory. It omits pending
// writes, which are replicated separately. An entry with failed attempts is always included until it has ended,
// because the inventory does not contain the number of its failures that the backup has recorded.
func (s *Store) missing(p *partition, inventory *protocol.InventoryResponse) []missingEntry {
	queued := make(map[string]bool, len(inventory.Queued))
	for _, id := range inventory.Queued {
		queued[id] = true
	}
	ended := make(map[string]bool, len(inventory.Ended))
	for _, id := range inventory.Ended {
		ended[id] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []missingEntry
	for id, e := range p.entries {
		isKnown := queued[id] || ended[id]
		switch {
		case e.pending != nil:
		case e.ended() && !ended[id]:
			found = append(found, missingEntry{id: id, entry: e, needsAccepted: !isKnown && e.needsBody()})
		case !e.ended() && (!isKnown || e.failures > 0):
			found = append(found, missingEntry{id: id, entry: e, needsAccepted: !isKnown})
		}
	}
	return found
}

// dropUnknown has a backup drop the queued messages of its inventory that this primary does not know. As it has all
// acknowledged messages, these were not acknowledged, or have ended so long ago that the outcome has expired.
func (s *Store) dropUnknown(p *partition, epoch uint64, backup *replicator, inventory *protocol.InventoryResponse) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.isPrimary || p.epoch != epoch || p.collection != nil {
		return errSteppedDown
	}
	for _, id := range inventory.Queued {
		if p.entries[id] != nil {
			continue
		}
		line, err := (&record.Record{Kind: record.Dropped, Partition: p.id, Epoch: epoch, ID: id}).Encode()
		if err != nil {
			return err
		}
		backup.enqueue(queuedRecord{partition: p.id, epoch: epoch, line: line})
	}
	return nil
}

// sendMissing sends the missing records to a backup in batches of about batchBytes, and waits until each batch was
// answered.
func (s *Store) sendMissing(ctx context.Context, p *partition, backup *replicator, entries []missingEntry) error {
	size := 0
	for _, missing := range entries {
		sent, err := s.enqueueMissing(p, backup, missing)
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

// enqueueMissing queues the missing records of one entry for a backup, and returns their size in bytes.
func (s *Store) enqueueMissing(p *partition, backup *replicator, missing missingEntry) (int, error) {
	var body []byte
	if missing.needsAccepted {
		stored, err := s.readBody(s.positionOf(missing.entry))
		if err != nil {
			return 0, err
		}
		body = stored
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for _, missingRecord := range s.missingRecords(p, missing) {
		line, err := missingRecord.Encode()
		if err != nil {
			return 0, err
		}
		queued := queuedRecord{partition: p.id, epoch: p.epoch, line: line}
		if missingRecord.Kind == record.Accepted {
			queued.body = body
		}
		size += queued.size()
		backup.enqueue(queued)
	}
	return size, nil
}

// missingRecords returns the records that bring a backup to an entry's current state. The caller must hold s.mu.
func (s *Store) missingRecords(p *partition, missing missingEntry) []*record.Record {
	var records []*record.Record
	if missing.needsAccepted && missing.entry.message != nil {
		records = append(records, p.acceptedRecord(missing.entry))
	} else if !missing.entry.ended() && missing.entry.failures > 0 {
		records = append(records, &record.Record{
			Kind: record.Failed, Partition: p.id, Epoch: p.epoch, ID: missing.id, Failures: missing.entry.failures,
		})
	}
	if missing.entry.ended() {
		records = append(records, p.endedRecord(missing.id, missing.entry.outcome, missing.entry.endedAt))
	}
	return records
}

// handleInventory answers a primary with the IDs of the messages that this store has of a partition. It leaves out a dead
// letter of which this store has no body, so that the primary sends its accepted record.
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
		return nil, nil, errStaleEpoch
	}
	response := &protocol.InventoryResponse{}
	for id, e := range s.partition(request.Partition).entries {
		switch {
		case !e.ended():
			response.Queued = append(response.Queued, id)
		case !e.lacksBody():
			response.Ended = append(response.Ended, id)
		}
	}
	if request.WantsDetails {
		s.addDetails(&request, response)
	}
	return response, nil, nil
}
