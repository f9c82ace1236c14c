package client

import "errors"

var (
	// errUnresponsive means that a message was not sent because the control plane has marked the store as unresponsive.
	// A message with an order key can't go to another partition, so its put fails at once and leaves the caller time
	// for a retry.
	errUnresponsive = errors.New("the partition's primary is unresponsive")
	// errOutcomeUnknown means that a message was sent and may be stored.
	errOutcomeUnknown = errors.New("the stores did not confirm the message, it may be stored")
	// errNoTable means that this process has not received a cluster table yet.
	errNoTable = errors.New("no cluster table received yet")
	// errNoReplica means that the table lists no store for any replica of a partition.
	errNoReplica = errors.New("the partition has no replica")
)
