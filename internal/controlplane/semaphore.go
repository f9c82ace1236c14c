package controlplane

import "context"

// semaphore is a lock whose taking can be given up.
type semaphore chan struct{}

func newSemaphore() semaphore { return make(semaphore, 1) }

func (s semaphore) lock(ctx context.Context) error {
	select {
	case s <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s semaphore) unlock() { <-s }
