package controlplane

import "sync"

// broadcast wakes everyone who waits for something to change. The zero value is ready to use.
type broadcast struct {
	mutex   sync.Mutex
	waiting chan struct{}
}

// next returns a channel that is closed by the next call of fire.
func (b *broadcast) next() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.waiting == nil {
		b.waiting = make(chan struct{})
	}
	return b.waiting
}

// fire wakes all who wait now.
func (b *broadcast) fire() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.waiting != nil {
		close(b.waiting)
		b.waiting = nil
	}
}
