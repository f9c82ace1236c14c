package rpc

import (
	"errors"
	"io"
	"math"
	"net"
	"runtime"
	"sync"
)

const (
	queueLimit      = 512 << 10 // queued bytes above which senders wait
	copiedBody      = 16 << 10  // bodies up to this size are copied next to their line
	keptBatchBuffer = 64 << 10  // a larger buffer is not kept
)

var errWriterClosed = errors.New("rpc: connection closed")

// neverQueued is the position of a frame that was not queued.
const neverQueued = math.MaxUint64

// frameWriter writes whole frames to a connection. Frames that are sent at about the same time leave in one write: the
// first one starts a goroutine, which lets the others that are ready to run add theirs, and ends when nothing is left.
type frameWriter struct {
	destination io.Writer
	failed      func(error) // called when a write fails

	mutex       sync.Mutex
	queue       net.Buffers
	copyingTail bool          // the queue's last buffer belongs to the writer and may grow
	spare       []byte        // buffer for the next batch
	queued      int           // bytes in the queue
	accepted    uint64        // bytes ever queued
	handed      uint64        // bytes ever handed to the destination
	flushing    bool          // a goroutine is writing
	closed      bool          // nothing is written any more
	drained     chan struct{} // closed when the queue has been emptied; nil while nobody waits
}

// send queues a frame and returns its position in the stream. It waits while the queue is long. The body must not be
// changed afterwards.
func (w *frameWriter) send(cancelled <-chan struct{}, line, body []byte) (position uint64, err error) {
	for {
		position, wait, err := w.offer(line, body)
		if wait == nil {
			return position, err
		}
		select {
		case <-wait:
		case <-cancelled:
			return neverQueued, errSendCancelled
		}
	}
}

var errSendCancelled = errors.New("rpc: cancelled before sending")

// offer queues a frame, or returns a channel to wait on while there is no room.
func (w *frameWriter) offer(line, body []byte) (position uint64, wait <-chan struct{}, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return neverQueued, nil, errWriterClosed
	}
	size := len(line) + len(body)
	if w.queued > 0 && w.queued+size > queueLimit {
		if w.drained == nil {
			w.drained = make(chan struct{})
		}
		return neverQueued, w.drained, nil
	}
	position = w.accepted
	w.accepted += uint64(size)
	w.queued += size
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

func (w *frameWriter) appendFrame(line, body []byte) {
	w.appendCopy(line)
	if len(body) <= copiedBody {
		w.appendCopy(body)
		return
	}
	w.queue = append(w.queue, body)
	w.copyingTail = false
}

func (w *frameWriter) appendCopy(data []byte) {
	if !w.copyingTail {
		w.queue = append(w.queue, w.spare[:0])
		w.spare = nil
		w.copyingTail = true
	}
	tail := len(w.queue) - 1
	w.queue[tail] = append(w.queue[tail], data...)
}

// flush writes batches until the queue is empty.
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
			w.giveBack(size - int(written))
			w.failed(err)
			return
		}
		w.keep(first)
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
	batch, size = w.queue, w.queued
	w.queue, w.queued, w.copyingTail = nil, 0, false
	w.handed += uint64(size)
	w.wakeSenders()
	return batch, size
}

// giveBack takes bytes off the count of those that were handed over, as a failed write did not take them.
func (w *frameWriter) giveBack(size int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.handed -= uint64(size)
}

// keep saves a written buffer for a later batch.
func (w *frameWriter) keep(buffer []byte) {
	if cap(buffer) > keptBatchBuffer {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.spare = buffer[:0]
}

// began tells whether any byte of the frame at a position may have left.
func (w *frameWriter) began(position uint64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.handed > position
}

// close drops what is queued. A write that is under way goes on until the connection is closed.
func (w *frameWriter) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.closed = true
	w.queue = nil
	w.wakeSenders()
}

func (w *frameWriter) wakeSenders() {
	if w.drained != nil {
		close(w.drained)
		w.drained = nil
	}
}
