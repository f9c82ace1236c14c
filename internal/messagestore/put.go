package messagestore

import (
	"context"
	"time"

	"gladepick/internal/message"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/messagestore/record"
	"gladepick/internal/rpc"
	"gladepick/internal/wal"
)

// handlePut stores a message. It answers without an error once every disk of the partition's view has synced the
// message.
func (s *Store) handlePut(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var request protocol.PutRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	request.Message.RestoreExactText()
	write, isNew, err := s.accept(&request.Submission, call.Body)
	if err != nil || write == nil {
		return nil, nil, err
	}
	if isNew {
		s.syncLocally(ctx, write)
	}
	select {
	case <-write.done:
		if write.err != nil {
			return nil, nil, &rpc.Error{Code: rpc.CodeInternal, Message: write.err.Error()}
		}
		return nil, nil, nil
	case <-ctx.Done():
		return nil, nil, errCommitTimeout
	}
}

// accept assigns a message its sequence number, appends it to the log and queues it for the backups. It returns the
// write to wait for and whether the message is new. Clients repeat a put whose answer was lost: a repeated put of a
// pending message returns its write, that of a committed message returns nil.
func (s *Store) accept(submission *message.Submission, body []byte) (*pendingWrite, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitions[submission.Message.Partition]
	if p == nil || !p.isPrimary || p.fenced {
		return nil, false, errNotPrimary
	}
	if existing := p.entries[submission.Message.ID]; existing != nil {
		if existing.pending == nil && !p.isCommitted(existing) {
			return nil, false, errCommitTimeout
		}
		return existing.pending, false, nil
	}
	if !s.canCommit(p) {
		return nil, false, errCannotCommit
	}
	accepted := s.assignSequence(p, submission)
	line, err := (&record.Record{Kind: record.Accepted, Partition: p.id, Epoch: p.epoch, Message: accepted}).Encode()
	if err != nil {
		return nil, false, err
	}
	position, err := s.log.AppendParts(line, body)
	if err != nil {
		return nil, false, unavailable(err)
	}
	write := s.addPending(p, accepted, position, line, body)
	s.sendPending(p, write)
	return write, true, nil
}

// isCommitted reports whether an entry without a pending write is certainly on all replicas. One that another process has
// accepted may be on this store only, until the resyncs of the backups are done. The caller must hold Store.mu.
func (p *partition) isCommitted(e *entry) bool {
	return e.committed || e.ended() || p.collection == nil && len(p.resync) == 0
}

// canCommit reports whether another message is likely to be committed in time. The caller must hold s.mu.
func (s *Store) canCommit(p *partition) bool {
	return p.collection == nil && len(p.view.Replicas) >= s.options.ReplicationFactor && !s.log.Failing() && !s.diskFull() &&
		!s.hasUnresponsiveBackup(p)
}

// hasUnresponsiveBackup reports whether a backup does not respond. A message that can go to another partition should
// not wait for such a backup. The caller must hold s.mu.
func (s *Store) hasUnresponsiveBackup(p *partition) bool {
	for _, replica := range p.backups() {
		if s.replicator(replica).isUnresponsive() {
			return true
		}
	}
	return false
}

// assignSequence returns the message of a submission with its sequence number and its absolute times. The caller must
// hold s.mu.
func (s *Store) assignSequence(p *partition, submission *message.Submission) *message.Message {
	accepted := submission.Message
	p.lastSequence = max(p.lastSequence+1, p.epoch<<epochShift+1)
	accepted.Sequence = p.lastSequence
	now := time.Now()
	accepted.DueAt = now.Add(time.Duration(submission.DelayMS) * time.Millisecond)
	accepted.ExpiresAt = now.Add(time.Duration(submission.RetentionMS) * time.Millisecond)
	return &accepted
}

// addPending adds a message to the index as a pending write. It caches the body in memory while Options.CacheBytes
// allows. The caller must hold s.mu.
func (s *Store) addPending(
	p *partition, accepted *message.Message, position wal.Position, line, body []byte,
) *pendingWrite {
	added := &entry{
		message: accepted, position: position, outcome: message.Outcome{State: message.Queued},
	}
	if s.cachedBytes < s.options.CacheBytes {
		added.body = body
		s.cachedBytes += int64(len(body))
	}
	write := newPendingWrite(p, accepted.ID, added, line, body)
	added.pending = write
	p.entries[accepted.ID] = added
	p.pending[write] = true
	return write
}

// syncLocally waits until this store's disk has synced a write. If the caller's context ends first, the wait goes on in the
// background, as the write may be on the backups already.
func (s *Store) syncLocally(ctx context.Context, write *pendingWrite) {
	err := s.log.Sync(ctx)
	if err != nil && ctx.Err() != nil {
		s.background.Go(func() { s.finishLocalSync(write, s.log.Sync(s.context)) })
		return
	}
	s.finishLocalSync(write, err)
}

// finishLocalSync handles the result of the sync of a write to this store's disk. It aborts the write if the sync has
// failed, unless the store closes.
func (s *Store) finishLocalSync(write *pendingWrite, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(write.partition)
	if err != nil {
		if s.context.Err() == nil {
			s.abort(p, write, err)
		}
		return
	}
	write.syncedLocally = true
	s.commitIfSynced(p, write)
}
