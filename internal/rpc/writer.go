package rpc

import (
	"io"
	"math"
	"net"
	"runtime"
	"sync"
)

const (
	maxQueuedBytes        = 512 << 10 // queued bytes above which senders wait
	maxCopiedBodyBytes    = 16 << 10  // bodies up to this size are copied next to their line
	maxRetainedBatchBytes = 64 << 10  // a larger buffer is not retained
)

// notQueued is the position of a frame that was not queued.
const notQueued = math.MaxUint64

// frameWriter writes whole frames to a connection. Frames that are sent at about the same time leave in one write: the
// first one starts a goroutine, which lets the others that are ready to run add theirs, and ends when nothing is left.
type frameWriter struct {
	destination io.Writer
	onFailure   func(error) // called, without the mutex, when a write fails

	mutex         sync.Mutex // guards what follows
	queue         net.Buffers
	tailOwned     bool          // the queue's last buffer belongs to the writer and may grow
	spare         []byte        // buffer for the next batch
	queuedBytes   int           // in the queue
	acceptedBytes uint64        // ever queued
	handedBytes   uint64        // ever handed to the destination
	flushing      bool          // a goroutine is writing
	closed        bool          // nothing is written any more
	drained       chan struct{} // closed when the queue has been emptied; nil while nobody waits
}

// send queues a frame and returns its position in the stream, in bytes. It waits while the queue is long, until the
// channel canceled is closed; nil never is. The body must not be changed afterwards.
func (w *frameWriter) send(canceled <-chan struct{}, line, body []byte) (position uint64, err error) {
	for {
		position, wait, err := w.offer(line, body)
		if wait == nil {
			return position, err
		}
		select {
		case <-wait:
		case <-canceled:
			return notQueued, errSendCanceled
		}
	}
}

// offer queues a frame, or returns a channel to wait on while there is no room. A frame that is larger than the queue has
// room when the queue is empty.
func (w *frameWriter) offer(line, body []byte) (position uint64, wait <-chan struct{}, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return notQueued, nil, errWriterClosed
	}
	size := len(line) + len(body)
	if w.queuedBytes > 0 && w.queuedBytes+size > maxQueuedBytes {
		if w.drained == nil {
			w.drained = make(chan struct{})
		}
		return notQueued, w.drained, nil
	}
	position = w.acceptedBytes
	w.acceptedBytes += uint64(size)
	w.queuedBytes += size
	w.appendFrame(line, body)
	if !w.flushing {
		w.flushing = true
		go w.flush()
	}
	return position, nil, nil
}

// offerIfIdle queues a frame where nothing else is being written.
func (w *frameWriter) offerIfIdle(line []byte) {
	w.mutex.Lock()
	busy := w.flushing
	w.mutex.Unlock()
	if !busy {
		_, _, _ = w.offer(line, nil)
	}
}

// appendFrame puts a frame at the queue's end. A long body is queued where it is, a short one is copied.
func (w *frameWriter) appendFrame(line, body []byte) {
	w.appendCopy(line)
	if len(body) <= maxCopiedBodyBytes {
		w.appendCopy(body)
		return
	}
	w.queue = append(w.queue, body)
	w.tailOwned = false
}

// appendCopy copies bytes to the queue's last buffer, or to a new one where that is a caller's body.
func (w *frameWriter) appendCopy(data []byte) {
	if !w.tailOwned {
		w.queue = append(w.queue, w.spare[:0])
		w.spare = nil
		w.tailOwned = true
	}
	tail := len(w.queue) - 1
	w.queue[tail] = append(w.queue[tail], data...)
}

// flush writes batches until the queue is empty. It runs in a goroutine of its own, one at a time.
func (w *frameWriter) flush() {
	runtime.Gosched()
	for {
		batch, size := w.takeBatch()
		if batch == nil {
			return
		}
		first := batch[0] // always a buffer of the writer's own, as each frame begins with its line
		written, err := batch.WriteTo(w.destination)
		if err != nil {
			w.uncountUnwritten(size - int(written))
			w.onFailure(err)
			return
		}
		w.recycle(first)
	}
}

// takeBatch takes everything out of the queue, or ends the flushing where there is nothing to write.
func (w *frameWriter) takeBatch() (batch net.Buffers, size int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed || len(w.queue) == 0 {
		w.flushing = false
		return nil, 0
	}
	batch, size = w.queue, w.queuedBytes
	w.queue, w.queuedBytes, w.tailOwned = nil, 0, false
	w.handedBytes += uint64(size)
	w.wakeSenders()
	return batch, size
}

// uncountUnwritten takes bytes off the count of those that were handed over, as a failed write did not take them.
func (w *frameWriter) uncountUnwritten(size int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.handedBytes -= uint64(size)
}

// recycle saves a written buffer for a later batch.
func (w *frameWriter) recycle(buffer []byte) {
	if cap(buffer) > maxRetainedBatchBytes {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.spare = buffer[:0]
}

// mayHaveLeft reports whether any byte of the frame at a position may have left.
func (w *frameWriter) mayHaveLeft(position uint64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.handedBytes > position
}

// close drops what is queued. A write that is under way goes on until the connection is closed.
func (w *frameWriter) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.closed = true
	w.queue = nil
	w.wakeSenders()
}

// wakeSenders lets all senders that wait for room try again. The caller holds the mutex.
func (w *frameWriter) wakeSenders() {
	if w.drained != nil {
		close(w.drained)
		w.drained = nil
	}
}
