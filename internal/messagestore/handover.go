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

// handoverOutcome is what came of an attempt to hand a partition over.
type handoverOutcome int

const (
	handoverRejected handoverOutcome = iota // this store is the primary as before, for sure
	handoverDone                            // another store is the primary
	handoverUnknown                         // another store may be the primary: deliveries must wait for the next view
)

// handoverOutcomeOf tells what an answer of the control plane to a handover means.
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

// handOver brings the backups up to date and asks for a new primary among them. Deliveries of the partition have stopped.
func (s *Store) handOver(ctx context.Context, id int) handoverOutcome {
	p, epoch := s.ledPartition(id)
	if p == nil {
		return handoverDone
	}
	ready, complete := s.readyBackups(p, epoch)
	if !complete || len(ready) == 0 {
		return handoverRejected
	}
	if err := flushAll(ctx, p, ready); err != nil {
		s.logger.Info("flushing to a backup failed", zap.Int("partition", id), zap.Error(err))
		return handoverRejected
	}
	// What was on its way to a backup before the flush may have failed meanwhile.
	if still, complete := s.readyBackups(p, epoch); !complete || !slices.Equal(still, ready) {
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

// flushAll waits until each backup has everything that is queued for it, one backup after the other.
func flushAll(ctx context.Context, p *partition, backups []*replicator) error {
	for _, backup := range backups {
		limited, cancel := context.WithTimeout(ctx, replicateTimeout)
		err := backup.flush(limited, p)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// requestHandover asks the control plane for a new primary.
func (s *Store) requestHandover(request cluster.PartitionRequest) handoverOutcome {
	err := s.requestChange(request)
	if err != nil {
		s.logger.Info("handing a partition over failed", zap.Int("partition", request.Partition), zap.Error(err))
	}
	return handoverOutcomeOf(err)
}

// ledPartition returns a partition and its epoch, or nil where this store is not its primary.
func (s *Store) ledPartition(id int) (*partition, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitions[id]
	if p == nil || !p.isPrimary {
		return nil, 0
	}
	return p, p.epoch
}

// readyBackups returns the backups that lack nothing but what is on its way to them. It tells false where one that may be
// promoted lacks more: it would run again what has ended; and where the partition has another view by now.
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

// followPreferredPrimary hands a partition over where the control plane prefers another primary that is synced. The caller
// holds the lock.
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

// handoverRetryInterval returns the pause before a handover is tried again.
func handoverRetryInterval(outcomeUnknown bool) time.Duration {
	if outcomeUnknown {
		return unknownOutcomeInterval
	}
	return handoverPollInterval
}

// handOverToPreferred stops a partition's deliveries and hands it over, or takes up the deliveries again where that is rejected.
// They stay stopped while it is not known whether another store is the primary.
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

// repeatHandover tries a handover until it is done, or until the context ends while no outcome is unknown. An outcome stays
// unknown until a newer view comes, or unknownOutcomeTimeout has passed.
func (s *Store) repeatHandover(ctx context.Context, p *partition) {
	attempts := ctx
	var unknownUntil time.Time
	for outcome := handoverRejected; ; {
		_, epoch := s.ledPartition(p.id)
		if s.engine.InFlightOf(p.id) == 0 {
			outcome = s.handOver(attempts, p.id)
		}
		if outcome == handoverUnknown {
			attempts = s.context // the outcome has to become known, however long that takes
			unknownUntil = time.Now().Add(unknownOutcomeTimeout)
		}
		if _, current := s.ledPartition(p.id); current != epoch {
			unknownUntil = time.Time{} // a newer view has come
		}
		isUnknown := time.Now().Before(unknownUntil)
		if outcome == handoverDone || s.context.Err() != nil || ctx.Err() != nil && !isUnknown {
			return
		}
		ctxtime.Sleep(s.context, handoverRetryInterval(isUnknown))
	}
}
