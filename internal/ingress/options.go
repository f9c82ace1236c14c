// Package ingress is the HTTP side of a front: it takes clients' messages, answers questions about them, passes the
// operator's calls on to the control plane, and says whether the process is ready for new connections.
package ingress

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/message"
)

// MessageStore keeps messages and knows how they ended.
//
// Its errors may wrap message.ErrNotKept, message.ErrUnknown and message.ErrNoBody. After any other error of Put, the
// message may or may not be kept.
type MessageStore interface {
	// Put keeps a message and returns its ID. The body belongs to the callee from then on.
	Put(ctx context.Context, submission message.Submission, ordered bool, body []byte) (id string, err error)
	// State returns how a message ended, or message.Queued.
	State(ctx context.Context, id string) (message.Outcome, error)
	// Body returns the body of a message that is queued or dead.
	Body(ctx context.Context, id string) ([]byte, error)
}

// ControlPlane carries the operator's calls to the control group's primary.
type ControlPlane interface {
	Operator(ctx context.Context, call cluster.OperatorCall, body []byte) (cluster.OperatorResponse, []byte, error)
}

// Defaults of the options.
const (
	defaultDrainAccept      = 2500 * time.Millisecond
	defaultMaxBufferedBytes = 64 << 20
)

// Options are what the handlers of this package work with. NewFront needs Messages and Configuration,
// NewControlHandler needs Control, and NewReadyHandler needs Ready.
type Options struct {
	Messages MessageStore
	Control  ControlPlane
	// Configuration returns the newest configuration, or nil while there is none.
	Configuration func() *configuration.Table
	// Ready tells whether the process can take messages. Nil stands for a process that always can.
	Ready  func() bool
	Logger *zap.Logger
	// DrainAcceptDuration is how long Drain goes on accepting connections, so that the platform notices first. Zero stands for
	// the default, a negative value for no time at all.
	DrainAcceptDuration time.Duration
	// MaxBufferedBytes bounds the sum of the bodies held in memory at a time. Zero stands for the default.
	MaxBufferedBytes int64
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Ready == nil {
		o.Ready = func() bool { return true }
	}
	if o.Configuration == nil {
		o.Configuration = func() *configuration.Table { return nil }
	}
	if o.DrainAcceptDuration == 0 {
		o.DrainAcceptDuration = defaultDrainAccept
	}
	if o.MaxBufferedBytes == 0 {
		o.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	return o
}

// Counters counts what a front has answered since its start.
type Counters struct {
	Accepted       atomic.Uint64 // 202: the message is kept
	Rejected       atomic.Uint64 // 503: the message is not kept and will never run
	OutcomeUnknown atomic.Uint64 // 502: the message may be kept
	NoRoute        atomic.Uint64 // 404: no route matches
	Invalid        atomic.Uint64 // any other 4xx to a message
	MessageQueries atomic.Uint64 // questions about a message's state or body
}
