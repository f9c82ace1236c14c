package rpc

// maxIdleWorkers is the largest number of idle worker goroutines of a server. An idle worker is reused together with
// the stack that earlier calls have grown.
const maxIdleWorkers = 8

// receivedCall is a call that a worker has to execute.
type receivedCall struct {
	connection *serverConnection
	id         uint64
	call       *Call
}

// dispatch passes a call to an idle worker, or to a new one if none is idle.
func (s *Server) dispatch(next receivedCall) {
	select {
	case s.calls <- next:
	default:
		go s.work(next)
	}
}

// work is the goroutine of a worker. It executes calls until maxIdleWorkers other workers are idle, or until the server
// is closed.
func (s *Server) work(current receivedCall) {
	for {
		current.connection.respond(current)
		current = receivedCall{} // so that an idle worker keeps no body in memory
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
