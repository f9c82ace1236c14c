package replication

// gate is a lock that is held across calls and disk writes, where a mutex should not be.
type gate chan struct{}

func newGate() gate { return make(gate, 1) }

func (g gate) enter() { g <- struct{}{} }

func (g gate) leave() { <-g }

// tryEnter enters if nobody else is in.
func (g gate) tryEnter() bool {
	select {
	case g <- struct{}{}:
		return true
	default:
		return false
	}
}
