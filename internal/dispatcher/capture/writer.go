package capture

import (
	"errors"
	"log"
	"time"
)

// errRetryLater tells that no files are open, as creating them has failed a short while ago.
var errRetryLater = errors.New("waiting for the disk")

// writer collects rows into groups and writes them. Run's goroutine owns it.
type writer struct {
	recorder *Recorder
	files    *filePair // nil while none are open
	requests []Request
	attempts []Attempt
	oldest   time.Time // when the oldest row of the group came
	retryAt  time.Time // no files are created before, as the last time it failed
}

// Run writes rows until Close. It begins with what a process of this name left open when it ended.
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

// grouped returns how many rows wait to be written.
func (w *writer) grouped() int { return len(w.requests) + len(w.attempts) }

// groupDue tells whether the oldest row has waited long enough.
func (w *writer) groupDue() bool {
	return w.grouped() > 0 && time.Since(w.oldest) >= seconds(w.recorder.settings.GroupS)
}

// rotationDue tells whether the open files are old enough to be closed.
func (w *writer) rotationDue() bool {
	return w.files != nil && time.Since(w.files.began) >= seconds(w.recorder.settings.RotateS)
}

// drain takes over the rows that are still in the channels.
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

// flush writes the group, and counts its rows as dropped where that fails. With last the files are closed as well.
func (w *writer) flush(last bool) {
	if err := w.write(last); err != nil {
		w.giveUp(err)
	}
	w.requests, w.attempts = w.requests[:0], w.attempts[:0]
}

// giveUp discards the open files with all rows in them.
func (w *writer) giveUp(err error) {
	rows := w.grouped()
	if w.files != nil {
		rows = w.files.rows // the group is counted there already
		w.files.discard()
		w.files = nil
	}
	w.recorder.countDropped(rows)
	if err != errRetryLater {
		log.Printf("capture: %d rows lost: %v", rows, err)
		w.retryAt = time.Now().Add(w.recorder.node.Limits.CaptureRetryDelay)
	}
}

// write adds the group to the open files, and closes these where they are old or large enough, or with last.
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

// closeFiles seals the open files and removes old ones.
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
