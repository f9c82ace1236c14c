package messagestore

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
	"gladepick/internal/messagestore/protocol"
)

// collection is the state of an unsynced primary, which collects in a recovery what the other replicas of its view hold.
// The partition accepts, delivers and answers nothing until the control plane has marked the primary as synced. Store.mu
// guards it.
type collection struct {
	collected map[string]bool // by disk ID: replicas from which everything was collected under the current epoch
	messages  int             // messages that this store did not have
	outcomes  int             // outcomes that this store did not have
	requested bool            // requestSynced is running
}

// beginCollection begins to collect the messages of a partition whose new primary this store is. becomePrimary has found
// that each backup needs a resync, which collects from the backup instead. The caller must hold s.mu.
func (s *Store) beginCollection(p *partition) {
	p.collection = &collection{collected: make(map[string]bool)}
	s.fence(p.id).extendClosed(time.Now().Add(s.leaseGrantsRemaining(s.options.Name)))
	s.logger.Info("collecting the messages of a partition", zap.Int("partition", p.id), zap.Uint64("epoch", p.epoch),
		zap.Int("replicas", len(p.view.Replicas)))
	if len(p.backups()) == 0 {
		s.finishIfCollected(p)
	}
}

// updateCollection applies a view in which this store stays the primary of a recovery, or in which it is marked as
// synced. The caller must hold s.mu.
func (s *Store) updateCollection(p *partition, former cluster.Partition) {
	if p.view.Collecting() {
		if p.epoch != former.Epoch {
			p.collection.collected = make(map[string]bool) // replicas must reject the records of all older epochs
		}
		for _, replica := range p.backups() {
			if !p.collection.collected[replica.DiskID] {
				s.needResync(p, replica)
			}
		}
		s.finishIfCollected(p)
		return
	}
	s.logger.Info("collected the messages of a partition", zap.Int("partition", p.id), zap.Uint64("epoch", p.epoch),
		zap.Int("messages", p.collection.messages), zap.Int("outcomes", p.collection.outcomes))
	p.collection = nil
	for _, replica := range p.backups() {
		s.needResync(p, replica)
	}
	for _, e := range p.queued() {
		s.engine.Submit(e.message, e.failures)
	}
}

// collect takes over everything that a replica holds and this store lacks. The replica rejects the records of older
// epochs from then on.
func (s *Store) collect(p *partition, epoch uint64, replica cluster.Replica) error {
	s.mu.Lock()
	source := s.replicator(replica)
	s.mu.Unlock()
	if err := s.fenceSource(p, source); err != nil {
		return err
	}
	var inventory protocol.InventoryResponse
	request := protocol.InventoryRequest{
		TargetDiskID: replica.DiskID, Partition: p.id, Epoch: epoch, From: s.options.Name, WantsDetails: true,
	}
	if err := source.call(protocol.MethodInventory, inventoryTimeout, request, nil, &inventory); err != nil {
		return err
	}
	lacking, err := s.collectOutcomes(p, epoch, &inventory)
	if err != nil {
		return err
	}
	if err := s.collectMessages(p, epoch, source, lacking); err != nil {
		return err
	}
	if err := s.log.Sync(s.context); err != nil { // the outcomes
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.collectsUnder(epoch) {
		return errSteppedDown
	}
	p.collection.collected[replica.DiskID] = true
	s.finishIfCollected(p)
	return nil
}

// fenceSource waits until a replica has this store's epoch on its disk, so that it rejects the records of older epochs
// after a restart too.
func (s *Store) fenceSource(p *partition, source *replicator) error {
	ctx, cancel := context.WithTimeout(s.context, inventoryTimeout)
	defer cancel()
	return source.flush(ctx, p)
}

// collectsUnder reports whether this store is the partition's primary under an epoch and still collects its messages. The
// caller must hold Store.mu.
func (p *partition) collectsUnder(epoch uint64) bool {
	return p.isPrimary && p.epoch == epoch && p.collection != nil
}

// collectOutcomes takes over the outcomes, failed attempts and lease grants of an inventory. It returns the IDs of the
// messages whose accepted records this store lacks.
func (s *Store) collectOutcomes(p *partition, epoch uint64, inventory *protocol.InventoryResponse) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.collectsUnder(epoch) {
		return nil, errSteppedDown
	}
	s.fence(p.id).extendClosed(time.Now().Add(time.Duration(inventory.LeaseGrantsMS) * time.Millisecond))
	for id, ended := range inventory.Outcomes {
		if err := s.collectOutcome(p, id, ended); err != nil {
			return nil, err
		}
	}
	for id, failures := range inventory.Failures {
		if e := p.entries[id]; e != nil {
			s.learnFailures(p, id, e, failures)
		}
	}
	return p.lacking(inventory), nil
}

// collectOutcome takes over how a message ended, unless this store knows it. The caller must hold s.mu.
func (s *Store) collectOutcome(p *partition, id string, ended protocol.EndedMessage) error {
	if e := p.entries[id]; e != nil && e.ended() {
		return nil
	}
	outcome := p.endedRecord(id, ended.Outcome, ended.EndedAt)
	if err := s.appendRecord(outcome); err != nil {
		return err
	}
	p.collection.outcomes++
	p.applyEnded(outcome)
	return nil
}

// lacking returns the IDs of the messages in an inventory whose accepted records this store needs and lacks. The caller
// must hold Store.mu.
func (p *partition) lacking(inventory *protocol.InventoryResponse) []string {
	var lacking []string
	for _, id := range inventory.Queued {
		if p.entries[id] == nil {
			lacking = append(lacking, id)
		}
	}
	for id, ended := range inventory.Outcomes {
		if ended.Outcome.State == message.DeadLetter && p.entries[id].lacksBody() {
			lacking = append(lacking, id)
		}
	}
	return lacking
}

// collectMessages takes over the accepted records of messages from a replica, in batches of about batchBytes.
func (s *Store) collectMessages(p *partition, epoch uint64, source *replicator, ids []string) error {
	for len(ids) > 0 {
		request := protocol.RecordsRequest{
			TargetDiskID: source.replica.DiskID, Partition: p.id, Epoch: epoch, IDs: ids[:min(len(ids), recordsAtOnce)],
		}
		var response protocol.RecordsResponse
		body, err := source.callForBody(protocol.MethodRecords, inventoryTimeout, request, nil, &response)
		if err != nil {
			return err
		}
		if response.Handled <= 0 || response.Handled > len(request.IDs) {
			return errResyncIncomplete
		}
		if err := s.appendCollected(p, epoch, response.Records, body); err != nil {
			return err
		}
		if err := s.log.Sync(s.context); err != nil {
			return err
		}
		ids = ids[response.Handled:]
	}
	return nil
}

// appendCollected appends accepted records to the log and applies them to the index.
func (s *Store) appendCollected(p *partition, epoch uint64, headers []protocol.RecordHeader, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.collectsUnder(epoch) {
		return errSteppedDown
	}
	for _, header := range headers {
		if header.Length < 0 || header.Length > len(body) || header.Partition != p.id {
			return errRecordLengths
		}
		if err := s.appendReceivedRecord(header, body[:header.Length]); err != nil {
			return err
		}
		p.collection.messages++
		body = body[header.Length:]
	}
	return nil
}

// finishIfCollected asks the control plane to mark this store as synced once it has collected from all other replicas of
// its view. maintain asks again if that fails. The caller must hold s.mu.
func (s *Store) finishIfCollected(p *partition) {
	if p.collection == nil || !p.view.Collecting() || p.collection.requested {
		return
	}
	for _, replica := range p.backups() {
		if !p.collection.collected[replica.DiskID] {
			return
		}
	}
	p.collection.requested = true
	epoch := p.epoch
	s.background.Go(func() {
		err := s.requestChange(cluster.PartitionRequest{Partition: p.id, Epoch: epoch, Synced: s.options.Name})
		if err != nil {
			s.logger.Info("requesting the end of a recovery failed", zap.Int("partition", p.id), zap.Error(err))
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if p.collection != nil {
			p.collection.requested = false
		}
	})
}
