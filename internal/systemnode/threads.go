package systemnode

import "runtime"

// diskThreads is the number of threads of a process that wait for its disk at the same time. It is 1, because the
// message log has at most one flush in progress.
const diskThreads = 1

// threadsFor returns the value of GOMAXPROCS for a process with the given number of processors. A disk adds one. A
// thread that is blocked in a sync of the disk counts as running until the runtime's monitor notices it, which takes
// up to 10 ms. Without the additional thread, a process with one processor would run no Go code during most syncs.
func threadsFor(processors int, hasDisk bool) int {
	if !hasDisk {
		return processors
	}
	return processors + diskThreads
}

// reserveDiskThreads raises GOMAXPROCS in a process with a disk, so that Go code runs while a thread waits for the
// disk. It must be called once per process, since each call raises the value again.
func reserveDiskThreads(hasDisk bool) {
	runtime.GOMAXPROCS(threadsFor(runtime.GOMAXPROCS(0), hasDisk))
}
