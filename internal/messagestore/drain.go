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
			ctxtime.Sleep(ctx, handoverPoll)
		}
	}
}

func (s *Store) ledPartitions() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var led []int
	for id, p := range s.partitions {
		if p.leading {
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
		s.setGate(p)
	}
}

// handoverOutcome is what came of an attempt to hand a partition over.
type handoverOutcome int

const (
	handoverRefused handoverOutcome = iota // this store surely leads as before
	handoverDone                           // another store leads
	handoverUnclear                        // another store may lead: deliveries must wait for the next view
)

// outcomeOfAsk tells what an answer of the control plane to a handover means.
func outcomeOfAsk(err error) handoverOutcome {
	if err == nil {
		return handoverDone
	}
	switch rpc.CodeOf(err) {
	case rpc.CodeUnavailable, rpc.CodeNotLeader, rpc.CodeNotFound, rpc.CodeInvalid:
		return handoverRefused
	}
	if errors.Is(err, cluster.ErrNoPrimary) {
		return handoverRefused
	}
	return handoverUnclear
}

// handOver brings the backups up to date and asks for a new primary. Deliveries of the partition have stopped.
func (s *Store) handOver(ctx context.Context, id int) handoverOutcome {
	p, epoch := s.ledBy(id)
	if p == nil {
		return handoverDone
	}
	ready, complete := s.readyBackups(p, epoch)
	if !complete || len(ready) == 0 {
		return handoverRefused
	}
	for _, backup := range ready {
		flushed, cancel := context.WithTimeout(ctx, replicateTimeout)
		err := backup.flush(flushed, p)
		cancel()
		if err != nil {
			s.logger.Info("flushing to a backup", zap.Int("partition", id), zap.Error(err))
			return handoverRefused
		}
	}
	// What was on its way to a backup before the flush may have failed meanwhile.
	if still, complete := s.readyBackups(p, epoch); !complete || !slices.Equal(still, ready) {
		return handoverRefused
	}
	ask := cluster.PartitionRequest{Partition: id, Epoch: epoch, Handover: true}
	for _, backup := range ready {
		ask.Ready = append(ask.Ready, backup.replica.Store)
	}
	outcome := s.askHandover(ask)
	if outcome != handoverDone {
		return outcome
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.leading && p.epoch == epoch {
		s.stepDown(p)
		p.epoch = epoch + 1
	}
	return handoverDone
}

// askHandover asks the control plane for a new primary.
func (s *Store) askHandover(ask cluster.PartitionRequest) handoverOutcome {
	err := s.ask(ask)
	if err != nil {
		s.logger.Info("handing a partition over", zap.Int("partition", ask.Partition), zap.Error(err))
	}
	return outcomeOfAsk(err)
}

// ledBy returns a partition that this store leads and its epoch, or nil.
func (s *Store) ledBy(id int) (*partition, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitions[id]
	if p == nil || !p.leading {
		return nil, 0
	}
	return p, p.epoch
}

// readyBackups returns the backups that lack nothing but what is on its way to them. It tells false where one that may be
// promoted lacks more: it would run again what has ended; and where the partition has another view by now.
func (s *Store) readyBackups(p *partition, epoch uint64) (ready []*peer, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.leading || p.epoch != epoch {
		return nil, false
	}
	complete = true
	for _, replica := range p.backups() {
		if p.resync[replica.DiskID] == nil {
			ready = append(ready, s.peer(replica))
		} else if replica.Synced {
			complete = false
		}
	}
	return ready, complete
}

// followWish hands a partition over when the control plane wishes for another primary that is synced. The caller holds
// the lock.
func (s *Store) followWish(p *partition) {
	place := p.view.Find(p.view.PreferredPrimary)
	if p.moving || p.view.PreferredPrimary == "" || place <= 0 || !p.view.Replicas[place].Synced {
		return
	}
	p.moving = true
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.context, wishPatience)
		defer cancel()
		s.moveAway(ctx, p)
	})
}

// pauseAfter returns the pause before a handover is tried again.
func pauseAfter(inDoubt bool) time.Duration {
	if inDoubt {
		return unclearPause
	}
	return handoverPoll
}

// moveAway stops a partition's deliveries and hands it over, or takes the deliveries up again where that is refused. While
// it is not known whether another store leads they stay stopped.
func (s *Store) moveAway(ctx context.Context, p *partition) {
	s.pause(p.id)
	attempts := ctx
	var doubtUntil time.Time
	for outcome := handoverRefused; ; {
		_, epoch := s.ledBy(p.id)
		if s.engine.InFlightOf(p.id) == 0 {
			outcome = s.handOver(attempts, p.id)
		}
		if outcome == handoverUnclear {
			attempts = s.context // it has to become clear, however long that takes
			doubtUntil = time.Now().Add(handoverDoubt)
		}
		if _, now := s.ledBy(p.id); now != epoch {
			doubtUntil = time.Time{} // a newer view has come
		}
		inDoubt := time.Now().Before(doubtUntil)
		if outcome == handoverDone || s.context.Err() != nil || ctx.Err() != nil && !inDoubt {
			break
		}
		ctxtime.Sleep(s.context, pauseAfter(inDoubt))
	}
	s.mu.Lock()
	p.moving = false
	still := p.leading
	s.mu.Unlock()
	if still {
		s.resume(p.id)
	}
}
