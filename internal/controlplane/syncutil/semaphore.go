package syncutil

import "context"

// Semaphore is a lock whose Acquire is cancelled by the end of a context.
type Semaphore chan struct{}

// NewSemaphore returns a free semaphore.
func NewSemaphore() Semaphore { return make(Semaphore, 1) }

// Acquire waits for the semaphore and acquires it. If the context ends first, it returns the context's error.
func (s Semaphore) Acquire(ctx context.Context) error {
	select {
	case s <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryAcquire acquires the semaphore if it is free, and reports whether it did.
func (s Semaphore) TryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

// Release releases the semaphore.
func (s Semaphore) Release() { <-s }
