package messagestore

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
)

// Control is a store's interface to the control plane.
type Control interface {
	// RequestPartitionChange asks for a change of a replica group whose primary this store is.
	RequestPartitionChange(ctx context.Context, request cluster.PartitionRequest) error
	// ReportFailure reports a process that can't be reached.
	ReportFailure(ctx context.Context, report cluster.FailureReport) error
	// LeaseRemaining returns for how long this process's lease is guaranteed to be valid, or 0 if it may have ended.
	LeaseRemaining() time.Duration
}

// requestChange asks the control plane for a change of a replica group, in the name of this store and within
// controlTimeout.
func (s *Store) requestChange(request cluster.PartitionRequest) error {
	request.Store = s.options.Name
	ctx, cancel := context.WithTimeout(s.context, controlTimeout)
	defer cancel()
	return s.options.Control.RequestPartitionChange(ctx, request)
}

// reportUnreachable reports a store that can't be reached to the control plane, at most once per reportInterval and
// without waiting for the answer. refused means that the connection was refused or reset.
func (s *Store) reportUnreachable(store, address string, refused bool) {
	if !s.isReportDue(store, time.Now()) {
		return
	}
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.context, controlTimeout)
		defer cancel()
		report := cluster.FailureReport{Node: store, Address: address, Refused: refused}
		if err := s.options.Control.ReportFailure(ctx, report); err != nil {
			s.logger.Debug("reporting an unreachable store failed", zap.String("store", store), zap.Error(err))
		}
	})
}

// isReportDue reports whether a store may be reported again, and if so records the report. One report per
// reportInterval is enough, as further ones add no information.
func (s *Store) isReportDue(store string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastReports[store]) < reportInterval {
		return false
	}
	s.lastReports[store] = now
	return true
}
