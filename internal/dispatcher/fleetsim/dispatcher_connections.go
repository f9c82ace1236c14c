package fleetsim

// takeIdle takes an idle connection to a worker, and reports whether there was one.
func (d *dispatcher) takeIdle(view *workerView) bool {
	// A connection to an unresponsive worker still looks usable, as the worker did not close it.
	if count := len(view.idleSince); count > 0 && (view.worker.up || view.worker.unresponsive) {
		view.idleSince = view.idleSince[:count-1]
		return true
	}
	return false
}

// closeOldestIdle closes the connection that has been idle longest, and reports whether there was one.
func (d *dispatcher) closeOldestIdle() bool {
	var oldest *workerView
	for _, view := range d.workers {
		if len(view.idleSince) > 0 && (oldest == nil || view.idleSince[0] < oldest.idleSince[0]) {
			oldest = view
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
func (d *dispatcher) keepIdle(view *workerView) {
	view.idleSince = append(view.idleSince, d.sim.now)
	d.sim.schedule(sec(d.sim.ConnectionIdleSeconds*4/5), func() {
		for len(view.idleSince) > 0 && d.sim.now-view.idleSince[0] >= sec(d.sim.ConnectionIdleSeconds*4/5) {
			view.idleSince = view.idleSince[1:]
			d.closeConnection(view.worker, view.worker.incarnation)
		}
	})
}

// loseConnections drops all idle connections to a worker whose process has stopped.
func (d *dispatcher) loseConnections(w *worker) {
	view := d.workersByID[w.id]
	d.connections -= len(view.idleSince)
	view.idleSince = nil
}
