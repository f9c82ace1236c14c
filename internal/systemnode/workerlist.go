package systemnode

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/controlplane/workerlist"
)

// SetPlatformAddress sets the address from which the store reads the platform's worker list while it receives no
// current list from the control plane.
func (s *Store) SetPlatformAddress(address string) { s.platformAddress.Store(&address) }

// watchWorkers reads the platform's worker list at every workersReadInterval while the newest list from the control
// plane is older than workersStaleAfter. It returns when the context ends.
func (s *Store) watchWorkers(ctx context.Context) {
	ticker := time.NewTicker(workersReadInterval)
	defer ticker.Stop()
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		last := s.agent.WorkersReadAt()
		if last.IsZero() {
			last = started
		}
		if time.Since(last) > workersStaleAfter {
			s.readWorkers(ctx)
		}
	}
}

// readWorkers reads the platform's worker list once and passes it to the delivery engine.
func (s *Store) readWorkers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, workersReadTimeout)
	defer cancel()
	workers, err := workerlist.Read(ctx, s.platformClient, *s.platformAddress.Load())
	if err != nil {
		s.logger.Info("reading the worker list failed", zap.Error(err))
		return
	}
	s.engine.SetWorkers(workers)
}
