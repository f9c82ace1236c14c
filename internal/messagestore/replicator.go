package messagestore

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/messagestore/record"
	"gladepick/internal/rpc"
)

// replicator sends records to one backup's disk, in order, one call at a time; what gathers meanwhile goes into the next.
// Store.mu guards its fields. It lives until the store closes, also when the disk is no backup's any more.
type replicator struct {
	store        *Store
	replica      cluster.Replica
	wake         chan struct{}
	queue        []queuedRecord
	processEnded atomic.Pointer[time.Time] // when the backup's process was last found to have ended: it has forgotten its grants
	callStarted  time.Time                 // when the call that is out began; zero while none is
}

// queuedRecord is a record on its way to a backup.
type queuedRecord struct {
	partition int
	epoch     uint64
	line      []byte
	body      []byte
	write     *pendingWrite   // waits for it; nil for records that nobody waits for
	done      func(err error) // called without the lock; nil for most
}

// size returns the record's bytes.
func (q *queuedRecord) size() int { return len(q.line) + len(q.body) }

// replicator returns the replicator of a backup's disk, which it starts where there is none. The caller holds the lock.
func (s *Store) replicator(replica cluster.Replica) *replicator {
	found := s.replicators[replica.DiskID]
	if found == nil {
		found = &replicator{store: s, replica: replica, wake: make(chan struct{}, 1)}
		s.replicators[replica.DiskID] = found
		s.background.Go(found.run)
	}
	return found
}

// sendTo queues a record for a backup. The caller holds the lock.
func (s *Store) sendTo(p *partition, replica cluster.Replica, line []byte, write *pendingWrite) {
	queued := queuedRecord{partition: p.id, epoch: p.epoch, line: line, write: write}
	if write != nil {
		queued.body = write.body
	}
	s.replicator(replica).enqueue(queued)
}

// enqueue adds a record. The caller holds the store's lock.
func (r *replicator) enqueue(queued queuedRecord) {
	r.queue = append(r.queue, queued)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run sends what is queued until the store closes.
func (r *replicator) run() {
	for {
		select {
		case <-r.store.context.Done():
			return
		case <-r.wake:
		}
		for batch := r.nextBatch(); len(batch) > 0; batch = r.nextBatch() {
			r.send(batch)
		}
	}
}

// nextBatch removes from the queue what goes into one call: one record, and more up to batchBytes.
func (r *replicator) nextBatch() []queuedRecord {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	size, count := 0, 0
	for count < len(r.queue) && (count == 0 || size+r.queue[count].size() <= batchBytes) {
		size += r.queue[count].size()
		count++
	}
	batch := slices.Clone(r.queue[:count])
	r.queue = slices.Delete(r.queue, 0, count)
	if len(r.queue) == 0 {
		r.queue = nil
	}
	return batch
}

// send makes one call of a batch and handles its result.
func (r *replicator) send(batch []queuedRecord) {
	request, body := r.replicateRequest(batch)
	started := time.Now()
	r.recordCallStart(started)
	var response protocol.ReplicateResponse
	err := r.call(protocol.MethodReplicate, replicateTimeout, request, body, &response)
	if err != nil {
		r.store.logger.Debug("replicating failed", zap.String("backup", r.replica.Store), zap.Error(err))
	}
	result := batchResult{rejected: response.Rejected, err: err}
	if request.WantsLease && err == nil {
		result.leaseRequestedAt = started
	}
	r.handleResult(batch, result)
}

// replicateRequest returns the parameters and the body of a call.
func (r *replicator) replicateRequest(batch []queuedRecord) (protocol.ReplicateRequest, []byte) {
	request := protocol.ReplicateRequest{
		From: r.store.options.Name, TargetDiskID: r.replica.DiskID,
		WantsLease:    r.store.options.Control.LeaseRemaining() < backupLeaseMargin,
		LeaseGrantsMS: r.store.leaseGrantsRemaining().Milliseconds(),
	}
	var body []byte
	for i := range batch {
		body = append(append(body, batch[i].line...), batch[i].body...)
		header := protocol.RecordHeader{Partition: batch[i].partition, Epoch: batch[i].epoch, Length: batch[i].size()}
		request.Records = append(request.Records, header)
	}
	return request, body
}

// recordCallStart notes when a call began.
func (r *replicator) recordCallStart(started time.Time) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.callStarted = started
}

// isUnresponsive tells whether the backup has not answered the current call for so long that new messages should go to other partitions. The caller holds
// the lock.
func (r *replicator) isUnresponsive() bool {
	return !r.callStarted.IsZero() && time.Since(r.callStarted) > unresponsiveAfter
}

// call calls the backup at the address that the table gives for it now.
func (r *replicator) call(method string, limit time.Duration, request any, body []byte, response any) error {
	r.store.mu.Lock()
	entry := r.store.table.Store(r.replica.Store)
	r.store.mu.Unlock()
	if entry == nil || entry.DiskID != r.replica.DiskID {
		return rpc.ErrNotSent
	}
	ctx, cancel := context.WithTimeout(r.store.context, limit)
	defer cancel()
	_, err := r.store.options.Pool.Get(entry.Address).Call(ctx, method, request, body, response)
	if errors.Is(err, rpc.ErrNotSent) || errors.Is(err, rpc.ErrResponseLost) {
		if ctx.Err() == nil {
			ended := time.Now()
			r.processEnded.Store(&ended)
		}
		r.store.reportUnreachable(r.replica.Store, entry.Address, ctx.Err() == nil)
	}
	return err
}

// batchResult is what came of sending a batch.
type batchResult struct {
	rejected         []int     // partitions whose records were rejected
	leaseRequestedAt time.Time // when the backup was asked for a lease, where it granted one
	err              error
}

// handleResult commits what a batch has confirmed, and has a backup resynced that did not take it.
func (r *replicator) handleResult(batch []queuedRecord, result batchResult) {
	s := r.store
	s.mu.Lock()
	r.callStarted = time.Time{}
	for i := range batch {
		r.handleRecordResult(&batch[i], result)
	}
	s.mu.Unlock()
	for i := range batch {
		if batch[i].done != nil {
			batch[i].done(result.err)
		}
	}
}

// handleRecordResult handles what became of one record. The caller holds the store's lock.
func (r *replicator) handleRecordResult(sent *queuedRecord, result batchResult) {
	s := r.store
	p := s.partition(sent.partition)
	isCurrent := p.isPrimary && sent.epoch == p.epoch
	isRejected := slices.Contains(result.rejected, sent.partition)
	if result.err == nil && !isRejected {
		r.handleConfirmation(p, sent, isCurrent, result.leaseRequestedAt)
		return
	}
	if isRejected && isCurrent {
		p.fenced = true
		s.updateFence(p)
	}
	if p.isPrimary && p.view.IndexOf(r.replica.Store) > 0 {
		if sent.write != nil {
			delete(sent.write.sentTo, r.replica.DiskID)
		}
		s.backupFailed(p, r.replica)
	}
}

// handleConfirmation handles that the backup has synced a record. Confirmations from before an epoch in which the backup was
// not synced do not count. The caller holds the store's lock.
func (r *replicator) handleConfirmation(p *partition, sent *queuedRecord, isCurrent bool, leaseRequestedAt time.Time) {
	isOutdated := sent.epoch < p.unsyncedSince[r.replica.DiskID]
	if sent.write != nil && !isOutdated {
		sent.write.syncedOn[r.replica.DiskID] = true
		r.store.commitIfSynced(p, sent.write)
	}
	if isCurrent && !leaseRequestedAt.IsZero() {
		r.store.fence(p.id).recordGrant(r.replica.DiskID, leaseRequestedAt)
	}
}

// flush waits until everything queued for a backup so far has been answered.
func (r *replicator) flush(ctx context.Context, p *partition) error {
	answered := make(chan error, 1)
	r.store.mu.Lock()
	line, err := (&record.Record{Kind: record.Epoch, Partition: p.id, Epoch: p.epoch}).Encode()
	if err != nil {
		r.store.mu.Unlock()
		return err
	}
	r.enqueue(queuedRecord{
		partition: p.id, epoch: p.epoch, line: line, done: func(err error) { answered <- err },
	})
	r.store.mu.Unlock()
	select {
	case err := <-answered:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
