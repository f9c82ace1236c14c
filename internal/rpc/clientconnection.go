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

// expectedCallsInFlight is the initial capacity of clientConnection.outstanding.
const expectedCallsInFlight = 8

// response is the response to a call.
type response struct {
	result json.RawMessage
	body   []byte
	err    error // the *Error that the server reported, or nil
}

// clientConnection is a dialed connection. It matches responses to calls by their IDs. The first failure of any kind
// closes it; the client then dials a new one.
type clientConnection struct {
	stream       net.Conn
	writer       *frameWriter
	started      time.Time
	lastID       atomic.Uint64
	lastReceived atomic.Int64  // when bytes were last received, in nanoseconds since started
	done         chan struct{} // closed when the connection has failed

	mutex        sync.Mutex                 // guards the fields below
	outstanding  map[uint64]chan<- response // by ID; the channel is nil after the caller has stopped waiting
	waitingSince time.Time                  // when the table of outstanding calls last became non-empty
	watchdog     *time.Timer                // nil before the first call
	watchdogDue  time.Time                  // when the watchdog is due to run; zero while it is stopped
	failure      error                      // why the connection closed; readable without the mutex once done is closed
}

// newClientConnection starts the goroutine that receives responses. The goroutine ends when the connection fails.
func newClientConnection(stream net.Conn) *clientConnection {
	connection := &clientConnection{
		stream:      stream,
		started:     time.Now(),
		done:        make(chan struct{}),
		outstanding: make(map[uint64]chan<- response, expectedCallsInFlight),
	}
	connection.writer = &frameWriter{destination: stream, onFailure: connection.fail}
	go connection.receiveLoop()
	return connection
}

// call sends a request and waits for its response.
func (c *clientConnection) call(ctx context.Context, request outgoingRequest, body []byte) (response, error) {
	request.ID = c.lastID.Add(1)
	line, err := encodeLine(request)
	if err != nil {
		return response{}, &Error{Code: CodeInvalid, Message: err.Error()}
	}
	responses := make(chan response, 1) // buffered, so that deliver never blocks
	if err := c.register(request.ID, responses); err != nil {
		return response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	position, err := c.writer.send(ctx.Done(), line, body)
	if err != nil {
		c.unregister(request.ID)
		return response{}, fmt.Errorf("%w: %w", ErrNotSent, errors.Join(err, ctx.Err()))
	}
	return c.await(ctx, request.ID, position, responses)
}

// await waits for the response to a request that the writer has queued at a position of the stream, in bytes.
func (c *clientConnection) await(
	ctx context.Context, id, position uint64, responses <-chan response,
) (response, error) {
	select {
	case received := <-responses:
		return received, nil
	case <-ctx.Done():
		c.abandon(id)
		return response{}, fmt.Errorf("%w: %w", ErrResponseLost, ctx.Err())
	case <-c.done:
	}
	select {
	case received := <-responses: // it was received before the connection failed
		return received, nil
	default:
	}
	if c.writer.mayHaveBeenSent(position) {
		return response{}, fmt.Errorf("%w: %w", ErrResponseLost, c.failure)
	}
	return response{}, fmt.Errorf("%w: %w", ErrNotSent, c.failure)
}

// register adds an outstanding call and starts the watchdog if it is stopped.
func (c *clientConnection) register(id uint64, responses chan<- response) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failure != nil {
		return c.failure
	}
	if len(c.outstanding) == 0 {
		c.waitingSince = time.Now()
	}
	c.outstanding[id] = responses
	if c.watchdogDue.IsZero() {
		c.startWatchdog(unresponsiveTimeout)
	}
	return nil
}

// unregister removes a call that was not sent.
func (c *clientConnection) unregister(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.outstanding, id)
}

// abandon records that the caller no longer waits for a response. The server must still send it, so the watchdog
// continues to run.
func (c *clientConnection) abandon(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, due := c.outstanding[id]; due {
		c.outstanding[id] = nil
	}
}

// receiveLoop delivers responses until the connection fails.
func (c *clientConnection) receiveLoop() {
	reader := newFrameReader(activityRecorder{connection: c})
	for {
		if err := c.receive(reader); err != nil {
			c.fail(err)
			return
		}
	}
}

// receive reads one response and delivers it.
func (c *clientConnection) receive(reader *frameReader) error {
	line, err := reader.readLine()
	if err != nil {
		return err
	}
	var frame incomingResponse
	if err := json.Unmarshal(line, &frame); err != nil {
		return err
	}
	body, err := reader.readBody(frame.Body)
	if err != nil {
		return err
	}
	received := response{result: frame.Result, body: body}
	if frame.Error != nil {
		received.err = frame.Error
	}
	c.deliver(frame.ID, received)
	return nil
}

// deliver passes a response to the call that waits for it, if any. A heartbeat has the ID 0, which no call has.
func (c *clientConnection) deliver(id uint64, received response) {
	c.mutex.Lock()
	responses := c.outstanding[id]
	delete(c.outstanding, id)
	c.mutex.Unlock()
	if responses != nil {
		responses <- received
	}
}

// fail closes the connection and fails its outstanding calls. It does nothing if the connection has already failed.
func (c *clientConnection) fail(reason error) {
	c.mutex.Lock()
	if c.failure != nil {
		c.mutex.Unlock()
		return
	}
	c.failure = reason
	if c.watchdog != nil {
		c.watchdog.Stop()
	}
	c.mutex.Unlock()
	c.writer.close()
	_ = c.stream.Close()
	close(c.done)
}

// hasFailed reports whether the connection has failed, so that the client must dial a new one.
func (c *clientConnection) hasFailed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.failure != nil
}
