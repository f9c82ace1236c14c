// Package ctxtime waits for times within contexts.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for a duration, or until the context ends. It tells whether the duration has passed. A duration of zero or
// less has passed at once, unless the context has ended.
func Sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
