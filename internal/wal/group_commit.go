package wal

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/vfs"
)

// commitBatch is a set of Sync calls that share one sync of the disk.
type commitBatch struct {
	target uint64        // number of records that are durable once the batch has succeeded; set when it starts
	done   chan struct{} // closed when the batch has ended
	err    error         // valid after done is closed
}

// groupCommit is the state of group commit. Log.mutex guards it.
type groupCommit struct {
	running *commitBatch  // the batch that is being synced, or nil
	next    *commitBatch  // the batch that new callers of Sync join, or nil
	started time.Time     // when the running batch began
	idle    chan struct{} // closed when flushBatches returns; nil while it is not running
	retry   *time.Timer   // starts the next attempt on a full disk; nil if none is scheduled
}

// runningDuration returns how long the running batch has taken so far, or 0 if none is running.
func (g *groupCommit) runningDuration() time.Duration {
	if g.running == nil {
		return 0
	}
	return time.Since(g.started)
}

// activeSegment is the segment file that flushBatches writes to.
type activeSegment struct {
	segment *segment
	file    vfs.File
	dirty   bool // written since its last sync
	created bool // its directory entry may not be durable yet
}

// Sync returns nil once every record appended before the call is durable. Concurrent callers share one sync of the
// disk; callers that arrive while a sync runs form the next batch.
//
// After an error, whether the caller's records are durable is unknown. If the context ends first, they may become
// durable later. If the disk is full (see IsDiskFull), the file is truncated after its last durable record and the
// records stay in memory. The next Sync retries them, and the log itself retries about every second. After any other
// disk error the log has failed permanently.
func (l *Log) Sync(ctx context.Context) error {
	l.mutex.Lock()
	err := l.checkUsable()
	l.mutex.Unlock()
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(l.syncAll(ctx))
}

// syncAll is Sync without the check for a closed log, so that Close can call it.
func (l *Log) syncAll(ctx context.Context) error {
	batch, err := l.joinBatch()
	if batch == nil || err != nil {
		return err
	}
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// joinBatch returns the batch that will sync all records appended so far, or nil if all of them are durable.
func (l *Log) joinBatch() (*commitBatch, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure != nil {
		return nil, l.failure
	}
	if l.durable == l.appended {
		return nil, nil
	}
	if running := l.group.running; running != nil && running.target == l.appended {
		return running, nil
	}
	return l.nextBatch(), nil
}

// nextBatch returns the batch that has not started yet, and starts flushBatches unless it is running. The caller holds
// the mutex.
func (l *Log) nextBatch() *commitBatch {
	if l.group.next == nil {
		l.group.next = &commitBatch{done: make(chan struct{})}
	}
	if l.group.idle == nil {
		l.group.idle = make(chan struct{})
		go l.flushBatches()
	}
	return l.group.next
}

// flushBatches syncs one batch after another until there is no next batch. At most one goroutine runs it.
func (l *Log) flushBatches() {
	for {
		batch, extents := l.beginBatch()
		if batch == nil {
			return
		}
		durable, err := l.writeExtents(extents)
		if IsDiskFull(err) {
			err = errors.Join(err, l.truncateFailedWrite(extents[durable:]))
		}
		l.finishBatch(batch, durable, err)
	}
}

// beginBatch starts the next batch and returns it with the pending extents, which become the extents in flight. It
// returns a nil batch if there is none.
func (l *Log) beginBatch() (*commitBatch, []*extent) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	batch := l.group.next
	if batch == nil {
		close(l.group.idle)
		l.group.idle = nil
		return nil, nil
	}
	batch.target = l.appended
	l.group.next = nil
	l.group.running = batch
	l.group.started = time.Now()
	l.inFlight, l.pending = l.pending, nil
	return batch, l.inFlight
}

// writeExtents writes extents in order and makes them durable. It returns how many of them, counted from the first, are
// durable.
func (l *Log) writeExtents(extents []*extent) (durable int, err error) {
	for i, each := range extents {
		if each.offset == 0 {
			if err := l.syncActive(); err != nil {
				return durable, err
			}
			durable = i
			if err := l.startSegment(each.segment); err != nil {
				return durable, err
			}
		}
		l.active.dirty = true
		if _, err := l.active.file.WriteAt(each.data, each.offset); err != nil {
			return durable, err
		}
	}
	if err := l.syncActive(); err != nil {
		return durable, err
	}
	return len(extents), nil
}

// syncActive makes the active segment and its directory entry durable.
func (l *Log) syncActive() error {
	if !l.active.dirty {
		return nil
	}
	if err := l.active.file.Sync(); err != nil {
		return err
	}
	if l.active.created {
		if err := l.fs.SyncDir(); err != nil {
			return err
		}
	}
	l.active.dirty, l.active.created = false, false
	return nil
}

// startSegment creates an empty file for a segment and makes the segment the active one.
func (l *Log) startSegment(next *segment) error {
	if l.active.segment == next {
		return l.active.file.Truncate(0) // a failed attempt left data in the file
	}
	file, err := l.fs.Create(segmentName(next.number))
	if err != nil {
		return err
	}
	l.active = activeSegment{segment: next, file: file, created: true}
	l.mutex.Lock()
	next.file = file
	l.mutex.Unlock()
	return nil
}

// truncateFailedWrite removes the bytes of extents that a failed write left in the active segment.
func (l *Log) truncateFailedWrite(extents []*extent) error {
	if len(extents) == 0 || l.active.segment != extents[0].segment {
		return nil
	}
	return l.active.file.Truncate(extents[0].offset)
}

// finishBatch records the result of a batch and wakes the callers that wait for it. It releases the first durableCount
// extents in flight; after an error the others become pending again.
func (l *Log) finishBatch(batch *commitBatch, durableCount int, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.releaseExtents(l.inFlight[:durableCount])
	unwritten := l.inFlight[durableCount:]
	l.inFlight = nil
	l.group.running = nil
	l.group.stopRetry()
	if err == nil {
		l.durable = batch.target
		l.diskFull = false
	} else {
		l.pending = append(unwritten, l.pending...)
		l.handleSyncError(err)
	}
	batch.err = err
	close(batch.done)
}

// releaseExtents subtracts durable extents from the backlog, and keeps one small buffer for the next extent. The caller
// holds the mutex.
func (l *Log) releaseExtents(extents []*extent) {
	for _, each := range extents {
		l.backlog -= int64(len(each.data))
		if l.spareBuffer == nil && cap(each.data) <= maxSpareBufferBytes {
			l.spareBuffer = each.data[:0]
		}
	}
}

// handleSyncError schedules a retry if the disk is full. After any other error it marks the log as failed. The caller
// holds the mutex.
func (l *Log) handleSyncError(err error) {
	if !IsDiskFull(err) {
		l.failure = err
		l.logger.Error("write-ahead log failed permanently", zap.Error(err))
		l.failNextBatch(err)
		return
	}
	if !l.diskFull {
		l.logger.Warn("disk is full", zap.Int64("backlog", l.backlog))
	}
	l.diskFull = true
	if !l.closed {
		l.group.retry = time.AfterFunc(diskFullRetryInterval, l.retryOnFullDisk)
	}
}

// failNextBatch ends the batch that has not started yet with an error, because a failed log starts no batch. The caller
// holds the mutex.
func (l *Log) failNextBatch(err error) {
	if batch := l.group.next; batch != nil {
		l.group.next = nil
		batch.err = err
		close(batch.done)
	}
}

// retryOnFullDisk starts another attempt to write to a full disk. The retry timer calls it.
func (l *Log) retryOnFullDisk() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.diskFull && l.checkUsable() == nil {
		l.nextBatch()
	}
}

// stopRetry stops the retry timer. The caller holds the mutex.
func (g *groupCommit) stopRetry() {
	if g.retry != nil {
		g.retry.Stop()
		g.retry = nil
	}
}

// awaitIdle stops the retry timer and waits until flushBatches has returned.
func (l *Log) awaitIdle() {
	l.mutex.Lock()
	l.group.stopRetry()
	idle := l.group.idle
	l.mutex.Unlock()
	if idle != nil {
		<-idle
	}
}
