// Package syncutil holds two means of synchronisation that the standard library lacks: a Notifier, which wakes all
// goroutines that wait for a change, and a Semaphore, which is a lock whose Acquire is cancelled by the end of a
// context. Neither starts a goroutine.
package syncutil
