package messagestore

import (
	"context"

	"gladepick/internal/ctxtime"
)

// Drain hands every partition that the store leads to another store: deliveries stop, those that are out end, their
// outcomes reach the backups, and the control plane promotes one of them. It returns when the store leads nothing,
// or when the context ends.
func (s *Store) Drain(ctx context.Context) {
	for ctx.Err() == nil {
		led := s.ledPartitions()
		if len(led) == 0 {
			return
		}
		for _, id := range led {
			s.pause(id)
		}
		handed := false
		for _, id := range led {
			if s.engine.InFlightOf(id) == 0 {
				handed = s.handOver(ctx, id) == handoverDone || handed
			}
		}
		if !handed {
			ctxtime.Sleep(ctx, handoverPollInterval)
		}
	}
}

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

// pause stops a partition's deliveries.
func (s *Store) pause(id int) {
	s.setPaused(id, true)
	s.engine.PausePartition(id)
}

// resume takes a partition's deliveries up again after a handover that did not come about.
func (s *Store) resume(id int) {
	s.setPaused(id, false)
	s.engine.ResumePartition(id)
}

func (s *Store) setPaused(id int, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.partitions[id]; p != nil {
		p.paused = paused
		s.updateFence(p)
	}
}
