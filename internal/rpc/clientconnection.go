package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	silenceLimit     = 2 * time.Second        // a peer that owes answers and sends nothing for so long is given up
	lateTimer        = 250 * time.Millisecond // a check that is later than this says that this process was paused
	silenceGrace     = 500 * time.Millisecond // after a pause: time to receive what has arrived meanwhile
	expectedInFlight = 8                      // initial size of the table of outstanding calls
)

var errSilentPeer = errors.New("rpc: the peer is silent")

// answer is what came back for a call.
type answer struct {
	result json.RawMessage
	body   []byte
	err    error
}

// clientConnection is a dialed connection. Calls are told apart by their numbers.
type clientConnection struct {
	stream       net.Conn
	writer       *frameWriter
	started      time.Time
	lastID       atomic.Uint64
	lastReceived atomic.Int64  // when bytes last came, counted from started
	done         chan struct{} // closed when the connection has failed

	mutex        sync.Mutex
	outstanding  map[uint64]chan<- answer // nil for a call that nobody waits for any more
	waitingSince time.Time                // when the oldest of the outstanding calls could have begun
	watch        *time.Timer
	watchDue     time.Time // when the running watch should fire; zero while it does not run
	failure      error
}

func newClientConnection(stream net.Conn) *clientConnection {
	connection := &clientConnection{
		stream:      stream,
		started:     time.Now(),
		done:        make(chan struct{}),
		outstanding: make(map[uint64]chan<- answer, expectedInFlight),
	}
	connection.writer = &frameWriter{destination: stream, failed: connection.fail}
	go connection.receiveAll()
	return connection
}

// call sends a request and waits for its answer.
func (c *clientConnection) call(ctx context.Context, request outgoingRequest, body []byte) (answer, error) {
	request.ID = c.lastID.Add(1)
	line, err := encodeLine(request)
	if err != nil {
		return answer{}, &Error{Code: CodeInvalid, Message: err.Error()}
	}
	answers := make(chan answer, 1)
	if err := c.register(request.ID, answers); err != nil {
		return answer{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	position, err := c.writer.send(ctx.Done(), line, body)
	if err != nil {
		c.unregister(request.ID)
		return answer{}, fmt.Errorf("%w: %w", ErrNotSent, errors.Join(err, ctx.Err()))
	}
	return c.await(ctx, request.ID, position, answers)
}

// await waits for the answer to a request that is queued.
func (c *clientConnection) await(
	ctx context.Context, id, position uint64, answers <-chan answer,
) (answer, error) {
	select {
	case received := <-answers:
		return received, nil
	case <-ctx.Done():
		c.abandon(id)
		return answer{}, fmt.Errorf("%w: %w", ErrResponseLost, ctx.Err())
	case <-c.done:
	}
	select {
	case received := <-answers: // it came before the end
		return received, nil
	default:
	}
	if c.writer.began(position) {
		return answer{}, fmt.Errorf("%w: %w", ErrResponseLost, c.failure)
	}
	return answer{}, fmt.Errorf("%w: %w", ErrNotSent, c.failure)
}

// register notes a call and has the peer's silence watched.
func (c *clientConnection) register(id uint64, answers chan<- answer) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure != nil {
		return c.failure
	}
	if len(c.outstanding) == 0 {
		c.waitingSince = time.Now()
	}
	c.outstanding[id] = answers
	if c.watchDue.IsZero() {
		c.watchAfter(silenceLimit)
	}
	return nil
}

// unregister forgets a call that was not sent.
func (c *clientConnection) unregister(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.outstanding, id)
}

// abandon notes that nobody waits for a call's answer any more. The peer still owes it.
func (c *clientConnection) abandon(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, owed := c.outstanding[id]; owed {
		c.outstanding[id] = nil
	}
}

// receiveAll hands out answers until the connection ends.
func (c *clientConnection) receiveAll() {
	reader := newFrameReader(receiptClock{connection: c})
	for {
		if err := c.receive(reader); err != nil {
			c.fail(err)
			return
		}
	}
}

func (c *clientConnection) receive(reader *frameReader) error {
	line, err := reader.readLine()
	if err != nil {
		return err
	}
	var frame incomingAnswer
	if err := json.Unmarshal(line, &frame); err != nil {
		return err
	}
	body, err := reader.readBody(frame.Body)
	if err != nil {
		return err
	}
	received := answer{result: frame.Result, body: body}
	if frame.Error != nil {
		received.err = frame.Error
	}
	c.deliver(frame.ID, received)
	return nil
}

// deliver hands an answer to the call that waits for it, if any does.
func (c *clientConnection) deliver(id uint64, received answer) {
	c.mutex.Lock()
	answers := c.outstanding[id]
	delete(c.outstanding, id)
	c.mutex.Unlock()
	if answers != nil {
		answers <- received
	}
}

// fail ends the connection and all its calls. The first reason stays.
func (c *clientConnection) fail(reason error) {
	c.mutex.Lock()
	if c.failure != nil {
		c.mutex.Unlock()
		return
	}
	c.failure = reason
	if c.watch != nil {
		c.watch.Stop()
	}
	c.mutex.Unlock()
	c.writer.close()
	_ = c.stream.Close()
	close(c.done)
}

func (c *clientConnection) hasFailed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.failure != nil
}

// watchAfter sets the next check of the peer's silence.
func (c *clientConnection) watchAfter(wait time.Duration) {
	c.watchDue = time.Now().Add(wait)
	if c.watch == nil {
		c.watch = time.AfterFunc(wait, c.checkSilence)
		return
	}
	c.watch.Reset(wait)
}

// checkSilence gives the connection up when the peer owes answers and has been silent for too long.
func (c *clientConnection) checkSilence() {
	c.mutex.Lock()
	if c.failure != nil {
		c.mutex.Unlock()
		return
	}
	remaining := c.remainingPatience(time.Now())
	if remaining > 0 {
		c.watchAfter(remaining)
	} else {
		c.watchDue = time.Time{}
	}
	silent := remaining <= 0 && len(c.outstanding) > 0
	c.mutex.Unlock()
	if silent {
		c.fail(errSilentPeer)
	}
}

// remainingPatience returns for how long the peer may still be silent: 0 where it has been for too long, or owes nothing.
func (c *clientConnection) remainingPatience(now time.Time) time.Duration {
	if len(c.outstanding) == 0 {
		return 0
	}
	silentSince := c.started.Add(time.Duration(c.lastReceived.Load()))
	if silentSince.Before(c.waitingSince) {
		silentSince = c.waitingSince
	}
	remaining := silenceLimit - now.Sub(silentSince)
	if remaining <= 0 && now.Sub(c.watchDue) > lateTimer {
		return silenceGrace
	}
	return max(remaining, 0)
}

// receiptClock reads a connection's stream and notes when bytes came.
type receiptClock struct {
	connection *clientConnection
}

// Read implements io.Reader.
func (r receiptClock) Read(buffer []byte) (int, error) {
	count, err := r.connection.stream.Read(buffer)
	if count > 0 {
		r.connection.lastReceived.Store(int64(time.Since(r.connection.started)))
	}
	return count, err
}
