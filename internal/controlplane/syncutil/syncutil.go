// Package syncutil holds the two means by which goroutines of the control plane wait for each other beside the
// standard ones: a Notifier, which wakes everyone who waits for something to change, and a Semaphore, which is a lock
// whose taking can be given up. Neither starts a goroutine.
package syncutil
