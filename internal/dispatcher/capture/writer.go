package capture

import (
	"errors"
	"log"
	"time"
)

// errRetryLater is the error of a write during the delay after a failed write: no files are open, and none are created.
var errRetryLater = errors.New("waiting to retry after a write error")

// writer collects rows into groups and writes them. Only Run's goroutine uses it.
type writer struct {
	recorder *Recorder
	files    *filePair // nil if no files are open
	requests []Request
	attempts []Attempt
	oldest   time.Time // arrival of the oldest row in the group
	retryAt  time.Time // after a failure, no files are created before this time
}

// Run removes the files that an earlier process did not close, and then writes rows until Close.
func (r *Recorder) Run() {
	defer close(r.done)
	r.removeOrphans()
	w := &writer{recorder: r}
	tick := time.NewTicker(time.Duration(min(r.settings.GroupS, 1) * float64(time.Second) / 4))
	defer tick.Stop()
	for {
		select {
		case row := <-r.requestRows:
			w.requests = append(w.requests, row)
		case row := <-r.attemptRows:
			w.attempts = append(w.attempts, row)
		case <-tick.C:
			if w.rotationDue() || w.groupDue() {
				w.flush(false)
			}
			continue
		case <-r.stop:
			w.drain()
			w.flush(true)
			return
		}
		if w.grouped() == 1 {
			w.oldest = time.Now()
		}
		if w.grouped() >= r.node.Limits.CaptureGroupRows {
			w.flush(false)
		}
	}
}

// grouped returns the number of rows in the group.
func (w *writer) grouped() int { return len(w.requests) + len(w.attempts) }

// groupDue reports whether the oldest row of the group has waited for GroupS.
func (w *writer) groupDue() bool {
	return w.grouped() > 0 && time.Since(w.oldest) >= seconds(w.recorder.settings.GroupS)
}

// rotationDue reports whether the open files have been open for RotateS.
func (w *writer) rotationDue() bool {
	return w.files != nil && time.Since(w.files.createdAt) >= seconds(w.recorder.settings.RotateS)
}

// drain moves the rows that are still in the channels to the group.
func (w *writer) drain() {
	for {
		select {
		case row := <-w.recorder.requestRows:
			w.requests = append(w.requests, row)
		case row := <-w.recorder.attemptRows:
			w.attempts = append(w.attempts, row)
		default:
			return
		}
	}
}

// flush writes the group. If that fails, it discards the open files and counts their rows as dropped. If last is set,
// it also closes the files.
func (w *writer) flush(last bool) {
	if err := w.write(last); err != nil {
		w.dropFiles(err)
	}
	w.requests, w.attempts = w.requests[:0], w.attempts[:0]
}

// dropFiles discards the open files, and counts their rows and those of the group as dropped.
func (w *writer) dropFiles(err error) {
	rows := w.grouped()
	if w.files != nil {
		rows = w.files.rows // includes the group
		w.files.discard()
		w.files = nil
	}
	w.recorder.countDropped(rows)
	if err != errRetryLater {
		log.Printf("capture: dropped %d rows: %v", rows, err)
		w.retryAt = time.Now().Add(w.recorder.node.Limits.CaptureRetryDelay)
	}
}

// write appends the group to the open files, which it creates if necessary. It closes the files if RotateS or RotateMB
// is reached or last is set.
func (w *writer) write(last bool) error {
	if w.files == nil {
		if w.grouped() == 0 {
			return nil
		}
		if time.Now().Before(w.retryAt) && !last {
			return errRetryLater
		}
		files, err := w.recorder.createPair()
		if err != nil {
			return err
		}
		w.files = files
	}
	if err := w.files.write(w.requests, w.attempts); err != nil {
		return err
	}
	if !last && !w.rotationDue() && w.files.bytes() < int64(w.recorder.settings.RotateMB*(1<<20)) {
		return nil
	}
	return w.closeFiles()
}

// closeFiles closes and seals the open files, and removes the oldest captures.
func (w *writer) closeFiles() error {
	dropped := w.recorder.droppedRows.Swap(0)
	if err := w.files.close(w.recorder.node.Name, dropped); err != nil {
		w.recorder.droppedRows.Add(dropped)
		return err
	}
	w.recorder.counters.Captured.Add(int64(w.files.rows))
	w.files = nil
	w.recorder.removeOldest()
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
