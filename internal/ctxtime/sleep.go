// Package ctxtime waits for durations that a context may cut short. It owns no goroutines and no locks.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for a duration, or until the context ends, and reports whether the whole duration has passed. For a
// duration of zero or less it returns at once, and reports whether the context has not ended.
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
