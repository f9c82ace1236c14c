package decision

import "time"

// ActionKind is the type of an Action and determines which of its fields are set.
type ActionKind uint8

// The kinds of actions, each with the fields that it sets.
const (
	Send        ActionKind = iota + 1 // Job, Worker, Timeout
	Reject                            // Job, RetryAfter: the client may safely retry
	Fail                              // Job: an attempt may have run
	Cancel                            // Job, Attempt
	SetTimer                          // Token, Delay
	Watch                             // On
	Fetch                             // request the full list of workers once
	HealthCheck                       // Worker
	CloseIdle                         // Worker: close idle connections
	SendPeer                          // Peer, Data
	Log                               // Data
)

// AllPeers is the Peer of a SendPeer action that addresses every other dispatcher.
const AllPeers = -1

// Action is an instruction to the host. The host carries out the actions of an event at once and in order.
type Action struct {
	Kind       ActionKind
	On         bool
	Job        JobID
	Worker     WorkerID
	Attempt    int
	Token      uint32
	Peer       int
	Timeout    time.Duration // 0: no limit, the attempt may last until the client gives up
	Delay      time.Duration
	RetryAfter time.Duration
	Data       []byte
}
