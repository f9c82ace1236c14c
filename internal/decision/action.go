package decision

import "time"

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The actions, with the fields that count.
const (
	Send        ActionKind = iota + 1 // Job, Worker, Timeout
	Reject                            // Job, RetryAfter: trying again is harmless
	Fail                              // Job: no promise about what it did
	Cancel                            // Job, Attempt
	SetTimer                          // Token, Delay
	Watch                             // On
	Fetch                             // ask for the whole list once
	HealthCheck                       // Worker
	CloseIdle                         // Worker: close idle connections
	SendPeer                          // Peer, Data
	Log                               // Data
)

// AllPeers as the Peer of a SendPeer action reaches every other dispatcher.
const AllPeers = -1

// Action is one thing that the host is to do, now and in order.
type Action struct {
	Kind       ActionKind
	On         bool
	Job        JobID
	Worker     WorkerID
	Attempt    int
	Token      uint32
	Peer       int
	Timeout    time.Duration // 0: until the client gives up
	Delay      time.Duration
	RetryAfter time.Duration
	Data       []byte
}
