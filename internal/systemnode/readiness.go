package systemnode

import (
	"context"
	"time"

	"gladepick/internal/ingress"
	"gladepick/internal/message"
)

// noteStored records that the stores have just accepted a message.
func (f *Front) noteStored() { f.lastStored.Store(int64(time.Since(f.started))) }

// ready tells whether a message could be stored now: there are a configuration and stores with partitions, and the
// control plane or the stores have answered lately. A front whose control plane is away stays ready while its
// messages are stored.
func (f *Front) ready() bool {
	if f.draining.Load() || f.table.Load() == nil || !f.stores.Ready() {
		return false
	}
	stored := time.Duration(f.lastStored.Load())
	return f.agent.UpToDate() || stored > 0 && time.Since(f.started)-stored < readyAfterStored
}

// storedTimeRecorder calls a function whenever a message was stored.
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
