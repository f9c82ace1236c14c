package replication

// semaphore is a lock that is held across calls and disk writes. It is a channel because the simulated time of tests
// does not advance while a goroutine waits for a sync.Mutex.
type semaphore chan struct{}

// newSemaphore returns a free semaphore.
func newSemaphore() semaphore { return make(semaphore, 1) }
func (s semaphore) acquire()  { s <- struct{}{} }
func (s semaphore) release()  { <-s }

// tryAcquire acquires the semaphore if it is free, and reports whether it did.
func (s semaphore) tryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}
