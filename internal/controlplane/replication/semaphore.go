package replication

// semaphore is a lock that is held across calls and disk writes. It is a channel, as simulated time stands still
// while a goroutine waits for a sync.Mutex.
type semaphore chan struct{}

// newSemaphore returns a semaphore that nobody holds.
func newSemaphore() semaphore { return make(semaphore, 1) }
func (g semaphore) acquire()  { g <- struct{}{} }
func (g semaphore) release()  { <-g }

// tryAcquire acquires the semaphore unless somebody holds it, and reports whether it did.
func (g semaphore) tryAcquire() bool {
	select {
	case g <- struct{}{}:
		return true
	default:
		return false
	}
}
