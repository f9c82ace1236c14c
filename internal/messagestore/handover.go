package messagestore

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/ctxtime"
	"gladepick/internal/rpc"
)

// handoverOutcome is the result of an attempt to hand a partition over.
type handoverOutcome int

const (
	handoverRejected handoverOutcome = iota // this store is certainly still the primary
	handoverDone                            // another store is the primary
	handoverUnknown                         // another store may be the primary: deliveries must wait for the next view
)

// handoverOutcomeOf returns the outcome of a handover by the error of the request to the control plane.
func handoverOutcomeOf(err error) handoverOutcome {
	if err == nil {
		return handoverDone
	}
	switch rpc.CodeOf(err) {
	case rpc.CodeUnavailable, rpc.CodeNotLeader, rpc.CodeNotFound, rpc.CodeInvalid:
		return handoverRejected
	}
	if errors.Is(err, cluster.ErrNoPrimary) {
		return handoverRejected
	}
	return handoverUnknown
}

// handOver waits until the backups have all records and asks the control plane to promote one of them. The caller has
// stopped the partition's deliveries before.
func (s *Store) handOver(ctx context.Context, id int) handoverOutcome {
	p, epoch := s.partitionAsPrimary(id)
	if p == nil {
		return handoverDone
	}
	ready, complete := s.readyBackups(p, epoch)
	if !complete || len(ready) == 0 {
		return handoverRejected
	}
	if err := flushAll(ctx, p, ready); err != nil {
		s.logger.Info("flushing records to a backup failed", zap.Int("partition", id), zap.Error(err))
		return handoverRejected
	}
	// Records that were in flight to a backup before the flush may have failed in the meantime.
	if readyAfterFlush, complete := s.readyBackups(p, epoch); !complete || !slices.Equal(readyAfterFlush, ready) {
		return handoverRejected
	}
	request := cluster.PartitionRequest{Partition: id, Epoch: epoch, Handover: true}
	for _, backup := range ready {
		request.Ready = append(request.Ready, backup.replica.Store)
	}
	outcome := s.requestHandover(request)
	if outcome != handoverDone {
		return outcome
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.isPrimary && p.epoch == epoch {
		s.stepDown(p)
		p.epoch = epoch + 1
	}
	return handoverDone
}

// flushAll flushes the backups one after the other, each within replicateTimeout.
func flushAll(ctx context.Context, p *partition, backups []*replicator) error {
	for _, backup := range backups {
		flushCtx, cancel := context.WithTimeout(ctx, replicateTimeout)
		err := backup.flush(flushCtx, p)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// requestHandover asks the control plane to promote one of the backups that the request lists as ready.
func (s *Store) requestHandover(request cluster.PartitionRequest) handoverOutcome {
	err := s.requestChange(request)
	if err != nil {
		s.logger.Info("handover of a partition failed", zap.Int("partition", request.Partition), zap.Error(err))
	}
	return handoverOutcomeOf(err)
}

// partitionAsPrimary returns a partition and its epoch, or nil and 0 if this store is not its primary.
func (s *Store) partitionAsPrimary(id int) (*partition, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitions[id]
	if p == nil || !p.isPrimary {
		return nil, 0
	}
	return p, p.epoch
}

// readyBackups returns the backups that lack no records except those in flight to them. complete is false if a synced
// backup, which may be promoted, lacks other records: as primary it would run ended messages again. complete is also
// false if this store is no longer the primary under the given epoch.
func (s *Store) readyBackups(p *partition, epoch uint64) (ready []*replicator, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.isPrimary || p.epoch != epoch {
		return nil, false
	}
	complete = true
	for _, replica := range p.backups() {
		if p.resync[replica.DiskID] == nil {
			ready = append(ready, s.replicator(replica))
		} else if replica.Synced {
			complete = false
		}
	}
	return ready, complete
}

// followPreferredPrimary starts a handover if the control plane prefers another store as the primary and that store is
// synced. The caller must hold s.mu.
func (s *Store) followPreferredPrimary(p *partition) {
	position := p.view.IndexOf(p.view.PreferredPrimary)
	if p.handingOver || p.view.PreferredPrimary == "" || position <= 0 || !p.view.Replicas[position].Synced {
		return
	}
	p.handingOver = true
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.context, preferredPrimaryTimeout)
		defer cancel()
		s.handOverToPreferred(ctx, p)
	})
}

// handoverRetryInterval returns the time to wait before the next attempt of a handover.
func handoverRetryInterval(outcomeUnknown bool) time.Duration {
	if outcomeUnknown {
		return unknownOutcomeInterval
	}
	return handoverPollInterval
}

// handOverToPreferred stops a partition's deliveries and hands the partition over. If the handover is rejected, the
// deliveries resume. They stay stopped while it is unknown whether another store is the primary.
func (s *Store) handOverToPreferred(ctx context.Context, p *partition) {
	s.pause(p.id)
	s.repeatHandover(ctx, p)
	s.mu.Lock()
	p.handingOver = false
	isPrimary := p.isPrimary
	s.mu.Unlock()
	if isPrimary {
		s.resume(p.id)
	}
}

// repeatHandover attempts a handover until it is done, or until the context has ended and no outcome is unknown. An
// outcome stays unknown until a newer view arrives or unknownOutcomeTimeout has passed.
func (s *Store) repeatHandover(ctx context.Context, p *partition) {
	attemptCtx := ctx
	var unknownUntil time.Time
	for outcome := handoverRejected; ; {
		_, epoch := s.partitionAsPrimary(p.id)
		if s.engine.InFlightOf(p.id) == 0 {
			outcome = s.handOver(attemptCtx, p.id)
		}
		if outcome == handoverUnknown {
			attemptCtx = s.context // attempts continue after the end of ctx until the outcome is known
			unknownUntil = time.Now().Add(unknownOutcomeTimeout)
		}
		if _, currentEpoch := s.partitionAsPrimary(p.id); currentEpoch != epoch {
			unknownUntil = time.Time{} // a newer view has arrived
		}
		isUnknown := time.Now().Before(unknownUntil)
		if outcome == handoverDone || s.context.Err() != nil || ctx.Err() != nil && !isUnknown {
			return
		}
		ctxtime.Sleep(s.context, handoverRetryInterval(isUnknown))
	}
}
