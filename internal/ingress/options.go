package ingress

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/message"
)

// MessageStore stores messages and reports their outcomes.
//
// Its errors may wrap message.ErrNotStored, message.ErrNotFound and message.ErrBodyNotFound. If Put fails with any
// other error, the message may or may not be stored.
type MessageStore interface {
	// Put stores a message and returns its ID. The caller must not use the body afterwards.
	Put(ctx context.Context, submission message.Submission, ordered bool, body []byte) (id string, err error)
	// State returns the outcome of a message; its state is message.Queued until the message has ended.
	State(ctx context.Context, id string) (message.Outcome, error)
	// Body returns the body of a message that is queued or a dead letter.
	Body(ctx context.Context, id string) ([]byte, error)
}

// ControlPlane forwards operator calls to the primary of the control group.
type ControlPlane interface {
	// ForwardOperatorRequest forwards a call with its body, and returns the primary's response and the response's body.
	ForwardOperatorRequest(
		ctx context.Context, call cluster.OperatorRequest, body []byte,
	) (cluster.OperatorResponse, []byte, error)
}

// Defaults of Options.
const (
	defaultDrainAcceptDuration = 2500 * time.Millisecond
	defaultMaxBufferedBytes    = 64 << 20
)

// Options configures the handlers of this package. NewFront requires Messages and Configuration, NewOperatorHandler
// requires Control, and NewReadyHandler requires Ready.
type Options struct {
	Messages MessageStore
	Control  ControlPlane
	// Configuration returns the newest configuration, or nil while there is none.
	Configuration func() *configuration.Table
	// Ready reports whether the process can accept messages. Nil means that it always can.
	Ready  func() bool
	Logger *zap.Logger
	// DrainAcceptDuration is how long Drain still accepts connections, so that the platform's health check sees that
	// the process is not ready before connections are refused. Zero means the default of 2.5 s, a negative value no
	// time.
	DrainAcceptDuration time.Duration
	// MaxBufferedBytes is the largest total size of the message bodies in memory at a time. Zero means the default of
	// 64 MiB.
	MaxBufferedBytes int64
}

// withDefaults returns the options with defaults in place of zero values.
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
