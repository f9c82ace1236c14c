package messagestore

import (
	"context"

	"gladepick/internal/ctxtime"
)

// Drain hands over every partition that has this store as its primary: it stops the deliveries, waits until those in
// flight have ended and their outcomes have reached the backups, and asks the control plane to promote a backup. Drain
// returns when the store is no longer the primary of any partition, or when the context ends.
func (s *Store) Drain(ctx context.Context) {
	for ctx.Err() == nil {
		ids := s.primaryPartitions()
		if len(ids) == 0 {
			return
		}
		for _, id := range ids {
			s.pause(id)
		}
		handedOver := false
		for _, id := range ids {
			if s.engine.InFlightOf(id) == 0 {
				handedOver = s.handOver(ctx, id) == handoverDone || handedOver
			}
		}
		if !handedOver {
			ctxtime.Sleep(ctx, handoverPollInterval)
		}
	}
}

// primaryPartitions returns the IDs of the partitions that have this store as their primary, in unspecified order.
func (s *Store) primaryPartitions() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []int
	for id, p := range s.partitions {
		if p.isPrimary {
			ids = append(ids, id)
		}
	}
	return ids
}

// pause starts no more deliveries of a partition. Attempts in flight continue.
func (s *Store) pause(id int) {
	s.setPaused(id, true)
	s.engine.PausePartition(id)
}

// resume starts a partition's deliveries again after a handover that did not take place.
func (s *Store) resume(id int) {
	s.setPaused(id, false)
	s.engine.ResumePartition(id)
}

// setPaused opens or closes a partition's fence for a handover.
func (s *Store) setPaused(id int, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.partitions[id]; p != nil {
		p.paused = paused
		s.updateFence(p)
	}
}
