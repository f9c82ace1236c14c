package systemnode

import "runtime"

// diskThreads is how many threads of a process wait for its disk at a time: the log has at most one flush in
// progress.
const diskThreads = 1

// threadsFor returns how many threads may run Go code at once in a process that has a number of processors. The
// runtime takes a thread that waits for a disk's sync for one that works: until its monitor notices, up to 10 ms
// later, that thread keeps its processor. So a process with one processor and a disk would stand still during most
// of its syncs.
func threadsFor(processors int, hasDisk bool) int {
	if !hasDisk {
		return processors
	}
	return processors + diskThreads
}

// reserveDiskThreads makes the runtime go on while a thread waits for the disk, where there is one.
func reserveDiskThreads(hasDisk bool) {
	runtime.GOMAXPROCS(threadsFor(runtime.GOMAXPROCS(0), hasDisk))
}
