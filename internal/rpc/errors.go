package rpc

import "errors"

// ErrNotSent means that the request surely did not reach the other process, so the call may be made again anywhere.
var ErrNotSent = errors.New("rpc: call not sent")

// ErrResponseLost means that the connection ended, or the context did, before the response came: the call may have been
// carried out.
var ErrResponseLost = errors.New("rpc: answer lost")

// Why a connection or a call fails. Callers see them wrapped in ErrNotSent or ErrResponseLost, or as the text of an Error.
var (
	errClientClosed       = errors.New("rpc: client closed")
	errUnresponsive       = errors.New("rpc: the peer is silent")
	errWriterClosed       = errors.New("rpc: connection closed")
	errLineTooLong        = errors.New("rpc: line too long")
	errBodyTooLong        = errors.New("rpc: body too long")
	errNegativeBodyLength = errors.New("rpc: negative length of a body")
)

// errSendCanceled means that the caller's context ended while its request waited for room in the queue.
var errSendCanceled = errors.New("rpc: cancelled before sending")

// Code classifies a failure that the called process reported.
type Code string

// The codes. CodeNotLeader, CodeUnavailable and CodeUnknownMethod promise that nothing was done.
const (
	CodeNotLeader     Code = "not_leader"   // another process leads; the message may name it
	CodeUnavailable   Code = "unavailable"  // the process cannot serve this now
	CodeNotFound      Code = "not_found"    // what was requested does not exist
	CodeInvalid       Code = "invalid"      // the request itself is wrong
	CodeConflict      Code = "conflict"     // the caller's epoch or version is not the current one
	CodeInternal      Code = "internal"     // anything else; the call may have been carried out
	CodeUnknownMethod Code = "unknown_call" // the server has no such method
)

// Error is a failure that the called process reported. It is a part of the wire format.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// CodeOf returns the code of a failure reported by the called process, or "" for any other error.
func CodeOf(err error) Code {
	var remote *Error
	if errors.As(err, &remote) {
		return remote.Code
	}
	return ""
}
