package messagestore

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
)

// Control is the control plane as a store sees it.
type Control interface {
	// RequestPartitionChange asks for a change of a replica group whose primary this store is.
	RequestPartitionChange(ctx context.Context, request cluster.PartitionRequest) error
	// ReportFailure tells that a process can't be reached.
	ReportFailure(ctx context.Context, report cluster.FailureReport) error
	// LeaseRemaining returns for how long this process's lease surely still runs; 0 where it does not.
	LeaseRemaining() time.Duration
}

// requestChange asks the control plane for a change of a replica group.
func (s *Store) requestChange(request cluster.PartitionRequest) error {
	request.Store = s.options.Name
	ctx, cancel := context.WithTimeout(s.context, controlTimeout)
	defer cancel()
	return s.options.Control.RequestPartitionChange(ctx, request)
}

// reportUnreachable tells the control plane of a store that can't be reached. refused means that the connection was refused or reset.
func (s *Store) reportUnreachable(store, address string, refused bool) {
	if !s.isReportDue(store, time.Now()) {
		return
	}
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.context, controlTimeout)
		defer cancel()
		report := cluster.FailureReport{Node: store, Address: address, Refused: refused}
		if err := s.options.Control.ReportFailure(ctx, report); err != nil {
			s.logger.Debug("reporting a store failed", zap.String("store", store), zap.Error(err))
		}
	})
}

// isReportDue tells whether a report of a store is due: one tells as much as many at once.
func (s *Store) isReportDue(store string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastReports[store]) < reportInterval {
		return false
	}
	s.lastReports[store] = now
	return true
}
