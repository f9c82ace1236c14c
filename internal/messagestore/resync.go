package messagestore

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/messagestore/protocol"
)

// errCopyIncomplete means that a part of a copy did not reach the backup.
var errResyncIncomplete = errors.New("a part of the copy was not taken")

// resyncState is the primary's note that a backup may lack records.
type resyncState struct {
	running   bool
	failed    bool // something failed while the copy was under way
	replace   bool // it holds up writes: another store shall take its place
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
	state.failed = state.running
	s.wakeMaintenance()
}

// backupFailed notes that a backup did not take records. One that holds up writes is to be replaced at once. The
// caller holds the lock.
func (s *Store) backupFailed(p *partition, replica cluster.Replica) {
	s.needResync(p, replica)
	state := p.resync[replica.DiskID]
	if len(p.pending) == 0 || state.replace {
		return
	}
	state.replace = true
	if settled := time.Now().Add(replacementDelay); state.notBefore.Before(settled) {
		state.notBefore = settled
		time.AfterFunc(replacementDelay, s.wakeMaintenance)
	}
}

// resyncAll starts the copies that are due. The caller holds the lock.
func (s *Store) startDueResyncs(p *partition) {
	for _, replica := range p.backups() {
		state := p.resync[replica.DiskID]
		if state == nil || state.running || time.Now().Before(state.notBefore) {
			continue
		}
		state.running, state.failed = true, false
		epoch, drop := p.epoch, state.replace
		s.background.Go(func() {
			if drop {
				s.requestReplacement(p, epoch, replica)
			}
			err := s.resync(p, epoch, replica)
			s.finishResync(p, epoch, replica, err)
		})
	}
}

// askDrop asks the control plane to replace a backup that holds up writes.
func (s *Store) requestReplacement(p *partition, epoch uint64, replica cluster.Replica) {
	err := s.requestChange(cluster.PartitionRequest{Partition: p.id, Epoch: epoch, Drop: replica.Store})
	if err != nil {
		s.logger.Info("asking for another backup", zap.Int("partition", p.id),
			zap.String("backup", replica.Store), zap.Error(err))
	}
}

// resync copies to a backup what it lacks, and tells the control plane where the backup was not synced before.
func (s *Store) resync(p *partition, epoch uint64, replica cluster.Replica) error {
	s.mu.Lock()
	backup := s.replicator(replica)
	s.mu.Unlock()
	var held protocol.InventoryResponse
	request := protocol.InventoryRequest{TargetDiskID: replica.DiskID, Partition: p.id, Epoch: epoch}
	if err := backup.call(protocol.MethodInventory, inventoryTimeout, request, nil, &held); err != nil {
		return err
	}
	s.resendPending(p)
	ctx, cancel := context.WithTimeout(s.context, resyncTimeout)
	defer cancel()
	if err := s.sendMissing(ctx, p, backup, s.missing(p, &held)); err != nil {
		return err
	}
	if s.resyncFailed(p, replica) {
		return errResyncIncomplete
	}
	if replica.Synced {
		return nil
	}
	return s.requestChange(cluster.PartitionRequest{Partition: p.id, Epoch: epoch, Synced: replica.Store})
}

// copyFailed tells whether a record was not taken since the copy to a backup began. The last one may have been.
func (s *Store) resyncFailed(p *partition, replica cluster.Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := p.resync[replica.DiskID]
	return state == nil || state.failed
}

// resendPending sends waiting writes again to backups that failed to take them.
func (s *Store) resendPending(p *partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for write := range p.pending {
		s.sendPending(p, write)
	}
}

// finishResync notes how a copy went.
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
		s.logger.Debug("copying to a backup", zap.Int("partition", p.id),
			zap.String("backup", replica.Store), zap.Error(err))
	}
}
