package syncutil

import "context"

// Semaphore is a lock whose taking can be given up.
type Semaphore chan struct{}

// NewSemaphore returns a semaphore that nobody has.
func NewSemaphore() Semaphore { return make(Semaphore, 1) }

// Acquire waits for the semaphore and takes it. It returns the context's error where the context ends before.
func (s Semaphore) Acquire(ctx context.Context) error {
	select {
	case s <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryAcquire takes the semaphore where nobody has it, and tells whether it did.
func (s Semaphore) TryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

// Release gives the semaphore back.
func (s Semaphore) Release() { <-s }
