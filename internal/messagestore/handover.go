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
	handoverRejected handoverOutcome = iota // this store surely leads as before
	handoverDone                            // another store leads
	handoverUnknown                         // another store may lead: deliveries must wait for the next view
)

// outcomeOfAsk tells what an answer of the control plane to a handover means.
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

// handOver brings the backups up to date and asks for a new primary. Deliveries of the partition have stopped.
func (s *Store) handOver(ctx context.Context, id int) handoverOutcome {
	p, epoch := s.ledPartition(id)
	if p == nil {
		return handoverDone
	}
	ready, complete := s.readyBackups(p, epoch)
	if !complete || len(ready) == 0 {
		return handoverRejected
	}
	for _, backup := range ready {
		flushed, cancel := context.WithTimeout(ctx, replicateTimeout)
		err := backup.flush(flushed, p)
		cancel()
		if err != nil {
			s.logger.Info("flushing to a backup", zap.Int("partition", id), zap.Error(err))
			return handoverRejected
		}
	}
	// What was on its way to a backup before the flush may have failed meanwhile.
	if still, complete := s.readyBackups(p, epoch); !complete || !slices.Equal(still, ready) {
		return handoverRejected
	}
	ask := cluster.PartitionRequest{Partition: id, Epoch: epoch, Handover: true}
	for _, backup := range ready {
		ask.Ready = append(ask.Ready, backup.replica.Store)
	}
	outcome := s.requestHandover(ask)
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

// askHandover asks the control plane for a new primary.
func (s *Store) requestHandover(ask cluster.PartitionRequest) handoverOutcome {
	err := s.requestChange(ask)
	if err != nil {
		s.logger.Info("handing a partition over", zap.Int("partition", ask.Partition), zap.Error(err))
	}
	return handoverOutcomeOf(err)
}

// ledBy returns a partition that this store leads and its epoch, or nil.
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

// followWish hands a partition over when the control plane wishes for another primary that is synced. The caller holds
// the lock.
func (s *Store) followPreferredPrimary(p *partition) {
	place := p.view.IndexOf(p.view.PreferredPrimary)
	if p.handingOver || p.view.PreferredPrimary == "" || place <= 0 || !p.view.Replicas[place].Synced {
		return
	}
	p.handingOver = true
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.context, preferredPrimaryTimeout)
		defer cancel()
		s.handOverToPreferred(ctx, p)
	})
}

// pauseAfter returns the pause before a handover is tried again.
func handoverRetryInterval(inDoubt bool) time.Duration {
	if inDoubt {
		return unknownOutcomeInterval
	}
	return handoverPollInterval
}

// moveAway stops a partition's deliveries and hands it over, or takes the deliveries up again where that is refused. While
// it is not known whether another store leads they stay stopped.
func (s *Store) handOverToPreferred(ctx context.Context, p *partition) {
	s.pause(p.id)
	attempts := ctx
	var doubtUntil time.Time
	for outcome := handoverRejected; ; {
		_, epoch := s.ledPartition(p.id)
		if s.engine.InFlightOf(p.id) == 0 {
			outcome = s.handOver(attempts, p.id)
		}
		if outcome == handoverUnknown {
			attempts = s.context // it has to become clear, however long that takes
			doubtUntil = time.Now().Add(unknownOutcomeTimeout)
		}
		if _, now := s.ledPartition(p.id); now != epoch {
			doubtUntil = time.Time{} // a newer view has come
		}
		inDoubt := time.Now().Before(doubtUntil)
		if outcome == handoverDone || s.context.Err() != nil || ctx.Err() != nil && !inDoubt {
			break
		}
		ctxtime.Sleep(s.context, handoverRetryInterval(inDoubt))
	}
	s.mu.Lock()
	p.handingOver = false
	still := p.isPrimary
	s.mu.Unlock()
	if still {
		s.resume(p.id)
	}
}
