package syncutil

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

func closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func TestNotifierWakesOnlyEarlierWaiters(t *testing.T) {
	var notifier Notifier
	notifier.Notify() // without waiters
	first, second := notifier.Receive(), notifier.Receive()
	assert.Assert(t, !closed(first) && !closed(second))
	notifier.Notify()
	assert.Assert(t, closed(first) && closed(second))
	assert.Assert(t, !closed(notifier.Receive()), "a new waiter was woken by an earlier call of Notify")
}

func TestSemaphoreIsNeverHeldTwice(t *testing.T) {
	semaphore := NewSemaphore()
	assert.NilError(t, semaphore.Acquire(t.Context()))
	assert.Assert(t, !semaphore.TryAcquire())
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, semaphore.Acquire(ended), context.Canceled)
	semaphore.Release()
	assert.Assert(t, semaphore.TryAcquire())
}
