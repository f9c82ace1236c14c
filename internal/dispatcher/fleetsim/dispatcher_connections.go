package fleetsim

// takeIdle takes an idle connection, and tells whether there was one.
func (n *dispatcher) takeIdle(s *workerView) bool {
	if k := len(s.idleSince); k > 0 && (s.worker.up || s.worker.unresponsive) { // nothing shows that a worker does not answer any more
		s.idleSince = s.idleSince[:k-1]
		return true
	}
	return false
}

// closeOldestIdle closes the connection that has been idle longest, and tells whether there was one.
func (n *dispatcher) closeOldestIdle() bool {
	var oldest *workerView
	for _, s := range n.workers {
		if len(s.idleSince) > 0 && (oldest == nil || s.idleSince[0] < oldest.idleSince[0]) {
			oldest = s
		}
	}
	if oldest != nil {
		oldest.idleSince = oldest.idleSince[1:]
		n.closeConnection(oldest.worker, oldest.worker.incarnation)
	}
	return oldest != nil
}

// closeConnection closes a connection to an incarnation of a worker.
func (n *dispatcher) closeConnection(w *worker, incarnation int) {
	n.connections--
	if incarnation == w.incarnation && w.up {
		w.connections--
	}
}

// keepIdle keeps a connection for reuse, for a time somewhat shorter than that after which the worker would close it.
func (n *dispatcher) keepIdle(s *workerView) {
	s.idleSince = append(s.idleSince, n.sim.now)
	n.sim.schedule(sec(n.sim.ConnectionIdleSeconds*4/5), func() {
		for len(s.idleSince) > 0 && n.sim.now-s.idleSince[0] >= sec(n.sim.ConnectionIdleSeconds*4/5) {
			s.idleSince = s.idleSince[1:]
			n.closeConnection(s.worker, s.worker.incarnation)
		}
	})
}

// loseConnections forgets all idle connections to a worker that stopped.
func (n *dispatcher) loseConnections(w *worker) {
	s := n.workersByID[w.id]
	n.connections -= len(s.idleSince)
	s.idleSince = nil
}
