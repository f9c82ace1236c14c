package messagestore

import (
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
)

// ApplyTable takes a new cluster table in: it makes this store the primary of partitions, or a backup, or neither.
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
	s.logLeadChanges()
}

// leadChanges counts changes of the partitions that the store leads, until they are logged.
type leadChanges struct {
	gained   int
	lost     int
	messages int // that have not ended, in the partitions gained
}

// logLeadChanges logs one line for all changes since the last one. The caller holds the lock.
func (s *Store) logLeadChanges() {
	changes := s.changes
	s.changes = leadChanges{}
	if changes.gained+changes.lost > 0 {
		s.logger.Info("partitions led", zap.Uint64("table", s.table.Revision), zap.Int("gained", changes.gained),
			zap.Int("lost", changes.lost), zap.Int("messages", changes.messages))
	}
}

// applyView takes one partition's view in. The caller holds the lock.
func (s *Store) applyView(view cluster.Partition) {
	p := s.partition(view.ID)
	if view.Epoch < p.epoch {
		return
	}
	place := view.Find(s.options.Name)
	p.held = place >= 0 && view.Replicas[place].DiskID == s.options.DiskID
	former := p.view
	p.fenced = p.fenced && view.Epoch == p.epoch
	p.epoch, p.view = view.Epoch, view
	switch {
	case !p.held:
		s.stepDown(p)
		s.forgetIfWhole(p)
	case place > 0:
		s.stepDown(p)
	case p.leading:
		s.adjustBackups(p)
	default:
		s.waitForFormer(p, former)
		s.lead(p)
	}
	if p.leading {
		s.followWish(p)
	}
}

// lead makes this store the partition's primary: what has not ended is delivered, and the backups are brought up to
// what this store holds. The caller holds the lock.
func (s *Store) lead(p *partition) {
	p.leading, p.paused = true, false
	s.appendAndReplicate(p, &record{Kind: recordEpoch, Partition: p.id, Epoch: p.epoch})
	clear(p.resync)
	clear(p.joined)
	for _, replica := range p.backups() {
		s.needResync(p, replica)
	}
	s.setGate(p)
	s.engine.ResumePartition(p.id)
	live := p.live()
	for _, each := range live {
		s.engine.Submit(each.message, each.failures)
	}
	s.changes.gained++
	s.changes.messages += len(live)
}

// adjustBackups follows a change of the group that this store goes on to lead. The caller holds the lock.
func (s *Store) adjustBackups(p *partition) {
	for disk := range p.resync {
		if !listed(p.backups(), disk) {
			delete(p.resync, disk)
		}
	}
	for _, replica := range p.backups() {
		if !replica.Synced {
			s.needResync(p, replica)
			p.noteJoined(replica.DiskID)
		}
	}
	s.setGate(p)
	for write := range p.pending {
		s.sendPending(p, write)
		s.commitIfSynced(p, write)
	}
}

// noteJoined takes nothing for confirmed any more that a backup confirmed before the present epoch, in which it is not
// synced.
func (p *partition) noteJoined(diskID string) {
	if p.joined[diskID] == p.epoch {
		return
	}
	p.joined[diskID] = p.epoch
	for write := range p.pending {
		delete(write.synced, diskID)
		delete(write.sent, diskID)
	}
}

func listed(replicas []cluster.Replica, disk string) bool {
	for _, replica := range replicas {
		if replica.DiskID == disk {
			return true
		}
	}
	return false
}

// stepDown ends this store's lead of a partition, if it had it. The caller holds the lock.
func (s *Store) stepDown(p *partition) {
	if !p.leading {
		return
	}
	p.leading, p.fenced, p.paused = false, false, false
	s.changes.lost++
	s.setGate(p)
	s.engine.Release(p.id)
	clear(p.resync)
	for write := range p.pending {
		delete(p.pending, write)
		write.entry.pending = nil
		write.err = errStepDown
		close(write.done)
	}
	for _, each := range p.entries {
		s.cached -= int64(len(each.body))
		each.body = nil
	}
	s.logger.Debug("partition no longer led", zap.Int("partition", p.id), zap.Uint64("epoch", p.epoch))
}

// forgetIfWhole drops a partition that a whole group of other stores holds. The caller holds the lock.
func (s *Store) forgetIfWhole(p *partition) {
	if len(p.entries) == 0 || len(p.view.Replicas) < s.options.Copies {
		return
	}
	for _, replica := range p.view.Replicas {
		if !replica.Synced {
			return
		}
	}
	line, err := (&record{Kind: recordForget, Partition: p.id, Epoch: p.epoch}).encode()
	if err != nil {
		return
	}
	if _, err := s.log.Append(line); err != nil {
		s.logger.Warn("appending a record", zap.Error(err))
		return
	}
	clear(p.entries)
}

// Holdings returns how many messages that have not ended this store holds, and how many of them it leads.
func (s *Store) Holdings() (queued, leading int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.partitions {
		for _, each := range p.entries {
			if each.outcome.State != message.Queued {
				continue
			}
			queued++
			if p.leading {
				leading++
			}
		}
	}
	return queued, leading
}
