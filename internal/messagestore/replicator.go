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

// replicator sends records to one backup's disk, in order and one call at a time. Records that are queued during a call
// go into the next one. Store.mu guards its fields. A replicator runs until the store closes, even when its disk is no
// longer that of a backup.
type replicator struct {
	store   *Store
	replica cluster.Replica
	wake    chan struct{}
	queue   []queuedRecord
	// processEnded is when the backup's process was last found to have ended. The lease grants of that process are lost
	// with it.
	processEnded atomic.Pointer[time.Time]
	callStarted  time.Time // when the call in flight began; zero if there is none
}

// queuedRecord is a record that is queued for a backup.
type queuedRecord struct {
	partition int
	epoch     uint64
	line      []byte
	body      []byte
	write     *pendingWrite   // the write that waits for the record; nil if there is none
	done      func(err error) // called with the result of the call, without Store.mu; may be nil
}

// size returns the record's size in bytes.
func (q *queuedRecord) size() int { return len(q.line) + len(q.body) }

// replicator returns the replicator for a backup's disk and starts it if there is none. The caller must hold s.mu.
func (s *Store) replicator(replica cluster.Replica) *replicator {
	r := s.replicators[replica.DiskID]
	if r == nil {
		r = &replicator{store: s, replica: replica, wake: make(chan struct{}, 1)}
		s.replicators[replica.DiskID] = r
		s.background.Go(r.run)
	}
	return r
}

// sendTo queues a record for a backup. write is the write that waits for the record, or nil. The caller must hold s.mu.
func (s *Store) sendTo(p *partition, replica cluster.Replica, line []byte, write *pendingWrite) {
	queued := queuedRecord{partition: p.id, epoch: p.epoch, line: line, write: write}
	if write != nil {
		queued.body = write.body
	}
	s.replicator(replica).enqueue(queued)
}

// enqueue adds a record to the queue and wakes run. The caller must hold r.store.mu.
func (r *replicator) enqueue(queued queuedRecord) {
	r.queue = append(r.queue, queued)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run sends the queued records until the store closes.
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

// nextBatch removes the records for the next call from the queue and returns them: at least one, and further ones up to
// batchBytes in total. It returns none if the queue is empty. All records of a partition in a batch have one epoch, because
// the backup's response names rejected partitions, not records.
func (r *replicator) nextBatch() []queuedRecord {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	size, count := 0, 0
	epochs := make(map[int]uint64)
	for count < len(r.queue) && (count == 0 || size+r.queue[count].size() <= batchBytes) {
		next := &r.queue[count]
		if epoch, found := epochs[next.partition]; found && epoch != next.epoch {
			break
		}
		epochs[next.partition] = next.epoch
		size += next.size()
		count++
	}
	batch := slices.Clone(r.queue[:count])
	r.queue = slices.Delete(r.queue, 0, count)
	if len(r.queue) == 0 {
		r.queue = nil
	}
	return batch
}

// send sends a batch in one call and handles its result.
func (r *replicator) send(batch []queuedRecord) {
	request, body := r.replicateRequest(batch)
	started := time.Now()
	r.recordCallStart(started)
	var response protocol.ReplicateResponse
	err := r.call(protocol.MethodReplicate, replicateTimeout, request, body, &response)
	if err != nil {
		r.store.logger.Debug("replicating records to a backup failed", zap.String("backup", r.replica.Store), zap.Error(err))
	}
	result := batchResult{rejected: response.Rejected, err: err}
	if request.WantsLease && err == nil {
		result.leaseRequestedAt = started
	}
	r.handleResult(batch, result)
}

// replicateRequest returns the parameters and the body of the call for a batch.
func (r *replicator) replicateRequest(batch []queuedRecord) (protocol.ReplicateRequest, []byte) {
	r.store.mu.Lock()
	grantsRemaining := r.store.leaseGrantsRemaining("")
	r.store.mu.Unlock()
	request := protocol.ReplicateRequest{
		From: r.store.options.Name, TargetDiskID: r.replica.DiskID,
		WantsLease:    r.store.options.Control.LeaseRemaining() < backupLeaseMargin,
		LeaseGrantsMS: grantsRemaining.Milliseconds(),
	}
	var body []byte
	for i := range batch {
		body = append(append(body, batch[i].line...), batch[i].body...)
		header := protocol.RecordHeader{Partition: batch[i].partition, Epoch: batch[i].epoch, Length: batch[i].size()}
		request.Records = append(request.Records, header)
	}
	return request, body
}

// recordCallStart records when the call in flight began.
func (r *replicator) recordCallStart(started time.Time) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.callStarted = started
}

// isUnresponsive reports whether the call in flight is unanswered for more than unresponsiveAfter, so that new messages
// should go to other partitions. The caller must hold r.store.mu.
func (r *replicator) isUnresponsive() bool {
	return !r.callStarted.IsZero() && time.Since(r.callStarted) > unresponsiveAfter
}

// call calls the backup at its address in the newest table, and reports the store to the control plane if it can't be
// reached. It returns rpc.ErrNotSent if the table lists another disk for the store.
func (r *replicator) call(method string, limit time.Duration, request any, body []byte, response any) error {
	_, err := r.callForBody(method, limit, request, body, response)
	return err
}

// callForBody is call with the body of the response.
func (r *replicator) callForBody(
	method string, limit time.Duration, request any, body []byte, response any,
) ([]byte, error) {
	r.store.mu.Lock()
	entry := r.store.table.Store(r.replica.Store)
	r.store.mu.Unlock()
	if entry == nil || entry.DiskID != r.replica.DiskID {
		return nil, rpc.ErrNotSent
	}
	ctx, cancel := context.WithTimeout(r.store.context, limit)
	defer cancel()
	responseBody, err := r.store.options.Pool.Get(entry.Address).Call(ctx, method, request, body, response)
	if errors.Is(err, rpc.ErrNotSent) || errors.Is(err, rpc.ErrResponseLost) {
		if ctx.Err() == nil {
			ended := time.Now()
			r.processEnded.Store(&ended)
		}
		r.store.reportUnreachable(r.replica.Store, entry.Address, ctx.Err() == nil)
	}
	return responseBody, err
}

// flush waits until the backup has answered all records that are queued so far. It returns the error of the last call;
// errors of earlier ones show in partition.resync.
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
