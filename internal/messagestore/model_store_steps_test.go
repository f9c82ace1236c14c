//go:build !race

package messagestore

// table has a store hear of newer views.
func (m *partitionModel) tableSteps(state *modelState, store int, add addStep) {
	for number := state.stores[store].view + 1; number <= state.count; number++ {
		next := *state
		next.apply(store, number)
		add(next, "%s hears of view %d", storeName(store), number)
	}
	if !state.stores[store].leased {
		next := *state
		m.rules.renews(&next, store)
		next.stores[store].leased = true
		add(next, "%s gets a lease", storeName(store))
	}
}

// time ends leases of the control plane and of backups.
func (m *partitionModel) leaseSteps(state *modelState, store int, add addStep) {
	s := &state.stores[store]
	if s.leased {
		next := *state
		next.stores[store].leased = false
		next.recovering = true
		add(next, "the lease of %s ends", storeName(store))
	}
	for other := range modelStores {
		if s.grants.has(other) {
			next := *state
			next.stores[store].grants = s.grants.without(other)
			add(next, "%s counts on the lease from %s no more", storeName(store), storeName(other))
		}
		for _, giver := range s.grantersTo(other) {
			if !state.stores[other].grants.has(giver) {
				next := *state
				next.stores[store].granted[giver] = s.granted[giver].without(other)
				add(next, "%s knows that the lease from %s to %s is over", storeName(store), storeName(giver), storeName(other))
			}
		}
	}
}

// catchUp is the time after a trouble in which what it has damaged is made whole again, for as long as losses may be borne
// one by one.
func (m *partitionModel) recoverySteps(state *modelState, add addStep) {
	if !state.recovering || state.syncedAlive().count() < m.limits.replicas {
		return
	}
	for store := range modelStores {
		if !state.stores[store].removed && !state.stores[store].leased {
			return
		}
	}
	next := *state
	next.recovering = false
	add(next, "the trouble is over")
}

// mayLose tells whether a disk may be lost now.
func (m *partitionModel) mayLose(state *modelState) bool {
	if m.limits.losesEarly {
		return state.syncedAlive() == state.current().replicas()
	}
	return !state.recovering
}

// faults are restarts and lost disks. Losses come one after the other, each when the trouble before is over.
func (m *partitionModel) faultSteps(state *modelState, store int, add addStep) {
	if state.crashes < m.limits.crashes {
		next := *state
		next.crashes++
		next.restart(store)
		add(next, "%s restarts", storeName(store))
	}
	if state.losses < m.limits.losses && m.mayLose(state) {
		next := *state
		next.losses++
		next.restart(store)
		lost := &next.stores[store]
		lost.disk++
		lost.holds, lost.epoch = 0, 0
		add(next, "%s loses its disk", storeName(store))
	}
}

// leads are the steps of a primary.
func (m *partitionModel) primarySteps(state *modelState, store int, add addStep) {
	s := &state.stores[store]
	view := state.applied(store)
	for number := range m.limits.messages {
		if !state.accepted.has(number) && !s.fenced {
			next := *state
			next.accepted = state.accepted.with(number)
			p := &next.stores[store]
			p.holds, p.pending = p.holds.with(number), p.pending.with(number)
			add(next, "%s takes message %d", storeName(store), number)
		}
		if s.pending.has(number) && m.rules.committed(view, s.acks[number]) {
			next := *state
			p := &next.stores[store]
			p.pending &^= 1 << number
			p.acks[number] = 0
			next.acked = state.acked.with(number)
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

// follow has a backup take a call under its primary's epoch, with the grants that this one waits for. It tells false where
// the call is refused.
func (m *partitionModel) follow(s *modelState, from, to int) bool {
	epoch := s.stores[from].epoch
	backup := &s.stores[to]
	if epoch < backup.epoch || backup.leading && epoch == backup.epoch {
		s.stores[from].fenced = true
		return false
	}
	if backup.leading {
		backup.stepDown()
	}
	backup.epoch = epoch
	if !m.rules.keepsGrants {
		for giver, formers := range s.stores[from].granted {
			backup.granted[giver] |= formers
		}
	}
	return true
}

// calls are what a primary asks of a backup.
func (m *partitionModel) backupSteps(state *modelState, from, to int, add addStep) {
	if !m.rules.isTarget(state.applied(from), state, to) {
		return
	}
	s := &state.stores[from]
	refused := *state
	if !m.follow(&refused, from, to) {
		if m.rules.grantOnRefusal {
			refused.stores[from].fenced = s.fenced
			refused.stores[from].grants = s.grants.with(to)
		}
		add(refused, "%s refuses %s", storeName(to), storeName(from))
		return
	}
	for number := range m.limits.messages {
		if !s.holds.has(number) {
			continue
		}
		next := *state
		m.follow(&next, from, to)
		next.stores[to].holds = next.stores[to].holds.with(number)
		add(next, "%s logs message %d of %s", storeName(to), number, storeName(from))
		if s.pending.has(number) {
			next.stores[from].acks[number] = s.acks[number].with(to)
		} else {
			next.stores[from].confirmed[to] = s.confirmed[to].with(number)
		}
		add(next, "%s logs message %d of %s, which hears of it", storeName(to), number, storeName(from))
	}
	next := *state
	m.follow(&next, from, to)
	next.stores[from].confirmed[to] = s.confirmed[to] | state.stores[to].holds
	next.stores[from].inventoried = s.inventoried.with(to)
	add(next, "%s tells %s what it holds", storeName(to), storeName(from))
	if !s.leased {
		next := *state
		m.follow(&next, from, to)
		next.stores[to].granted[to] = next.stores[to].granted[to].with(from)
		next.stores[from].grants = s.grants.with(to)
		add(next, "%s grants a lease to %s", storeName(to), storeName(from))
	}
}

// handover is a change of the primary on purpose: deliveries stop, the control plane is asked, and the store goes on only
// after a clear refusal.
func (m *partitionModel) handoverSteps(state *modelState, store int, add addStep) {
	s := &state.stores[store]
	if !m.limits.handovers {
		return
	}
	next := *state
	next.stores[store].paused = !s.paused
	refusable := state.current().epoch == s.epoch || m.rules.resumesBlindly
	if !s.paused || refusable {
		add(next, "%s pauses: %v", storeName(store), !s.paused)
	}
}
