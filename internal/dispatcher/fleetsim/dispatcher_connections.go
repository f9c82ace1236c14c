package fleetsim

// takeIdle takes an idle connection to a worker, and reports whether there was one.
func (d *dispatcher) takeIdle(s *workerView) bool {
	// A connection to an unresponsive worker still looks usable, as the worker did not close it.
	if k := len(s.idleSince); k > 0 && (s.worker.up || s.worker.unresponsive) {
		s.idleSince = s.idleSince[:k-1]
		return true
	}
	return false
}

// closeOldestIdle closes the connection that has been idle longest, and reports whether there was one.
func (d *dispatcher) closeOldestIdle() bool {
	var oldest *workerView
	for _, s := range d.workers {
		if len(s.idleSince) > 0 && (oldest == nil || s.idleSince[0] < oldest.idleSince[0]) {
			oldest = s
		}
	}
	if oldest != nil {
		oldest.idleSince = oldest.idleSince[1:]
		d.closeConnection(oldest.worker, oldest.worker.incarnation)
	}
	return oldest != nil
}

// closeConnection closes a connection to an incarnation of a worker.
func (d *dispatcher) closeConnection(w *worker, incarnation int) {
	d.connections--
	if incarnation == w.incarnation && w.up {
		w.connections--
	}
}

// keepIdle keeps a connection for reuse. It closes the connection after 4/5 of ConnectionIdleSeconds, before the worker
// would.
func (d *dispatcher) keepIdle(s *workerView) {
	s.idleSince = append(s.idleSince, d.sim.now)
	d.sim.schedule(sec(d.sim.ConnectionIdleSeconds*4/5), func() {
		for len(s.idleSince) > 0 && d.sim.now-s.idleSince[0] >= sec(d.sim.ConnectionIdleSeconds*4/5) {
			s.idleSince = s.idleSince[1:]
			d.closeConnection(s.worker, s.worker.incarnation)
		}
	})
}

// loseConnections drops all idle connections to a worker whose process has stopped.
func (d *dispatcher) loseConnections(w *worker) {
	s := d.workersByID[w.id]
	d.connections -= len(s.idleSince)
	s.idleSince = nil
}
