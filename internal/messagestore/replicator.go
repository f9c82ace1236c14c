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
	"gladepick/internal/rpc"
)

// peer sends records to one backup's disk, in order, one call at a time; what gathers meanwhile goes in the next.
type replicator struct {
	store        *Store
	replica      cluster.Replica
	wake         chan struct{}
	queue        []queuedRecord
	processEnded atomic.Pointer[time.Time] // when its process was last found to have ended; it remembers no grant from before
	callStarted  time.Time                 // when the call that is out began; zero while none is
}

// outgoing is a record on its way to a backup.
type queuedRecord struct {
	partition int
	epoch     uint64
	line      []byte
	body      []byte
	write     *pendingWrite   // waits for it; nil for records that nobody waits for
	done      func(err error) // called without the lock; nil for most
}

func (o *queuedRecord) size() int { return len(o.line) + len(o.body) }

// peer returns the sender to a backup's disk. The caller holds the lock.
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
	out := queuedRecord{partition: p.id, epoch: p.epoch, line: line, write: write}
	if write != nil {
		out.body = write.body
	}
	s.replicator(replica).enqueue(out)
}

// enqueue adds a record. The caller holds the store's lock.
func (d *replicator) enqueue(out queuedRecord) {
	d.queue = append(d.queue, out)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run sends what is queued until the store closes.
func (d *replicator) run() {
	for {
		select {
		case <-d.store.context.Done():
			return
		case <-d.wake:
		}
		for batch := d.nextBatch(); len(batch) > 0; batch = d.nextBatch() {
			d.send(batch)
		}
	}
}

// take removes the next batch from the queue.
func (d *replicator) nextBatch() []queuedRecord {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	size, count := 0, 0
	for count < len(d.queue) && (count == 0 || size+d.queue[count].size() <= batchBytes) {
		size += d.queue[count].size()
		count++
	}
	batch := slices.Clone(d.queue[:count])
	d.queue = slices.Delete(d.queue, 0, count)
	if len(d.queue) == 0 {
		d.queue = nil
	}
	return batch
}

// send makes one call of a batch and takes its answer in.
func (d *replicator) send(batch []queuedRecord) {
	request := protocol.ReplicateRequest{
		From: d.store.options.Name, TargetDiskID: d.replica.DiskID,
		WantsLease:    d.store.options.Control.LeaseRemaining() < backupLeaseMargin,
		LeaseGrantsMS: d.store.leaseGrantsRemaining().Milliseconds(),
	}
	var body []byte
	for i := range batch {
		body = append(append(body, batch[i].line...), batch[i].body...)
		item := protocol.RecordHeader{Partition: batch[i].partition, Epoch: batch[i].epoch, Length: batch[i].size()}
		request.Records = append(request.Records, item)
	}
	started := time.Now()
	d.recordCallStart(started)
	var response protocol.ReplicateResponse
	err := d.call(protocol.MethodReplicate, replicateTimeout, request, body, &response)
	if err != nil {
		d.store.logger.Debug("replicating", zap.String("backup", d.replica.Store), zap.Error(err))
	}
	outcome := batchResult{rejected: response.Rejected, err: err}
	if request.WantsLease && err == nil {
		outcome.leaseRequestedAt = started
	}
	d.handleResult(batch, outcome)
}

// noteCall notes when a call began.
func (d *replicator) recordCallStart(started time.Time) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.callStarted = started
}

// silent tells whether the backup has owed an answer for so long that nothing new should wait for it. The caller holds
// the lock.
func (d *replicator) isUnresponsive() bool {
	return !d.callStarted.IsZero() && time.Since(d.callStarted) > unresponsiveAfter
}

// call calls the backup at the address that the table gives for it now.
func (d *replicator) call(method string, limit time.Duration, request any, body []byte, response any) error {
	d.store.mu.Lock()
	entry := d.store.table.Store(d.replica.Store)
	d.store.mu.Unlock()
	if entry == nil || entry.DiskID != d.replica.DiskID {
		return rpc.ErrNotSent
	}
	ctx, cancel := context.WithTimeout(d.store.context, limit)
	defer cancel()
	_, err := d.store.options.Pool.Get(entry.Address).Call(ctx, method, request, body, response)
	if errors.Is(err, rpc.ErrNotSent) || errors.Is(err, rpc.ErrResponseLost) {
		if ctx.Err() == nil {
			ended := time.Now()
			d.processEnded.Store(&ended)
		}
		d.store.reportUnreachable(d.replica.Store, entry.Address, ctx.Err() == nil)
	}
	return err
}

// sendOutcome is what came of sending a batch.
type batchResult struct {
	rejected         []int     // partitions whose records were refused
	leaseRequestedAt time.Time // when the backup was asked for a lease, where it granted one
	err              error
}

// finish takes the answer to a batch in.
func (d *replicator) handleResult(batch []queuedRecord, outcome batchResult) {
	s := d.store
	s.mu.Lock()
	d.callStarted = time.Time{}
	for i := range batch {
		d.handleRecordResult(&batch[i], outcome)
	}
	s.mu.Unlock()
	for i := range batch {
		if batch[i].done != nil {
			batch[i].done(outcome.err)
		}
	}
}

// finishRecord takes in what became of one record. The caller holds the store's lock.
func (d *replicator) handleRecordResult(out *queuedRecord, outcome batchResult) {
	s := d.store
	p := s.partition(out.partition)
	current := p.isPrimary && out.epoch == p.epoch
	isRefused := slices.Contains(outcome.rejected, out.partition)
	outdated := out.epoch < p.unsyncedSince[d.replica.DiskID]
	if outcome.err == nil && !isRefused {
		if out.write != nil && !outdated {
			out.write.syncedOn[d.replica.DiskID] = true
			s.commitIfSynced(p, out.write)
		}
		if current && !outcome.leaseRequestedAt.IsZero() {
			s.fence(p.id).recordGrant(d.replica.DiskID, outcome.leaseRequestedAt)
		}
		return
	}
	if isRefused && current {
		p.fenced = true
		s.updateFence(p)
	}
	if p.isPrimary && p.view.IndexOf(d.replica.Store) > 0 {
		if out.write != nil {
			delete(out.write.sentTo, d.replica.DiskID)
		}
		s.backupFailed(p, d.replica)
	}
}

// flush waits until everything queued for a backup so far has been answered.
func (d *replicator) flush(ctx context.Context, p *partition) error {
	answered := make(chan error, 1)
	d.store.mu.Lock()
	line, err := (&record{Kind: recordEpoch, Partition: p.id, Epoch: p.epoch}).encode()
	if err != nil {
		d.store.mu.Unlock()
		return err
	}
	d.enqueue(queuedRecord{
		partition: p.id, epoch: p.epoch, line: line, done: func(err error) { answered <- err },
	})
	d.store.mu.Unlock()
	select {
	case err := <-answered:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
