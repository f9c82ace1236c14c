package rpc

import (
	"context"
	"net"
	"time"

	"gladepick/internal/network"
)

const (
	// dialTimeout limits a dial with all its parallel attempts.
	dialTimeout = 500 * time.Millisecond
	// dialHedgeDelay is the time without a result after which the address is dialed once more in parallel. A machine
	// that is starting never sees a SYN packet that was sent to it earlier, and the operating system retransmits the
	// packet only after 1 s.
	dialHedgeDelay = 120 * time.Millisecond
)

// dialAttempt is a dial in progress. All calls that need the connection wait for it.
type dialAttempt struct {
	done chan struct{} // closed once the fields below are set

	connection *clientConnection
	err        error
}

// dial executes an attempt. It runs in its own goroutine, which ends within dialTimeout.
func (c *Client) dial(attempt *dialAttempt) {
	defer close(attempt.done)
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	stream, err := dialHedged(ctx, c.network, c.address)
	if c.ctx.Err() != nil && err == nil {
		_ = stream.Close()
		err = errClientClosed
	}
	if err == nil {
		attempt.connection = newClientConnection(stream)
	}
	attempt.err = err
	c.finishDial(attempt)
}

// finishDial makes the attempt's connection the current one. If the client was closed meanwhile, the connection fails.
func (c *Client) finishDial(attempt *dialAttempt) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dialing = nil
	c.current = attempt.connection
	if c.current != nil && c.ctx.Err() != nil {
		c.current.fail(errClientClosed)
	}
}

// dialResult is the result of one of several hedged dials.
type dialResult struct {
	stream net.Conn
	err    error
}

// dialHedged dials an address, and starts another parallel dial whenever dialHedgeDelay passes without a result. It
// returns the first result, whether a connection or an error, and cancels the other dials. Each dial runs in its own
// goroutine, which ends soon after this function has returned.
func dialHedged(ctx context.Context, dialer network.Network, address string) (net.Conn, error) {
	dialCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	dial := func() {
		stream, err := dialer.Dial(dialCtx, address)
		select {
		case results <- dialResult{stream: stream, err: err}:
		case <-dialCtx.Done():
			closeUnused(stream, err)
		}
	}
	timer := time.NewTimer(dialHedgeDelay)
	defer timer.Stop()
	go dial()
	for {
		select {
		case first := <-results:
			return first.stream, first.err
		case <-timer.C:
			go dial()
			timer.Reset(dialHedgeDelay)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// closeUnused closes the connection of a hedged dial that ended after the first result.
func closeUnused(stream net.Conn, err error) {
	if err == nil {
		_ = stream.Close()
	}
}
