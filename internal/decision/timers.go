package decision

// Tokens of timers. The tokens of discovery calls count up from the last one here.
const (
	checkToken      uint32 = 0 // check the open jobs
	drainCloseToken uint32 = 1 // close idle connections to draining workers again
)
