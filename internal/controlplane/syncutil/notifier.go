package syncutil

import "sync"

// Notifier wakes all goroutines that wait for a change. The zero value is ready to use.
type Notifier struct {
	mutex   sync.Mutex
	waiting chan struct{} // nil while no goroutine waits
}

// Receive returns a channel that is closed by the next call of Notify. A caller that gets the channel before it reads
// the observed state misses no change.
func (n *Notifier) Receive() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.waiting == nil {
		n.waiting = make(chan struct{})
	}
	return n.waiting
}

// Notify closes the channel that earlier calls of Receive have returned.
func (n *Notifier) Notify() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.waiting != nil {
		close(n.waiting)
		n.waiting = nil
	}
}
