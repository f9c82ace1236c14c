// Package rpc is the internal protocol between the system's processes: calls and answers as JSON lines over one
// connection a pair of processes, many at a time. A line may announce a body, whose bytes follow it unencoded.
package rpc

import "errors"

// ErrNotSent means that the call surely never reached the other process, so it may be made again anywhere.
var ErrNotSent = errors.New("rpc: call not sent")

// ErrResponseLost means that the connection ended, or the context did, before the answer came: the call may have been
// carried out.
var ErrResponseLost = errors.New("rpc: answer lost")

// Idempotent names a method whose call may be made again, here or at another process, after its answer was lost: the
// handler recognises a repeat, or is fenced by a version or an epoch in the call. docs/system.md says which and why.
// What repeats calls takes this type, so that no other call is repeated by accident.
type Idempotent string

// Code classifies a failure that the called process reported.
type Code string

// The codes. NotLeader and Unavailable promise that nothing was done.
const (
	CodeNotLeader     Code = "not_leader"   // another process leads; the message may name it
	CodeUnavailable   Code = "unavailable"  // not able to serve this now
	CodeNotFound      Code = "not_found"    // what was asked for does not exist
	CodeInvalid       Code = "invalid"      // the call itself is wrong
	CodeConflict      Code = "conflict"     // the caller's epoch or version is not the current one
	CodeInternal      Code = "internal"     // anything else; it may have been carried out
	CodeUnknownMethod Code = "unknown_call" // no such method
)

// Error is a failure that the called process reported.
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
