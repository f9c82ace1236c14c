package syncutil

import "sync"

// Notifier wakes everyone who waits for something to change. The zero value is ready to use.
type Notifier struct {
	mutex   sync.Mutex
	waiting chan struct{} // nil while nobody waits
}

// Receive returns a channel that is closed by the next call of Notify. Who takes it before looking at what may change
// misses no change.
func (n *Notifier) Receive() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.waiting == nil {
		n.waiting = make(chan struct{})
	}
	return n.waiting
}

// Notify wakes all who wait now.
func (n *Notifier) Notify() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.waiting != nil {
		close(n.waiting)
		n.waiting = nil
	}
}
