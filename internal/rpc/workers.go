package rpc

// maxIdleWorkers is how many goroutines a server retains for the next calls, with the stacks that earlier calls grew.
const maxIdleWorkers = 8

// receivedCall is a call to carry out.
type receivedCall struct {
	connection *serverConnection
	id         uint64
	call       *Call
}

// dispatch gives a call to an idle worker, or to a new one.
func (s *Server) dispatch(next receivedCall) {
	select {
	case s.calls <- next:
	default:
		go s.work(next)
	}
}

// work carries out calls until there are enough idle workers, or until the server is closed.
func (s *Server) work(current receivedCall) {
	for {
		current.connection.respond(current)
		current = receivedCall{} // an idle worker keeps no body in memory
		if s.idleWorkers.Add(1) > maxIdleWorkers {
			s.idleWorkers.Add(-1)
			return
		}
		select {
		case current = <-s.calls:
			s.idleWorkers.Add(-1)
		case <-s.done:
			return
		}
	}
}
