package client

import "errors"

var (
	// errUnresponsive means that a message was not sent, as the control plane finds that the store does not respond. One that
	// has an order key can go nowhere else: its caller hears of it at once, with time left to come back.
	errUnresponsive = errors.New("the store does not answer")
	// errOutcomeUnknown means that a message was sent, and may be stored.
	errOutcomeUnknown = errors.New("no answer from the stores")
	// errNoTable means that no cluster table has come yet.
	errNoTable = errors.New("no cluster table yet")
	// errNoReplica means that the table lists no store for a partition.
	errNoReplica = errors.New("the partition has no replica")
)
