package rpc

import (
	"context"
	"encoding/json"
)

// Handler executes a call. Its context ends with the connection. An *Error is sent to the client unchanged, any other
// error with CodeInternal. Handlers run concurrently.
type Handler func(ctx context.Context, call *Call) (result any, body []byte, err error)

// Call is a received call. The handler may retain its fields after it has returned.
type Call struct {
	Method        string
	Params        json.RawMessage
	Body          []byte
	RemoteAddress string // of the client, "ip:port"
}

// Decode decodes the call's parameters into a value. It fails with CodeInvalid if they don't fit.
func (c *Call) Decode(into any) error {
	if err := json.Unmarshal(c.Params, into); err != nil {
		return &Error{Code: CodeInvalid, Message: c.Method + ": " + err.Error()}
	}
	return nil
}
