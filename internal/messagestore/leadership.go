package messagestore

import (
	"slices"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/messagestore/record"
)

// ApplyTable applies a cluster table. For each partition, it makes this store the primary, a backup, or neither. A
// table that is not newer than the last one is ignored.
func (s *Store) ApplyTable(table *cluster.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if table == nil || s.table != nil && table.Revision <= s.table.Revision {
		return
	}
	s.table = table
	for _, view := range table.Partitions {
		s.applyView(view)
	}
	s.logLeadershipChanges()
}

// leadershipChanges counts the partitions for which the store has become the primary, or has ceased to be the primary,
// since the last log line.
type leadershipChanges struct {
	gained   int
	lost     int
	messages int // queued messages in the gained partitions
}

// logLeadershipChanges logs all changes since the last call in one line, if there are any. The caller must hold s.mu.
func (s *Store) logLeadershipChanges() {
	changes := s.changes
	s.changes = leadershipChanges{}
	if changes.gained+changes.lost > 0 {
		s.logger.Info("partition leadership changed", zap.Uint64("table", s.table.Revision), zap.Int("gained", changes.gained),
			zap.Int("lost", changes.lost), zap.Int("messages", changes.messages))
	}
}

// applyView applies one partition's view, unless its epoch is older than the newest seen. The caller must hold s.mu.
func (s *Store) applyView(view cluster.Partition) {
	p := s.partition(view.ID)
	if view.Epoch < p.epoch {
		return
	}
	position := view.IndexOf(s.options.Name)
	p.isReplica = position >= 0 && view.Replicas[position].DiskID == s.options.DiskID
	former := p.view
	p.fenced = p.fenced && view.Epoch == p.epoch
	p.epoch, p.view = view.Epoch, view
	if p.isPrimary && p.collection == nil && p.view.Collecting() {
		s.stepDown(p) // others have recovered the partition meanwhile
	}
	switch {
	case !p.isReplica:
		s.stepDown(p)
		s.forgetIfReplicated(p)
	case position > 0:
		s.stepDown(p)
	case p.isPrimary:
		s.updateBackups(p, former)
	default:
		s.awaitFormerPrimary(p, former)
		s.becomePrimary(p)
	}
	if p.isPrimary {
		s.followPreferredPrimary(p)
	}
}

// becomePrimary makes this store the partition's primary. It has the backups resynced, and submits the queued messages
// to the engine as soon as the backups have told how messages ended that they know of. The caller must hold s.mu.
func (s *Store) becomePrimary(p *partition) {
	p.isPrimary, p.paused = true, false
	s.appendAndReplicate(p, &record.Record{Kind: record.Epoch, Partition: p.id, Epoch: p.epoch})
	clear(p.resync)
	clear(p.unsyncedSince)
	for _, replica := range p.backups() {
		s.needResync(p, replica)
	}
	if p.view.Collecting() {
		s.beginCollection(p)
	}
	s.updateFence(p)
	s.engine.ResumePartition(p.id)
	queued := p.queued()
	if p.collection == nil {
		s.beginCatchUp(p, queued)
	}
	s.changes.gained++
	s.changes.messages += len(queued)
}

// updateBackups applies a view in which this store stays the primary, but its backups may have changed. Running resyncs
// of remaining backups continue, as most tables only change other partitions. The caller must hold s.mu.
func (s *Store) updateBackups(p *partition, former cluster.Partition) {
	for diskID := range p.resync {
		if !containsDisk(p.backups(), diskID) {
			delete(p.resync, diskID)
		}
	}
	for _, replica := range p.backups() {
		if !replica.Synced {
			p.discardConfirmations(replica.DiskID)
		}
		isNew := !slices.Contains(former.Replicas, replica)
		mayLackRecords := !replica.Synced || replica.Suspected
		if mayLackRecords && (isNew || p.resync[replica.DiskID] == nil) {
			s.needResync(p, replica)
		}
	}
	if p.collection != nil {
		s.updateCollection(p, former)
	}
	s.updateFence(p)
	for _, write := range p.pendingWrites() {
		s.sendPending(p, write)
		s.commitIfSynced(p, write)
	}
	s.endCatchUpIfAnswered(p)
}

// discardConfirmations drops a backup's confirmations of pending writes once per epoch in which the backup is not
// synced: it may have left the group and dropped their records since. The caller must hold Store.mu.
func (p *partition) discardConfirmations(diskID string) {
	if p.unsyncedSince[diskID] == p.epoch {
		return
	}
	p.unsyncedSince[diskID] = p.epoch
	for _, write := range p.pendingWrites() {
		delete(write.syncedOn, diskID)
		delete(write.sentTo, diskID)
	}
}

// containsDisk reports whether one of the replicas has the given disk.
func containsDisk(replicas []cluster.Replica, diskID string) bool {
	for _, replica := range replicas {
		if replica.DiskID == diskID {
			return true
		}
	}
	return false
}

// stepDown ends this store's role as the primary of a partition; it does nothing if the store is not its primary.
// Pending writes end with errSteppedDown. The caller must hold s.mu.
func (s *Store) stepDown(p *partition) {
	if !p.isPrimary {
		return
	}
	p.isPrimary, p.fenced, p.paused = false, false, false
	s.changes.lost++
	s.updateFence(p)
	s.engine.Release(p.id)
	clear(p.resync)
	p.catchUp, p.collection = nil, nil
	for _, write := range p.pendingWrites() {
		p.finishWrite(write, errSteppedDown)
	}
	for _, e := range p.entries {
		s.cachedBytes -= int64(len(e.body))
		e.body = nil
	}
	s.logger.Debug("no longer primary of a partition", zap.Int("partition", p.id), zap.Uint64("epoch", p.epoch))
}

// forgetIfReplicated drops the messages of a partition once its replica group, to which this store does not belong, is
// complete and synced. The caller must hold s.mu.
func (s *Store) forgetIfReplicated(p *partition) {
	isSynced := p.view.SyncedReplicas() == len(p.view.Replicas)
	if len(p.entries) == 0 || !isSynced || !p.isComplete(s.options.ReplicationFactor) {
		return
	}
	forget := &record.Record{Kind: record.Forget, Partition: p.id, Epoch: p.epoch}
	if err := s.appendRecord(forget); err != nil {
		s.logger.Warn("appending a record failed", zap.Error(err))
		return
	}
	clear(p.entries)
}
