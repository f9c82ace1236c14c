package replication

// semaphore is a lock that is held across calls and disk writes, where a mutex should not be.
type semaphore chan struct{}

func newSemaphore() semaphore { return make(semaphore, 1) }
func (g semaphore) acquire()  { g <- struct{}{} }
func (g semaphore) release()  { <-g }

// tryAcquire enters if nobody else is in.
func (g semaphore) tryAcquire() bool {
	select {
	case g <- struct{}{}:
		return true
	default:
		return false
	}
}
