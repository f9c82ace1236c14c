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
	target uint64 // count of records that are durable once the batch has succeeded
	done   chan struct{}
	err    error // valid after done is closed
}

// groupCommit is the state of the sharing of syncs. The log's mutex guards it.
type groupCommit struct {
	running   *commitBatch // the batch whose sync is out, or nil
	gathering *commitBatch // the next batch, or nil
	started   time.Time    // when the running sync began
	idle      chan struct{}
	retry     *time.Timer // set while the disk is full
}

// runningFor returns for how long the running sync has been out.
func (g *groupCommit) runningFor() time.Duration {
	if g.running == nil {
		return 0
	}
	return time.Since(g.started)
}

// activeSegment is the segment file that was written last.
type activeSegment struct {
	segment *segment
	file    vfs.File
	dirty   bool // written since its last sync
	created bool // its name may not be durable
}

// Sync returns nil once every record appended before the call is durable. Concurrent callers share one sync of the
// disk; while it runs, the next batch gathers.
//
// After an error the fate of the caller's records is unknown. Where the context ends early, they may become durable
// later. Where the disk is full (see IsDiskFull), the file is cut back to its last durable record, the records stay in
// memory and are tried again with the next Sync, and about every second by the log itself. Any other error of the disk
// makes the log failed for good.
func (l *Log) Sync(ctx context.Context) error {
	l.mutex.Lock()
	err := l.checkUsable()
	l.mutex.Unlock()
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(l.syncAll(ctx))
}

// syncAll is Sync without the check whether the log is closed.
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

// joinBatch returns the batch that makes durable all that has been appended so far, or nil where all of it is.
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
	return l.gather(), nil
}

// gather returns the gathering batch, and starts a flush where none is running.
func (l *Log) gather() *commitBatch {
	if l.group.gathering == nil {
		l.group.gathering = &commitBatch{done: make(chan struct{})}
	}
	if l.group.idle == nil {
		l.group.idle = make(chan struct{})
		go l.flushBatches()
	}
	return l.group.gathering
}

// flushBatches flushes one batch after the other until nobody waits. At most one goroutine runs it.
func (l *Log) flushBatches() {
	for {
		batch, runs := l.beginBatch()
		if batch == nil {
			return
		}
		written, err := l.writeRuns(runs)
		if IsDiskFull(err) {
			err = errors.Join(err, l.cutBack(runs[written:]))
		}
		l.endBatch(batch, written, err)
	}
}

// beginBatch takes the gathering batch and all that is pending.
func (l *Log) beginBatch() (*commitBatch, []*extent) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	batch := l.group.gathering
	if batch == nil {
		close(l.group.idle)
		l.group.idle = nil
		return nil, nil
	}
	batch.target = l.appended
	l.group.gathering = nil
	l.group.running = batch
	l.group.started = time.Now()
	l.inFlight, l.pending = l.pending, nil
	return batch, l.inFlight
}

// writeRuns writes runs and makes them durable. It returns how many of them, from the first, are.
func (l *Log) writeRuns(runs []*extent) (durable int, err error) {
	for i, each := range runs {
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
	return len(runs), nil
}

// syncActive makes the active segment durable, with its name.
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

// startSegment makes an empty file for a segment and makes it the active one.
func (l *Log) startSegment(next *segment) error {
	if l.active.segment == next {
		return l.active.file.Truncate(0) // left by an attempt that failed
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

// cutBack removes from the active segment what a failed attempt to write these runs has left there.
func (l *Log) cutBack(runs []*extent) error {
	if len(runs) == 0 || l.active.segment != runs[0].segment {
		return nil
	}
	return l.active.file.Truncate(runs[0].offset)
}

// endBatch records the outcome of a batch and wakes those who wait for it.
func (l *Log) endBatch(batch *commitBatch, written int, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.release(l.inFlight[:written])
	unwritten := l.inFlight[written:]
	l.inFlight = nil
	l.group.running = nil
	l.group.stopRetry()
	if err == nil {
		l.durable = batch.target
		l.full = false
	} else {
		l.pending = append(unwritten, l.pending...)
		l.handleSyncError(err)
	}
	batch.err = err
	close(batch.done)
}

// release accounts for runs that are durable now, and keeps a small buffer for the next run.
func (l *Log) release(runs []*extent) {
	for _, each := range runs {
		l.backlog -= int64(len(each.data))
		if l.spare == nil && cap(each.data) <= maxSpareBytes {
			l.spare = each.data[:0]
		}
	}
}

// handleSyncError handles a failed sync: it schedules a retry if the disk is full, and fails the log for good at any other error.
func (l *Log) handleSyncError(err error) {
	if !IsDiskFull(err) {
		l.failure = err
		l.logger.Error("log failed", zap.Error(err))
		l.failGathering(err)
		return
	}
	if !l.full {
		l.logger.Warn("disk full", zap.Int64("backlog", l.backlog))
	}
	l.full = true
	if !l.closed {
		l.group.retry = time.AfterFunc(fullRetryInterval, l.retryFull)
	}
}

// failGathering ends the batch that gathers: the log takes nothing any more. The caller holds the mutex.
func (l *Log) failGathering(err error) {
	if batch := l.group.gathering; batch != nil {
		l.group.gathering = nil
		batch.err = err
		close(batch.done)
	}
}

// retryFull tries again to write to a disk that was full.
func (l *Log) retryFull() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.full && l.checkUsable() == nil {
		l.gather()
	}
}

// stopRetry stops the timer that retries on a full disk.
func (g *groupCommit) stopRetry() {
	if g.retry != nil {
		g.retry.Stop()
		g.retry = nil
	}
}

// awaitIdle waits until no flush is running.
func (l *Log) awaitIdle() {
	l.mutex.Lock()
	l.group.stopRetry()
	idle := l.group.idle
	l.mutex.Unlock()
	if idle != nil {
		<-idle
	}
}
