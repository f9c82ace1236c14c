package messagestore

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
	"gladepick/internal/rpc"
	"gladepick/internal/wal"
)

// errCopyIncomplete means that a part of a copy did not reach the backup.
var errCopyIncomplete = errors.New("a part of the copy was not taken")

// resyncState is the primary's note that a backup may lack records.
type resyncState struct {
	running   bool
	again     bool // something failed while the copy was under way
	unwanted  bool // it holds up writes: another store shall take its place
	notBefore time.Time
	since     time.Time // when the backup was first found lacking
}

// needResync notes that a backup may lack records. The caller holds the lock.
func (s *Store) needResync(p *partition, replica cluster.Replica) {
	state := p.resync[replica.DiskID]
	if state == nil {
		state = &resyncState{since: time.Now()}
		p.resync[replica.DiskID] = state
	}
	state.again = state.running
	s.wakeMaintenance()
}

// backupFailed notes that a backup did not take records. One that holds up writes is to be replaced at once. The
// caller holds the lock.
func (s *Store) backupFailed(p *partition, replica cluster.Replica) {
	s.needResync(p, replica)
	state := p.resync[replica.DiskID]
	if len(p.pending) == 0 || state.unwanted {
		return
	}
	state.unwanted = true
	if settled := time.Now().Add(dropSettle); state.notBefore.Before(settled) {
		state.notBefore = settled
		time.AfterFunc(dropSettle, s.wakeMaintenance)
	}
}

// resyncAll starts the copies that are due. The caller holds the lock.
func (s *Store) resyncAll(p *partition) {
	for _, replica := range p.backups() {
		state := p.resync[replica.DiskID]
		if state == nil || state.running || time.Now().Before(state.notBefore) {
			continue
		}
		state.running, state.again = true, false
		epoch, drop := p.epoch, state.unwanted
		s.background.Go(func() {
			if drop {
				s.askDrop(p, epoch, replica)
			}
			err := s.resync(p, epoch, replica)
			s.finishResync(p, epoch, replica, err)
		})
	}
}

// askDrop asks the control plane to replace a backup that holds up writes.
func (s *Store) askDrop(p *partition, epoch uint64, replica cluster.Replica) {
	err := s.ask(cluster.PartitionRequest{Partition: p.id, Epoch: epoch, Drop: replica.Store})
	if err != nil {
		s.logger.Info("asking for another backup", zap.Int("partition", p.id),
			zap.String("backup", replica.Store), zap.Error(err))
	}
}

func (s *Store) ask(ask cluster.PartitionRequest) error {
	ask.Store = s.options.Name
	ctx, cancel := context.WithTimeout(s.context, askTimeout)
	defer cancel()
	return s.options.Control.RequestPartitionChange(ctx, ask)
}

// resync copies to a backup what it lacks, and tells the control plane where the backup was not synced before.
func (s *Store) resync(p *partition, epoch uint64, replica cluster.Replica) error {
	s.mu.Lock()
	backup := s.peer(replica)
	s.mu.Unlock()
	var held inventoryResponse
	request := inventoryRequest{Target: replica.DiskID, Partition: p.id, Epoch: epoch}
	if err := backup.call(methodInventory, inventoryTimeout, request, nil, &held); err != nil {
		return err
	}
	s.resendPending(p)
	ctx, cancel := context.WithTimeout(s.context, resyncTimeout)
	defer cancel()
	if err := s.copyMissing(ctx, p, backup, s.missing(p, &held)); err != nil {
		return err
	}
	if s.copyFailed(p, replica) {
		return errCopyIncomplete
	}
	if replica.Synced {
		return nil
	}
	return s.ask(cluster.PartitionRequest{Partition: p.id, Epoch: epoch, Synced: replica.Store})
}

// copyFailed tells whether a record was not taken since the copy to a backup began. The last one may have been.
func (s *Store) copyFailed(p *partition, replica cluster.Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := p.resync[replica.DiskID]
	return state == nil || state.again
}

// resendPending sends waiting writes again to backups that failed to take them.
func (s *Store) resendPending(p *partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for write := range p.pending {
		s.sendPending(p, write)
	}
}

// copyItem is an entry that a backup lacks, or whose end it lacks.
type copyItem struct {
	id        string
	entry     *entry
	withStart bool // its accepted record is lacking
}

// missing lists what a backup lacks.
func (s *Store) missing(p *partition, held *inventoryResponse) []copyItem {
	live := make(map[string]bool, len(held.Live))
	for _, id := range held.Live {
		live[id] = true
	}
	ended := make(map[string]bool, len(held.Ended))
	for _, id := range held.Ended {
		ended[id] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []copyItem
	for id, each := range p.entries {
		hasStart := live[id] || ended[id]
		switch {
		case each.pending != nil:
		case each.ended() && !ended[id]:
			found = append(found, copyItem{id: id, entry: each, withStart: !hasStart && each.needsBody()})
		case !each.ended() && (!hasStart || each.failures > 0):
			found = append(found, copyItem{id: id, entry: each, withStart: !hasStart})
		}
	}
	return found
}

// copyMissing sends records to a backup, a batch after the other, and waits until the last is synced there.
func (s *Store) copyMissing(ctx context.Context, p *partition, backup *peer, items []copyItem) error {
	size := 0
	for _, item := range items {
		sent, err := s.copyOne(p, backup, item)
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
func (s *Store) copyOne(p *partition, backup *peer, item copyItem) (int, error) {
	var body []byte
	if item.withStart {
		read, err := s.readBody(s.positionOf(item.entry))
		if err != nil {
			return 0, err
		}
		body = read
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for _, each := range s.recordsOf(p, item) {
		line, err := each.encode()
		if err != nil {
			return 0, err
		}
		out := outgoing{partition: p.id, epoch: p.epoch, line: line}
		if each.Kind == recordAccepted {
			out.body = body
		}
		size += out.size()
		backup.enqueue(out)
	}
	return size, nil
}

// recordsOf returns the records that bring a backup up to an entry's present state. The caller holds the lock.
func (s *Store) recordsOf(p *partition, item copyItem) []*record {
	var records []*record
	if item.withStart && item.entry.message != nil {
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

// finishResync notes how a copy went.
func (s *Store) finishResync(p *partition, epoch uint64, replica cluster.Replica, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := p.resync[replica.DiskID]
	if state == nil || !p.leading || p.epoch != epoch {
		if state != nil {
			state.running = false
		}
		return
	}
	state.running = false
	if err == nil && !state.again {
		delete(p.resync, replica.DiskID)
		return
	}
	state.unwanted = err != nil && (len(p.pending) > 0 || time.Since(state.since) > resyncPatience)
	state.notBefore = time.Now().Add(resyncPause)
	if err != nil {
		s.logger.Debug("copying to a backup", zap.Int("partition", p.id),
			zap.String("backup", replica.Store), zap.Error(err))
	}
}

// handleInventory tells a primary which messages this store holds.
func (s *Store) handleInventory(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var request inventoryRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkTarget(request.Target); err != nil {
		return nil, nil, err
	}
	if !s.mayFollow(request.Partition, request.Epoch) {
		return nil, nil, &rpc.Error{Code: rpc.CodeConflict, Message: "the epoch is not the newest"}
	}
	response := &inventoryResponse{}
	for id, each := range s.partition(request.Partition).entries {
		if each.outcome.State == message.Queued {
			response.Live = append(response.Live, id)
		} else {
			response.Ended = append(response.Ended, id)
		}
	}
	return response, nil, nil
}

func (s *Store) positionOf(e *entry) wal.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.position
}
