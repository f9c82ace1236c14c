package messagestore

import (
	"context"

	"gladepick/internal/ctxtime"
)

// Drain hands every partition whose primary the store is to another store: deliveries stop, those that are out end, their
// outcomes reach the backups, and the control plane promotes one of them. It returns when the store is no partition's
// primary, or when the context ends.
func (s *Store) Drain(ctx context.Context) {
	for ctx.Err() == nil {
		led := s.ledPartitions()
		if len(led) == 0 {
			return
		}
		for _, id := range led {
			s.pause(id)
		}
		handedOver := false
		for _, id := range led {
			if s.engine.InFlightOf(id) == 0 {
				handedOver = s.handOver(ctx, id) == handoverDone || handedOver
			}
		}
		if !handedOver {
			ctxtime.Sleep(ctx, handoverPollInterval)
		}
	}
}

// ledPartitions returns the IDs of the partitions whose primary this store is, in no particular order.
func (s *Store) ledPartitions() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var led []int
	for id, p := range s.partitions {
		if p.isPrimary {
			led = append(led, id)
		}
	}
	return led
}

// pause stops a partition's deliveries; attempts that are out go on.
func (s *Store) pause(id int) {
	s.setPaused(id, true)
	s.engine.PausePartition(id)
}

// resume takes up a partition's deliveries again after a handover that did not come about.
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
