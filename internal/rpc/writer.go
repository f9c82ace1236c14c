package rpc

import (
	"io"
	"math"
	"net"
	"runtime"
	"sync"
)

const (
	maxQueuedBytes        = 512 << 10 // senders wait while the queue would exceed it
	maxCopiedBodyBytes    = 16 << 10  // bodies up to this size are copied into the buffer of their line
	maxRetainedBatchBytes = 64 << 10  // a larger buffer is not reused
)

// notQueued is returned as the position of a frame that was not queued.
const notQueued = math.MaxUint64

// frameWriter writes whole frames to a connection. It batches frames that are sent at about the same time into one
// write: the first sender starts a goroutine, which yields to other runnable senders before it writes, and ends when
// the queue is empty.
type frameWriter struct {
	destination io.Writer
	onFailure   func(error) // called, without the mutex, when a write fails

	mutex          sync.Mutex // guards the fields below
	queue          net.Buffers
	tailOwned      bool          // the queue's last buffer is the writer's own, not a caller's body, and may grow
	spare          []byte        // buffer to reuse for the next batch
	queuedBytes    int           // bytes in the queue
	enqueuedBytes  uint64        // total bytes ever queued
	maybeSentBytes uint64        // total bytes passed to the destination, without those that failed to be written
	flushing       bool          // a flush goroutine is running
	closed         bool          // no further batch is written
	drained        chan struct{} // closed when the queue has been taken; nil while no sender waits
}

// send queues a frame and returns its position in the stream, in bytes. While the queue is full, it waits until
// canceled is closed; a nil channel means no cancellation. The caller must not modify the body afterwards.
func (w *frameWriter) send(canceled <-chan struct{}, line, body []byte) (position uint64, err error) {
	for {
		position, wait, err := w.tryEnqueue(line, body)
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

// tryEnqueue queues a frame. If the queue is full, it returns a channel that is closed when there may be space again.
// An empty queue accepts a frame of any size.
func (w *frameWriter) tryEnqueue(line, body []byte) (position uint64, wait <-chan struct{}, err error) {
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
	position = w.enqueuedBytes
	w.enqueuedBytes += uint64(size)
	w.queuedBytes += size
	w.appendFrame(line, body)
	if !w.flushing {
		w.flushing = true
		go w.flush()
	}
	return position, nil, nil
}

// enqueueIfIdle queues a frame unless other frames are being written.
func (w *frameWriter) enqueueIfIdle(line []byte) {
	w.mutex.Lock()
	busy := w.flushing
	w.mutex.Unlock()
	if !busy {
		_, _, _ = w.tryEnqueue(line, nil)
	}
}

// appendFrame appends a frame to the queue. It copies a short body, and queues a long one without a copy. The caller
// holds the mutex.
func (w *frameWriter) appendFrame(line, body []byte) {
	w.appendCopy(line)
	if len(body) <= maxCopiedBodyBytes {
		w.appendCopy(body)
		return
	}
	w.queue = append(w.queue, body)
	w.tailOwned = false
}

// appendCopy copies data to the queue's last buffer, or to a new buffer if the last one is a caller's body.
func (w *frameWriter) appendCopy(data []byte) {
	if !w.tailOwned {
		w.queue = append(w.queue, w.spare[:0])
		w.spare = nil
		w.tailOwned = true
	}
	tail := len(w.queue) - 1
	w.queue[tail] = append(w.queue[tail], data...)
}

// flush writes batches until the queue is empty. It runs in its own goroutine, of which there is at most one.
func (w *frameWriter) flush() {
	runtime.Gosched()
	for {
		batch, size := w.takeBatch()
		if batch == nil {
			return
		}
		first := batch[0] // always the writer's own buffer, as each frame begins with its line
		written, err := batch.WriteTo(w.destination)
		if err != nil {
			w.subtractUnwritten(size - int(written))
			w.onFailure(err)
			return
		}
		w.recycle(first)
	}
}

// takeBatch empties the queue and returns its buffers and their size in bytes. If there is nothing to write, it returns
// nil, and flush has to end.
func (w *frameWriter) takeBatch() (batch net.Buffers, size int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed || len(w.queue) == 0 {
		w.flushing = false
		return nil, 0
	}
	batch, size = w.queue, w.queuedBytes
	w.queue, w.queuedBytes, w.tailOwned = nil, 0, false
	w.maybeSentBytes += uint64(size)
	w.wakeSenders()
	return batch, size
}

// subtractUnwritten subtracts from maybeSentBytes the bytes that a failed write did not write.
func (w *frameWriter) subtractUnwritten(size int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.maybeSentBytes -= uint64(size)
}

// recycle keeps a written buffer for a later batch, unless it is too large.
func (w *frameWriter) recycle(buffer []byte) {
	if cap(buffer) > maxRetainedBatchBytes {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.spare = buffer[:0]
}

// mayHaveBeenSent reports whether any byte of the frame at a position may have been sent.
func (w *frameWriter) mayHaveBeenSent(position uint64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.maybeSentBytes > position
}

// close drops the queued frames. A write in progress continues until the connection is closed.
func (w *frameWriter) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.closed = true
	w.queue = nil
	w.wakeSenders()
}

// wakeSenders wakes the senders that wait for space in the queue. The caller holds the mutex.
func (w *frameWriter) wakeSenders() {
	if w.drained != nil {
		close(w.drained)
		w.drained = nil
	}
}
