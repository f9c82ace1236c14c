package messagestore

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/messagestore/protocol"
)

// resyncState is the state of the resync of a backup that may lack records. Store.mu guards it.
type resyncState struct {
	running   bool
	failed    bool      // the backup failed to store a record while the resync was running
	replace   bool      // before the next resync, the control plane is asked to replace the backup
	notBefore time.Time // earliest start of the next resync
	since     time.Time // when the backup was first found to lack records
}

// needResync records that a backup may lack records, and wakes maintain. The caller must hold s.mu.
func (s *Store) needResync(p *partition, replica cluster.Replica) {
	state := p.resync[replica.DiskID]
	if state == nil {
		state = &resyncState{since: time.Now()}
		p.resync[replica.DiskID] = state
	}
	state.failed = state.running
	s.wakeMaintenance()
}

// backupFailed records that a backup failed to store records. If writes wait for the backup, it is replaced after
// replacementDelay. The caller must hold s.mu.
func (s *Store) backupFailed(p *partition, replica cluster.Replica) {
	s.needResync(p, replica)
	state := p.resync[replica.DiskID]
	if len(p.pending) == 0 || state.replace {
		return
	}
	state.replace = true
	if due := time.Now().Add(replacementDelay); state.notBefore.Before(due) {
		state.notBefore = due
		time.AfterFunc(replacementDelay, s.wakeMaintenance)
	}
}

// startDueResyncs starts the resyncs of a partition's backups that are due. The caller must hold s.mu.
func (s *Store) startDueResyncs(p *partition) {
	for _, replica := range p.backups() {
		state := p.resync[replica.DiskID]
		if state == nil || state.running || time.Now().Before(state.notBefore) {
			continue
		}
		state.running, state.failed = true, false
		epoch, replace := p.epoch, state.replace
		s.background.Go(func() {
			if replace {
				s.requestReplacement(p, epoch, replica)
			}
			err := s.resyncOrCollect(p, epoch, replica)
			s.finishResync(p, epoch, replica, err)
		})
	}
}

// resyncOrCollect collects the messages of a replica in a recovery; otherwise it sends a backup the records that it lacks.
func (s *Store) resyncOrCollect(p *partition, epoch uint64, replica cluster.Replica) error {
	s.mu.Lock()
	isCollecting := p.collection != nil
	s.mu.Unlock()
	if isCollecting {
		return s.collect(p, epoch, replica)
	}
	return s.resync(p, epoch, replica)
}

// requestReplacement asks the control plane to replace a backup that blocks writes or whose resync keeps failing.
func (s *Store) requestReplacement(p *partition, epoch uint64, replica cluster.Replica) {
	err := s.requestChange(cluster.PartitionRequest{Partition: p.id, Epoch: epoch, Drop: replica.Store})
	if err != nil {
		s.logger.Info("requesting the replacement of a backup failed", zap.Int("partition", p.id),
			zap.String("backup", replica.Store), zap.Error(err))
	}
}

// resync sends a backup the records that it lacks. A new primary learns from the backup's inventory first. If the backup
// was not synced before, or was suspected, the control plane is then asked to mark it as synced.
func (s *Store) resync(p *partition, epoch uint64, replica cluster.Replica) error {
	s.mu.Lock()
	backup := s.replicator(replica)
	isCatchingUp := p.catchUp != nil
	heldIDs := p.catchUp.heldIDs()
	s.mu.Unlock()
	var inventory protocol.InventoryResponse
	request := protocol.InventoryRequest{
		TargetDiskID: replica.DiskID, Partition: p.id, Epoch: epoch,
	}
	if isCatchingUp {
		request.From, request.WantsDetails, request.DetailsOf = s.options.Name, true, heldIDs
	}
	if err := backup.call(protocol.MethodInventory, inventoryTimeout, request, nil, &inventory); err != nil {
		return err
	}
	if isCatchingUp {
		s.learn(p, epoch, replica, &inventory)
	}
	s.resendPending(p)
	if err := s.dropUnknown(p, epoch, backup, &inventory); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.context, resyncTimeout)
	defer cancel()
	if err := s.sendMissing(ctx, p, backup, s.missing(p, &inventory)); err != nil {
		return err
	}
	if s.resyncFailed(p, replica) {
		return errResyncIncomplete
	}
	if replica.Synced && !replica.Suspected {
		return nil
	}
	return s.requestChange(cluster.PartitionRequest{Partition: p.id, Epoch: epoch, Synced: replica.Store})
}

// resyncFailed reports whether the backup failed to store a record since its resync began. sendMissing does not notice
// such a failure if the backup has stored later records.
func (s *Store) resyncFailed(p *partition, replica cluster.Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := p.resync[replica.DiskID]
	return state == nil || state.failed
}

// resendPending sends pending writes again to the backups that failed to store them.
func (s *Store) resendPending(p *partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range p.pendingWrites() {
		s.sendPending(p, write)
	}
}

// finishResync records the result of a resync, and when the next one is due if it failed.
func (s *Store) finishResync(p *partition, epoch uint64, replica cluster.Replica, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := p.resync[replica.DiskID]
	if state == nil || !p.isPrimary || p.epoch != epoch {
		if state != nil {
			state.running = false
		}
		return
	}
	state.running = false
	if err == nil && !state.failed {
		delete(p.resync, replica.DiskID)
		return
	}
	state.replace = err != nil && (len(p.pending) > 0 || time.Since(state.since) > resyncGracePeriod)
	state.notBefore = time.Now().Add(resyncRetryInterval)
	if err != nil {
		s.logger.Debug("resync of a backup failed", zap.Int("partition", p.id),
			zap.String("backup", replica.Store), zap.Error(err))
	}
}
