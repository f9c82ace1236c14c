package rpc

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"gladepick/internal/network"
)

// Client makes calls to one process, over one connection that is dialed when needed. It may be used concurrently.
type Client struct {
	network network.Network
	address string
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc

	mutex   sync.Mutex        // guards what follows
	current *clientConnection // nil before the first dial and after a failure was noticed
	dialing *dialAttempt      // nil while no dial is under way
}

// NewClient makes a client of the process at an address, "ip:port". It dials at the first call.
func NewClient(network network.Network, address string) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{network: network, address: address, ctx: ctx, cancel: cancel}
}

// Call makes a call and waits for its response. The params and the result are JSON values, either may be nil; the bodies
// are passed unencoded. The body must not be changed afterwards.
//
// The error is an *Error where the called process reported it, wraps ErrNotSent where the request surely did not reach
// it, and ErrResponseLost where that is not known.
func (c *Client) Call(
	ctx context.Context, method string, params any, body []byte, result any,
) (responseBody []byte, err error) {
	if err := checkBodyLength(len(body)); err != nil {
		return nil, &Error{Code: CodeInvalid, Message: err.Error()}
	}
	connection, err := c.connect(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %s at %s: %w", ErrNotSent, method, c.address, err)
	}
	request := outgoingRequest{Method: method, Params: params, Body: len(body)}
	received, err := connection.call(ctx, request, body)
	if err != nil {
		return nil, fmt.Errorf("%s at %s: %w", method, c.address, err)
	}
	if received.err != nil {
		return nil, received.err
	}
	if result != nil && len(received.result) > 0 {
		if err := json.Unmarshal(received.result, result); err != nil {
			return nil, fmt.Errorf("%w: %s at %s: unreadable result: %w", ErrResponseLost, method, c.address, err)
		}
	}
	return received.body, nil
}

// Close ends the connection. Outstanding calls fail, and so do later ones.
func (c *Client) Close() {
	c.cancel()
	c.mutex.Lock()
	current := c.current
	c.mutex.Unlock()
	if current != nil {
		current.fail(errClientClosed)
	}
}

// connect returns the connection, dialing it where there is none.
func (c *Client) connect(ctx context.Context) (*clientConnection, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	current, attempt := c.currentOrAttempt()
	if current != nil {
		return current, nil
	}
	select {
	case <-attempt.done:
		return attempt.connection, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// currentOrAttempt returns the working connection, or else the attempt to get one, which it starts if need be.
func (c *Client) currentOrAttempt() (*clientConnection, *dialAttempt) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current != nil && !c.current.hasFailed() {
		return c.current, nil
	}
	c.current = nil
	if c.dialing == nil {
		c.dialing = &dialAttempt{done: make(chan struct{})}
		go c.dial(c.dialing)
	}
	return nil, c.dialing
}
