package rpc

// Idempotent names a method whose call may be made again, here or at another process, after its response was lost: the
// handler recognises a repeated request, or is fenced by a version or an epoch in it. docs/system.md says which and why.
// What retries calls takes this type, so that no other call is retried by accident.
type Idempotent string
