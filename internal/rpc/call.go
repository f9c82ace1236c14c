package rpc

import (
	"context"
	"encoding/json"
)

// Handler carries out a call. Its context ends when the connection does. An error that is an *Error is sent as it is,
// any other as CodeInternal. Handlers run concurrently.
type Handler func(ctx context.Context, call *Call) (result any, body []byte, err error)

// Call is a call as the server received it. The handler may keep its parts.
type Call struct {
	Method        string
	Params        json.RawMessage
	Body          []byte
	RemoteAddress string // the caller's, "ip:port"
}

// Decode reads the call's parameters. It fails with CodeInvalid.
func (c *Call) Decode(into any) error {
	if err := json.Unmarshal(c.Params, into); err != nil {
		return &Error{Code: CodeInvalid, Message: c.Method + ": " + err.Error()}
	}
	return nil
}
