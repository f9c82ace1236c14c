package ingress

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/message"
)

// MessageStore stores messages and knows how they ended.
//
// Its errors may wrap message.ErrNotStored, message.ErrNotFound and message.ErrBodyNotFound. After any other error of
// Put, the message may or may not be stored.
type MessageStore interface {
	// Put stores a message and returns its ID. The body belongs to the callee from then on.
	Put(ctx context.Context, submission message.Submission, ordered bool, body []byte) (id string, err error)
	// State returns how a message ended, or message.Queued.
	State(ctx context.Context, id string) (message.Outcome, error)
	// Body returns the body of a message that is queued or dead.
	Body(ctx context.Context, id string) ([]byte, error)
}

// ControlPlane forwards the operator's calls to the control group's primary.
type ControlPlane interface {
	// ForwardOperatorRequest makes a call with its body, and returns the primary's answer with its body.
	ForwardOperatorRequest(
		ctx context.Context, call cluster.OperatorRequest, body []byte,
	) (cluster.OperatorResponse, []byte, error)
}

// Defaults of the options.
const (
	defaultDrainAcceptDuration = 2500 * time.Millisecond
	defaultMaxBufferedBytes    = 64 << 20
)

// Options are what the handlers of this package work with. NewFront needs Messages and Configuration,
// NewControlHandler needs Control, and NewReadyHandler needs Ready.
type Options struct {
	Messages MessageStore
	Control  ControlPlane
	// Configuration returns the newest configuration, or nil while there is none.
	Configuration func() *configuration.Table
	// Ready reports whether the process can accept messages. Nil stands for a process that always can.
	Ready  func() bool
	Logger *zap.Logger
	// DrainAcceptDuration is how long Drain goes on accepting connections, so that the platform notices first. Zero
	// stands for the default of 2.5 s, a negative value for no time at all.
	DrainAcceptDuration time.Duration
	// MaxBufferedBytes bounds the sum of the bodies in memory at a time. Zero stands for the default of 64 MiB.
	MaxBufferedBytes int64
}

// withDefaults fills what was left out.
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
		o.DrainAcceptDuration = defaultDrainAcceptDuration
	}
	if o.MaxBufferedBytes == 0 {
		o.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	return o
}
