package messagestore

import (
	"errors"

	"gladepick/internal/rpc"
)

// errSteppedDown ends a pending write whose partition has a new primary. The outcome of the write is unknown.
var errSteppedDown = errors.New("the partition has a new primary, outcome of the write unknown")

// errResyncIncomplete means that a backup did not store all records of a resync.
var errResyncIncomplete = errors.New("backup did not store all records of the resync")

// Errors that a caller receives over the wire. They are shared and must not be modified.
var (
	// errNotPrimary means that this store is not the partition's primary.
	errNotPrimary = &rpc.Error{Code: rpc.CodeNotLeader}
	// errCannotCommit rejects a message before it is logged: the partition has too few replicas, the disk is full or
	// failing, or a backup does not respond.
	errCannotCommit = &rpc.Error{Code: rpc.CodeUnavailable, Message: "too few replicas or disks available to commit a message"}
	// errCommitTimeout means that a message was logged, but it is unknown whether it will be committed.
	errCommitTimeout = &rpc.Error{Code: rpc.CodeInternal, Message: "replicas did not confirm the message in time"}
	// errNotReplica means that the partition's view does not list this store's disk.
	errNotReplica = &rpc.Error{Code: rpc.CodeUnavailable, Message: "store is not a replica of the partition"}
	// errUnknownMessage means that the message certainly does not exist.
	errUnknownMessage = &rpc.Error{Code: rpc.CodeNotFound}
	// errNotHeld means that this store does not have the message, but another replica may have it.
	errNotHeld = &rpc.Error{Code: rpc.CodeUnavailable, Message: "replica does not have the message"}
	// errBodyDropped means that the body is no longer stored because the message has completed.
	errBodyDropped = &rpc.Error{Code: rpc.CodeNotFound, Message: "completed"}
	// errStaleEpoch means that this store has seen a newer epoch.
	errStaleEpoch = &rpc.Error{Code: rpc.CodeConflict, Message: "epoch of the call is stale"}
	// errRecordLengths means that the lengths of a call's records do not fit its body.
	errRecordLengths = &rpc.Error{Code: rpc.CodeInvalid, Message: "record lengths do not fit the body"}
	// errUnreadableRecord means that a record cannot be decoded, or belongs to another partition than its header says.
	errUnreadableRecord = &rpc.Error{Code: rpc.CodeInvalid, Message: "record cannot be decoded or belongs to another partition"}
	// errLocalRecord means that a record is of a kind that replicas never send to each other.
	errLocalRecord = &rpc.Error{Code: rpc.CodeInvalid, Message: "record kind is not valid between replicas"}
)

// unavailable returns an error that lets the caller try another store.
func unavailable(cause error) *rpc.Error {
	return &rpc.Error{Code: rpc.CodeUnavailable, Message: cause.Error()}
}
