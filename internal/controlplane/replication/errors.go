package replication

import (
	"errors"
	"syscall"

	"gladepick/internal/rpc"
)

// ErrNotPrimary means that this process does not lead the group at present. The request has certainly not been carried
// out and will not be, so the caller may send it to another member.
var ErrNotPrimary = errors.New("replication: not the primary")

// ErrOutcomeUnknown means that a request was started but not confirmed: the change may or may not take effect.
var ErrOutcomeUnknown = errors.New("replication: outcome unknown")

// ErrNoQuorum means that no majority of the members promised the epoch or accepted the view.
var ErrNoQuorum = errors.New("replication: no majority")

// ErrBootstrapRefused means that this process may not bootstrap the group: Options.AllowBootstrap is not set, the
// process is not among the members, or its disk belongs to a group already.
var ErrBootstrapRefused = errors.New("replication: bootstrap refused")

// errNotInSync means that this process must not lead: it may lack acknowledged changes.
var errNotInSync = errors.New("replication: not in the in-sync set")

// errTooFewInSync means that too few members could be aligned to form an in-sync set.
var errTooFewInSync = errors.New("replication: too few in-sync processes")

// errSuperseded means that another process has made, or is making, a newer view.
var errSuperseded = errors.New("replication: superseded by a newer view")

// errNotAttached means that the replica does not follow the log of that epoch's primary, or not at that position.
var errNotAttached = errors.New("replication: replica is not attached to this epoch")

// errMalformed means that a record or a snapshot can't be decoded.
var errMalformed = errors.New("replication: malformed record")

// isConnectionRefused reports whether a call failed because nothing listens at the address, so the process is certainly
// not running there.
func isConnectionRefused(err error) bool {
	return errors.Is(err, rpc.ErrNotSent) &&
		(errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
}
