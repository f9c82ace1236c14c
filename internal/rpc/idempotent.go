package rpc

// Idempotent is the name of a method whose calls may be retried, at the same or another process, after a response was
// lost: the handler recognises a repeated request, or a version or epoch in the request fences it. docs/system.md lists
// these methods and the reason for each. Functions that retry calls take this type, so that no other call is retried by
// accident.
type Idempotent string
