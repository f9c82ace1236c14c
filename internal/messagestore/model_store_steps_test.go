//go:build !race

package messagestore

// tableSteps make a store apply newer views and renew its lease.
func (m *partitionModel) tableSteps(state *modelState, store int, add addStep) {
	for number := state.stores[store].view + 1; number <= state.count; number++ {
		next := *state
		next.apply(store, number)
		add(next, "%s applies view %d", storeName(store), number)
	}
	if !state.stores[store].hasLease {
		next := *state
		m.rules.onLeaseRenewal(&next, store)
		next.stores[store].hasLease = true
		add(next, "%s gets a lease", storeName(store))
	}
}

// leaseSteps end leases from the control plane and from backups.
func (m *partitionModel) leaseSteps(state *modelState, store int, add addStep) {
	s := &state.stores[store]
	if s.hasLease {
		next := *state
		next.stores[store].hasLease = false
		next.recovering = true
		add(next, "the lease of %s ends", storeName(store))
	}
	for other := range modelStores {
		if s.backupLeases.has(other) {
			next := *state
			next.stores[store].backupLeases = s.backupLeases.without(other)
			add(next, "%s no longer counts on the lease from %s", storeName(store), storeName(other))
		}
		for _, granter := range s.grantersTo(other) {
			if !state.stores[other].backupLeases.has(granter) {
				next := *state
				next.stores[store].knownGrants[granter] = s.knownGrants[granter].without(other)
				add(next, "%s knows that the lease from %s to %s has ended", storeName(store), storeName(granter), storeName(other))
			}
		}
	}
}

// recoverySteps end the time after a fault in which replicas catch up. After that, another fault must be tolerated.
func (m *partitionModel) recoverySteps(state *modelState, add addStep) {
	if !state.recovering || state.syncedAvailable().count() < m.limits.replicas {
		return
	}
	for store := range modelStores {
		if !state.stores[store].removed && !state.stores[store].hasLease {
			return
		}
	}
	next := *state
	next.recovering = false
	add(next, "the replicas have caught up")
}

// mayLoseDisk reports whether a disk may be lost now.
func (m *partitionModel) mayLoseDisk(state *modelState) bool {
	if m.limits.overlappingLosses {
		return true
	}
	if m.limits.earlyLosses {
		return state.syncedAvailable() == state.current().replicas()
	}
	return !state.recovering
}

// faultSteps are restarts and lost disks. Unless the limits allow more, a disk is lost only after the replicas have
// caught up since the previous fault.
func (m *partitionModel) faultSteps(state *modelState, store int, add addStep) {
	if state.crashes < m.limits.crashes {
		next := *state
		next.crashes++
		next.restart(store)
		add(next, "%s restarts", storeName(store))
	}
	if state.losses < m.limits.losses && m.mayLoseDisk(state) {
		next := *state
		next.losses++
		next.restart(store)
		lost := &next.stores[store]
		lost.disk++
		lost.stored, lost.epoch, lost.settled = 0, 0, 0
		add(next, "%s loses its disk", storeName(store))
	}
}

// settleStep records on a primary's disk that all grants of leases to others which it knows of have ended.
func (m *partitionModel) settleStep(state *modelState, store int, add addStep) {
	s := &state.stores[store]
	if m.limits.crashes+m.limits.losses == 0 || s.fenced || s.knownGrants != [modelStores]storeSet{} {
		return
	}
	next := *state
	next.stores[store].settled = s.epoch
	add(next, "%s is settled", storeName(store))
}

// primarySteps are the steps of a primary: it accepts and acknowledges messages, calls its backups and hands over.
func (m *partitionModel) primarySteps(state *modelState, store int, add addStep) {
	s := &state.stores[store]
	view := state.applied(store)
	if !view.synced.has(store) {
		m.collectSteps(state, store, add)
		return
	}
	m.settleStep(state, store, add)
	for number := range m.limits.messages {
		if !state.accepted.has(number) && !s.fenced {
			next := *state
			next.accepted = state.accepted.with(number)
			p := &next.stores[store]
			p.stored, p.pending = p.stored.with(number), p.pending.with(number)
			add(next, "%s accepts message %d", storeName(store), number)
		}
		if s.pending.has(number) && m.rules.committed(view, s.confirmations[number]) {
			next := *state
			p := &next.stores[store]
			p.pending &^= 1 << number
			p.confirmations[number] = 0
			next.acknowledged = state.acknowledged.with(number)
			add(next, "%s acknowledges message %d", storeName(store), number)
		}
	}
	for to := range modelStores {
		if view.backups.has(to) && !state.stores[to].removed {
			m.backupSteps(state, store, to, add)
		}
	}
	m.handoverSteps(state, store, add)
}

// acceptCall makes a backup accept a call under its primary's epoch, with the grants that the primary waits for. It
// returns false if the backup rejects the call.
func (m *partitionModel) acceptCall(s *modelState, from, to int) bool {
	epoch := s.stores[from].epoch
	backup := &s.stores[to]
	if epoch < backup.epoch || backup.isPrimary && epoch == backup.epoch {
		s.stores[from].fenced = true
		return false
	}
	if backup.isPrimary {
		backup.stepDown()
	}
	backup.epoch = epoch
	if !m.rules.omitsGrants {
		for granter, formers := range s.stores[from].knownGrants {
			backup.knownGrants[granter] |= formers
		}
	}
	return true
}

// backupSteps are a primary's calls to a backup: replication, inventory and lease. Each record is stored once with its
// confirmation and once with the confirmation lost.
func (m *partitionModel) backupSteps(state *modelState, from, to int, add addStep) {
	if !m.rules.isTarget(state.applied(from), state, to) {
		return
	}
	s := &state.stores[from]
	rejected := *state
	if !m.acceptCall(&rejected, from, to) {
		if m.rules.grantOnRejection {
			rejected.stores[from].fenced = s.fenced
			rejected.stores[from].backupLeases = s.backupLeases.with(to)
		}
		add(rejected, "%s rejects %s", storeName(to), storeName(from))
		return
	}
	for number := range m.limits.messages {
		if !s.stored.has(number) {
			continue
		}
		next := *state
		m.acceptCall(&next, from, to)
		next.stores[to].stored = next.stores[to].stored.with(number)
		add(next, "%s logs message %d of %s, the confirmation is lost", storeName(to), number, storeName(from))
		if s.pending.has(number) {
			next.stores[from].confirmations[number] = s.confirmations[number].with(to)
		} else {
			next.stores[from].knownStored[to] = s.knownStored[to].with(number)
		}
		add(next, "%s logs message %d of %s and confirms it", storeName(to), number, storeName(from))
	}
	next := *state
	m.acceptCall(&next, from, to)
	next.stores[from].knownStored[to] = s.knownStored[to] | state.stores[to].stored
	next.stores[from].inventoried = s.inventoried.with(to)
	add(next, "%s sends %s its inventory", storeName(to), storeName(from))
	if !s.hasLease {
		next := *state
		m.acceptCall(&next, from, to)
		next.stores[to].knownGrants[to] = next.stores[to].knownGrants[to].with(from)
		next.stores[from].backupLeases = s.backupLeases.with(to)
		add(next, "%s grants a lease to %s", storeName(to), storeName(from))
	}
}

// handoverSteps begin and end a handover: deliveries stop, the control plane is asked, and deliveries resume only after
// a definite rejection.
func (m *partitionModel) handoverSteps(state *modelState, store int, add addStep) {
	s := &state.stores[store]
	if !m.limits.handovers {
		return
	}
	next := *state
	next.stores[store].paused = !s.paused
	mayResume := state.current().epoch == s.epoch || m.rules.resumesOnUnknownOutcome
	if !s.paused || mayResume {
		add(next, "%s pauses: %v", storeName(store), !s.paused)
	}
}
