package decision

// The tokens of timers. Those of calls to discovery count on from the last one here.
const (
	checkToken      uint32 = 0 // look at the open jobs
	drainCloseToken uint32 = 1 // close idle connections to draining workers once more
)
