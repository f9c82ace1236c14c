package messagestore

import (
	"errors"

	"gladepick/internal/rpc"
)

// errSteppedDown ends a write whose partition has another primary now: its outcome is not known here.
var errSteppedDown = errors.New("the partition has a new primary")

// errResyncIncomplete means that a record of a resync did not reach the backup.
var errResyncIncomplete = errors.New("a record of the resync was not taken")

// Errors that a caller gets over the wire. They are shared and never changed.
var (
	// errNotPrimary tells that this store is not the partition's primary.
	errNotPrimary = &rpc.Error{Code: rpc.CodeNotLeader}
	// errCannotCommit rejects a message before it is logged: too few replicas, a full or failing disk, or a backup that does
	// not answer.
	errCannotCommit = &rpc.Error{Code: rpc.CodeUnavailable, Message: "too few disks for another message"}
	// errCommitTimeout tells that a message was taken, and its commit is not known.
	errCommitTimeout = &rpc.Error{Code: rpc.CodeInternal, Message: "replicas have not answered in time"}
	// errNotReplica tells that the partition's view does not list this store's disk.
	errNotReplica = &rpc.Error{Code: rpc.CodeUnavailable, Message: "not a replica"}
	// errUnknownMessage tells that there is no such message, for sure.
	errUnknownMessage = &rpc.Error{Code: rpc.CodeNotFound}
	// errNotHeld tells that another replica may have the message.
	errNotHeld = &rpc.Error{Code: rpc.CodeUnavailable, Message: "not held here"}
	// errBodyDropped tells that a completed message's body is not stored any more.
	errBodyDropped = &rpc.Error{Code: rpc.CodeNotFound, Message: "completed"}
	// errStaleEpoch tells that this store knows a newer epoch.
	errStaleEpoch = &rpc.Error{Code: rpc.CodeConflict, Message: "the epoch is not the newest"}
	// errRecordLengths tells that a call's records are longer than its body.
	errRecordLengths = &rpc.Error{Code: rpc.CodeInvalid, Message: "records do not fit the body"}
	// errUnreadableRecord tells that a record cannot be decoded, or is of another partition than the call says.
	errUnreadableRecord = &rpc.Error{Code: rpc.CodeInvalid, Message: "unreadable record"}
	// errLocalRecord tells that a record is of a kind that replicas do not send.
	errLocalRecord = &rpc.Error{Code: rpc.CodeInvalid, Message: "a record that replicas do not send"}
)

// unavailable returns the answer to a caller that may try another store.
func unavailable(cause error) *rpc.Error {
	return &rpc.Error{Code: rpc.CodeUnavailable, Message: cause.Error()}
}
