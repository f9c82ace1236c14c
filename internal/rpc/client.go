package rpc

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"gladepick/internal/network"
)

// Client makes calls to one process, over one connection that it dials on demand. It is safe for concurrent use.
type Client struct {
	network network.Network
	address string
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc

	mutex   sync.Mutex        // guards the fields below
	current *clientConnection // nil before the first dial and after a failure was detected
	dialing *dialAttempt      // nil while no dial is in progress
}

// NewClient returns a client of the process at an address, "ip:port". The first call dials the connection.
func NewClient(network network.Network, address string) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{network: network, address: address, ctx: ctx, cancel: cancel}
}

// Call makes a call and waits for its response. The params and the result are JSON values, and either may be nil. The
// bodies are sent unencoded. The caller must not modify the body afterwards.
//
// The error is an *Error if the server or the validation of the request reported it. It wraps ErrNotSent if the request
// definitely did not reach the server, and ErrResponseLost if the server may have executed it.
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

// Close closes the connection. Outstanding calls and all later ones fail.
func (c *Client) Close() {
	c.cancel()
	c.mutex.Lock()
	current := c.current
	c.mutex.Unlock()
	if current != nil {
		current.fail(errClientClosed)
	}
}

// connect returns the open connection, or waits for a dial if there is none.
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

// currentOrAttempt returns the open connection, or else the dial attempt in progress. It starts an attempt if there is
// none.
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
