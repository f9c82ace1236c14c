// Package ctxtime provides a sleep that ends early if its context ends. It starts no goroutines and has no locks.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for the duration or until the context ends, and reports whether the whole duration has passed. If the
// duration is zero or negative, Sleep returns at once and reports whether the context is still active.
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
