package replication

import (
	"errors"
	"syscall"

	"gladepick/internal/rpc"
)

// ErrNotPrimary means that this process does not lead the group at present; what was asked for was surely not done.
var ErrNotPrimary = errors.New("replication: not the primary")

// ErrOutcomeUnknown means that the change was sent out but not confirmed: it may come into force or not.
var ErrOutcomeUnknown = errors.New("replication: outcome unknown")

// ErrNoQuorum means that no majority of the members could be won for a view.
var ErrNoQuorum = errors.New("replication: no majority")

// ErrBootstrapRefused means that this process may not bootstrap a group: it is not allowed to, or not among the members.
var ErrBootstrapRefused = errors.New("replication: may not found a group")

// errNotInSync means that this process may not lead: it may lack acknowledged changes.
var errNotInSync = errors.New("replication: not in the in-sync set")

// errTooFewInSync means that not enough processes could be aligned for an in-sync set.
var errTooFewInSync = errors.New("replication: too few in-sync processes")

// errSuperseded means that another process has made, or is making, a newer view.
var errSuperseded = errors.New("replication: overtaken by a newer view")

// errNotAttached means that the replica does not follow the log of the epoch in question, or not at that position.
var errNotAttached = errors.New("replication: replica is not attached to this epoch")

var errMalformed = errors.New("replication: malformed record")

// isConnectionRefused reports whether a call failed because nothing listens at the address.
func isConnectionRefused(err error) bool {
	return errors.Is(err, rpc.ErrNotSent) &&
		(errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
}
