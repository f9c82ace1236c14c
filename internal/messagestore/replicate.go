package messagestore

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/rpc"
)

// peer sends records to one backup's disk, in order, one call at a time; what gathers meanwhile goes in the next.
type peer struct {
	store   *Store
	replica cluster.Replica
	wake    chan struct{}
	queue   []outgoing
	ended   atomic.Pointer[time.Time] // when its process was last found to have ended; it remembers no grant from before
	calling time.Time                 // when the call that is out began; zero while none is
}

// outgoing is a record on its way to a backup.
type outgoing struct {
	partition int
	epoch     uint64
	line      []byte
	body      []byte
	write     *pendingWrite   // waits for it; nil for records that nobody waits for
	done      func(err error) // called without the lock; nil for most
}

func (o *outgoing) size() int { return len(o.line) + len(o.body) }

// peer returns the sender to a backup's disk. The caller holds the lock.
func (s *Store) peer(replica cluster.Replica) *peer {
	found := s.peers[replica.DiskID]
	if found == nil {
		found = &peer{store: s, replica: replica, wake: make(chan struct{}, 1)}
		s.peers[replica.DiskID] = found
		s.background.Go(found.run)
	}
	return found
}

// sendTo queues a record for a backup. The caller holds the lock.
func (s *Store) sendTo(p *partition, replica cluster.Replica, line []byte, write *pendingWrite) {
	out := outgoing{partition: p.id, epoch: p.epoch, line: line, write: write}
	if write != nil {
		out.body = write.body
	}
	s.peer(replica).enqueue(out)
}

// enqueue adds a record. The caller holds the store's lock.
func (d *peer) enqueue(out outgoing) {
	d.queue = append(d.queue, out)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run sends what is queued until the store closes.
func (d *peer) run() {
	for {
		select {
		case <-d.store.context.Done():
			return
		case <-d.wake:
		}
		for batch := d.take(); len(batch) > 0; batch = d.take() {
			d.send(batch)
		}
	}
}

// take removes the next batch from the queue.
func (d *peer) take() []outgoing {
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
func (d *peer) send(batch []outgoing) {
	request := replicateRequest{
		From: d.store.options.Name, Target: d.replica.DiskID,
		WantsGrant: d.store.options.Control.LeaseRemaining() < askGrantsBefore,
		GrantsMS:   d.store.grantsRemaining().Milliseconds(),
	}
	var body []byte
	for i := range batch {
		body = append(append(body, batch[i].line...), batch[i].body...)
		item := replicateItem{Partition: batch[i].partition, Epoch: batch[i].epoch, Length: batch[i].size()}
		request.Records = append(request.Records, item)
	}
	started := time.Now()
	d.noteCall(started)
	var response replicateResponse
	err := d.call(methodReplicate, replicateTimeout, request, body, &response)
	if err != nil {
		d.store.logger.Debug("replicating", zap.String("backup", d.replica.Store), zap.Error(err))
	}
	outcome := sendOutcome{refused: response.Refused, err: err}
	if request.WantsGrant && err == nil {
		outcome.granted = started
	}
	d.finish(batch, outcome)
}

// noteCall notes when a call began.
func (d *peer) noteCall(started time.Time) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.calling = started
}

// silent tells whether the backup has owed an answer for so long that nothing new should wait for it. The caller holds
// the lock.
func (d *peer) silent() bool { return !d.calling.IsZero() && time.Since(d.calling) > backupSilence }

// call calls the backup at the address that the table gives for it now.
func (d *peer) call(method string, limit time.Duration, request any, body []byte, response any) error {
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
			d.ended.Store(&ended)
		}
		d.store.report(d.replica.Store, entry.Address, ctx.Err() == nil)
	}
	return err
}

// report tells the control plane of a store that can't be reached.
func (s *Store) report(store, address string, refused bool) {
	if !s.mayReport(store, time.Now()) {
		return
	}
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.context, askTimeout)
		defer cancel()
		report := cluster.FailureReport{Node: store, Address: address, Refused: refused}
		if err := s.options.Control.ReportFailure(ctx, report); err != nil {
			s.logger.Debug("reporting a store", zap.String("store", store), zap.Error(err))
		}
	})
}

// mayReport tells whether a report of a store is due: one tells as much as many at once.
func (s *Store) mayReport(store string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.reported[store]) < reportInterval {
		return false
	}
	s.reported[store] = now
	return true
}

// sendOutcome is what came of sending a batch.
type sendOutcome struct {
	refused []int     // partitions whose records were refused
	granted time.Time // when the backup was asked for a lease, where it granted one
	err     error
}

// finish takes the answer to a batch in.
func (d *peer) finish(batch []outgoing, outcome sendOutcome) {
	s := d.store
	s.mu.Lock()
	d.calling = time.Time{}
	for i := range batch {
		d.finishRecord(&batch[i], outcome)
	}
	s.mu.Unlock()
	for i := range batch {
		if batch[i].done != nil {
			batch[i].done(outcome.err)
		}
	}
}

// finishRecord takes in what became of one record. The caller holds the store's lock.
func (d *peer) finishRecord(out *outgoing, outcome sendOutcome) {
	s := d.store
	p := s.partition(out.partition)
	current := p.leading && out.epoch == p.epoch
	isRefused := slices.Contains(outcome.refused, out.partition)
	outdated := out.epoch < p.joined[d.replica.DiskID]
	if outcome.err == nil && !isRefused {
		if out.write != nil && !outdated {
			out.write.synced[d.replica.DiskID] = true
			s.commitIfSynced(p, out.write)
		}
		if current && !outcome.granted.IsZero() {
			s.gate(p.id).noteGrant(d.replica.DiskID, outcome.granted)
		}
		return
	}
	if isRefused && current {
		p.fenced = true
		s.setGate(p)
	}
	if p.leading && p.view.Find(d.replica.Store) > 0 {
		if out.write != nil {
			delete(out.write.sent, d.replica.DiskID)
		}
		s.backupFailed(p, d.replica)
	}
}

// flush waits until everything queued for a backup so far has been answered.
func (d *peer) flush(ctx context.Context, p *partition) error {
	answered := make(chan error, 1)
	d.store.mu.Lock()
	line, err := (&record{Kind: recordEpoch, Partition: p.id, Epoch: p.epoch}).encode()
	if err != nil {
		d.store.mu.Unlock()
		return err
	}
	d.enqueue(outgoing{
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

// handleReplicate takes records from a primary: it refuses those of older epochs, logs and syncs the others, and
// only then answers.
func (s *Store) handleReplicate(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var request replicateRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	response, err := s.takeRecords(&request, call.Body)
	if err != nil {
		return nil, nil, err
	}
	if err := s.log.Sync(ctx); err != nil {
		return nil, nil, &rpc.Error{Code: rpc.CodeUnavailable, Message: err.Error()}
	}
	return response, nil, nil
}

// takeRecords logs and applies the records of a call, without waiting for the disk.
func (s *Store) takeRecords(request *replicateRequest, body []byte) (*replicateResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkTarget(request.Target); err != nil {
		return nil, err
	}
	s.noteGrants(request, time.Now())
	response := &replicateResponse{}
	for _, item := range request.Records {
		if item.Length < 0 || item.Length > len(body) {
			return nil, &rpc.Error{Code: rpc.CodeInvalid, Message: "records do not fit the body"}
		}
		data := body[:item.Length]
		body = body[item.Length:]
		if !s.mayFollow(item.Partition, item.Epoch) {
			response.Refused = append(response.Refused, item.Partition)
			continue
		}
		if err := s.takeRecord(item, data); err != nil {
			return nil, err
		}
	}
	return response, nil
}

// noteGrants remembers until when a primary may count on a lease from this store, or others on one that the primary itself waits for. The caller holds the lock.
func (s *Store) noteGrants(request *replicateRequest, now time.Time) {
	until := now.Add(time.Duration(request.GrantsMS) * time.Millisecond)
	if request.WantsGrant {
		until = now.Add(backupLease)
	}
	if until.After(s.grants[request.From]) {
		s.grants[request.From] = until
	}
}

// grantsRemaining returns for how long any store may still count on a grant that this one knows of.
func (s *Store) grantsRemaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := time.Duration(0)
	for _, until := range s.grants {
		longest = max(longest, time.Until(until))
	}
	return longest
}

// checkTarget refuses a call that is meant for another disk at this address.
func (s *Store) checkTarget(diskID string) error {
	if diskID == s.options.DiskID {
		return nil
	}
	return &rpc.Error{Code: rpc.CodeConflict, Message: "another disk is here: " + s.options.DiskID}
}

// mayFollow tells whether records of an epoch may be taken from a primary, and adopts a newer one.
func (s *Store) mayFollow(id int, epoch uint64) bool {
	p := s.partition(id)
	if epoch < p.epoch || p.leading && epoch == p.epoch {
		return false
	}
	if p.leading {
		s.stepDown(p)
	}
	p.epoch = epoch
	return true
}

func (s *Store) takeRecord(item replicateItem, data []byte) error {
	decoded, _, err := decodeRecord(data)
	if err != nil || decoded.Partition != item.Partition {
		return &rpc.Error{Code: rpc.CodeInvalid, Message: "unreadable record"}
	}
	if decoded.Kind == recordForget {
		return &rpc.Error{Code: rpc.CodeInvalid, Message: "a record that replicas do not send"}
	}
	position, err := s.log.Append(data)
	if err != nil {
		return &rpc.Error{Code: rpc.CodeUnavailable, Message: err.Error()}
	}
	s.partition(item.Partition).apply(decoded, position)
	return nil
}
