package messagestore

import (
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
)

// fencePartition stops a primary whose epoch a replica has rejected, as another store may be the primary: it accepts and
// delivers nothing. The state ends with a view of a newer epoch, which renewFencedEpoch asks for if none arrives. The
// caller must hold s.mu.
func (s *Store) fencePartition(p *partition) {
	if p.fenced {
		return
	}
	p.fenced = true
	p.renewalDue = time.Now().Add(fencedRenewalDelay)
	s.updateFence(p)
	s.logger.Info("a replica has rejected this primary's epoch", zap.Int("partition", p.id), zap.Uint64("epoch", p.epoch))
}

// renewFencedEpoch asks the control plane for a new epoch of a partition that has been fenced for fencedRenewalDelay. If
// another store is the primary, the request fails, and this store gets the newer view with the table. The caller must
// hold s.mu.
func (s *Store) renewFencedEpoch(p *partition) {
	now := time.Now()
	if !p.isPrimary || !p.fenced || now.Before(p.renewalDue) {
		return
	}
	p.renewalDue = now.Add(fencedRenewalDelay)
	request := cluster.PartitionRequest{Partition: p.id, Epoch: p.epoch, Renew: true}
	s.background.Go(func() {
		if err := s.requestChange(request); err != nil {
			s.logger.Info("requesting a new epoch failed", zap.Int("partition", request.Partition), zap.Error(err))
		}
	})
}
