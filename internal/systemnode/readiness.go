package systemnode

import (
	"context"
	"time"

	"gladepick/internal/ingress"
	"gladepick/internal/message"
)

// recordStored records the current time as that of the last stored message.
func (f *Front) recordStored() { f.lastStored.Store(int64(time.Since(f.started))) }

// ready reports whether a message could be stored now. The front must not be draining, it must have a configuration,
// and a partition must have a complete replica group. In addition, the control plane must have confirmed the snapshots
// as current, or the stores must have stored a message within readyAfterStored. Therefore a front that can't reach the
// control plane stays ready as long as its messages are stored.
func (f *Front) ready() bool {
	if f.draining.Load() || f.table.Load() == nil || !f.stores.Ready() {
		return false
	}
	stored := time.Duration(f.lastStored.Load())
	return f.agent.UpToDate() || stored > 0 && time.Since(f.started)-stored < readyAfterStored
}

// storedTimeRecorder is a MessageStore that calls a function after each message that was stored.
type storedTimeRecorder struct {
	ingress.MessageStore
	stored func()
}

// Put implements ingress.MessageStore.
func (r storedTimeRecorder) Put(
	ctx context.Context, submission message.Submission, ordered bool, body []byte,
) (string, error) {
	id, err := r.MessageStore.Put(ctx, submission, ordered, body)
	if err == nil {
		r.stored()
	}
	return id, err
}
