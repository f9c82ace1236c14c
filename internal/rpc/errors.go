package rpc

import "errors"

// ErrNotSent means that the request definitely did not reach the server, so the caller may retry it at any process.
var ErrNotSent = errors.New("rpc: call not sent")

// ErrResponseLost means that the connection or the context ended before the response arrived, or that the result could
// not be decoded. The server may have executed the call.
var ErrResponseLost = errors.New("rpc: response lost")

// Causes of failed connections and calls. Callers see them wrapped in ErrNotSent or ErrResponseLost, or as the message
// of an Error.
var (
	errClientClosed       = errors.New("rpc: client closed")
	errUnresponsive       = errors.New("rpc: server is unresponsive")
	errWriterClosed       = errors.New("rpc: connection closed")
	errLineTooLong        = errors.New("rpc: line too long")
	errBodyTooLong        = errors.New("rpc: body too long")
	errNegativeBodyLength = errors.New("rpc: negative body length")
)

// errSendCanceled means that the caller's context ended while its request waited for space in the send queue.
var errSendCanceled = errors.New("rpc: cancelled before sending")

// Code classifies an Error.
type Code string

// Codes of an Error. CodeNotLeader, CodeUnavailable and CodeUnknownMethod guarantee that the call was not executed.
const (
	CodeNotLeader     Code = "not_leader"   // another process is the leader; the message may name it
	CodeUnavailable   Code = "unavailable"  // the process can't serve the call now
	CodeNotFound      Code = "not_found"    // the requested item does not exist
	CodeInvalid       Code = "invalid"      // the request is invalid
	CodeConflict      Code = "conflict"     // the epoch or version in the request is not the current one
	CodeInternal      Code = "internal"     // any other failure; the call may have been executed
	CodeUnknownMethod Code = "unknown_call" // the server has no such method
)

// Error is a failure that the server reported. It is part of the wire format.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// CodeOf returns the code of the *Error that err wraps, or "" if it wraps none.
func CodeOf(err error) Code {
	var remote *Error
	if errors.As(err, &remote) {
		return remote.Code
	}
	return ""
}
