package systemnode

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/controlplane/workerlist"
)

// SetPlatformAddress changes the address from which the store reads the platform's list of workers when the control
// plane brings none.
func (s *Store) SetPlatformAddress(address string) { s.platformAddress.Store(&address) }

// watchWorkers reads the platform's list of workers while the control plane brings no current one.
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

// readWorkers reads the list once and passes it to the delivery engine.
func (s *Store) readWorkers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, workersReadTimeout)
	defer cancel()
	workers, err := workerlist.Read(ctx, s.platformClient, *s.platformAddress.Load())
	if err != nil {
		s.logger.Info("reading the list of workers failed", zap.Error(err))
		return
	}
	s.engine.SetWorkers(workers)
}
