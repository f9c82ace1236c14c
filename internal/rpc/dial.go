package rpc

import (
	"context"
	"net"
	"time"

	"gladepick/internal/network"
)

const (
	// dialTimeout bounds a dial with all its attempts.
	dialTimeout = 500 * time.Millisecond
	// dialHedgeDelay is after how long without a result an address is dialed once more beside the earlier attempts. A
	// machine that starts never sees what was sent to it before, and the operating system sends it again only after a
	// second.
	dialHedgeDelay = 120 * time.Millisecond
)

// dialAttempt is a client's dial, which all calls that need the connection wait for.
type dialAttempt struct {
	done chan struct{} // closed when the fields below are set

	connection *clientConnection
	err        error
}

// dial carries out an attempt. It runs in a goroutine of its own, which ends within dialTimeout.
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

// finishDial makes an attempt's connection the client's current one. A client that was closed meanwhile has none.
func (c *Client) finishDial(attempt *dialAttempt) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dialing = nil
	c.current = attempt.connection
	if c.current != nil && c.ctx.Err() != nil {
		c.current.fail(errClientClosed)
	}
}

// dialOutcome is how one of several hedged dials ended.
type dialOutcome struct {
	stream net.Conn
	err    error
}

// dialHedged dials an address, and does so again beside the earlier dials whenever none of them has ended for
// dialHedgeDelay. It returns how the first one of them ended, and gives the others up. Each dial has a goroutine, which
// ends soon after this function has returned.
func dialHedged(ctx context.Context, wire network.Network, address string) (net.Conn, error) {
	dialing, giveUp := context.WithCancel(ctx)
	defer giveUp()
	ended := make(chan dialOutcome)
	dial := func() {
		stream, err := wire.Dial(dialing, address)
		select {
		case ended <- dialOutcome{stream: stream, err: err}:
		case <-dialing.Done():
			closeUnused(stream, err)
		}
	}
	timer := time.NewTimer(dialHedgeDelay)
	defer timer.Stop()
	go dial()
	for {
		select {
		case first := <-ended:
			return first.stream, first.err
		case <-timer.C:
			go dial()
			timer.Reset(dialHedgeDelay)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// closeUnused closes the connection of a dial that ended after another one.
func closeUnused(stream net.Conn, err error) {
	if err == nil {
		_ = stream.Close()
	}
}
