//go:build !race

package messagestore

// controlSteps are the changes of the table: failover, replacement of a dead backup, requests of primaries, and
// decommissioning.
func (m *partitionModel) controlSteps(state *modelState, add addStep) {
	view := state.current()
	m.beginRecoverySteps(state, add)
	if !view.synced.has(int(view.primary)) {
		return // the primary is collecting
	}
	primaryAvailable := state.isAvailable(view, int(view.primary)) && state.stores[view.primary].hasLease
	for store := range modelStores {
		if !view.replicas().has(store) {
			continue
		}
		dead := !state.isAvailable(view, store) || m.rules.mayPromote(&state.stores[store])
		switch {
		case store == int(view.primary) && dead:
			m.promote(state, add)
		case store != int(view.primary) && dead && primaryAvailable:
			m.replace(state, store, "replaces", add)
		}
	}
	for store := range modelStores {
		m.requestSteps(state, store, add)
	}
	m.retireSteps(state, add)
}

// addView adds the step that makes a view current.
func (m *partitionModel) addView(state *modelState, view partitionView, format string, args []any, add addStep) {
	if m.rules.retainsReplicas {
		m.retain(state.current(), &view)
	}
	next := *state
	next.views[next.count] = view
	next.count++
	add(next, format, args...)
}

// promote makes a synced backup the primary. The former primary leaves the group if another store can take its place.
func (m *partitionModel) promote(state *modelState, add addStep) {
	view := state.current()
	former := int(view.primary)
	for store := range modelStores {
		if store == former || !state.syncedAvailable().has(store) {
			continue
		}
		next := *view
		next.epoch++
		next.primary = int8(store)
		next.backups = view.backups.without(store)
		if spare, found := m.spare(state, view); found {
			m.addUnsynced(state, &next, spare)
			next.synced = next.synced.without(former)
		} else {
			next.backups = next.backups.with(former)
		}
		m.addView(state, next, "the table promotes %s", []any{storeName(store)}, add)
	}
}

// spare returns a store that is not a replica in a view and may become one.
func (m *partitionModel) spare(state *modelState, view *partitionView) (int, bool) {
	for store := range modelStores {
		if !state.stores[store].removed && !view.replicas().has(store) && int(state.retiring) != store+1 {
			return store, true
		}
	}
	return 0, false
}

// addUnsynced adds an unsynced backup to a view.
func (m *partitionModel) addUnsynced(state *modelState, view *partitionView, store int) {
	view.backups = view.backups.with(store)
	view.synced = view.synced.without(store)
	view.disks[store] = state.stores[store].disk
}

// replace replaces a backup by a spare store, or by the same store with a new disk.
func (m *partitionModel) replace(state *modelState, dropped int, verb string, add addStep) {
	view := state.current()
	spare, found := m.spare(state, view)
	if !found && !state.isAvailable(view, dropped) && !state.stores[dropped].removed {
		spare, found = dropped, true
	}
	if !found {
		return
	}
	next := *view
	next.epoch++
	next.backups = view.backups.without(dropped)
	next.synced = view.synced.without(dropped)
	m.addUnsynced(state, &next, spare)
	m.addView(state, next, "the table %s %s by %s", []any{verb, storeName(dropped), storeName(spare)}, add)
}

// requestSteps are the requests of a primary to the control plane: to mark a backup as synced, to replace a backup, and
// to hand over.
func (m *partitionModel) requestSteps(state *modelState, store int, add addStep) {
	s := &state.stores[store]
	view := state.current()
	isPrimary := int(view.primary) == store && view.epoch == s.epoch
	if !s.isPrimary || s.removed || !isPrimary {
		return
	}
	for backup := range modelStores {
		if !view.backups.has(backup) {
			continue
		}
		committed := s.stored &^ s.pending
		if !view.synced.has(backup) && s.inventoried.has(backup) && state.isAvailable(view, backup) && m.rules.maySync(committed, s.knownStored[backup]) {
			next := *view
			next.synced = view.synced.with(backup)
			m.addView(state, next, "%s has %s marked as synced", []any{storeName(store), storeName(backup)}, add)
		}
		if state.isAvailable(view, backup) {
			m.replacementSteps(state, backup, add)
		}
		m.surplusStep(state, backup, add)
	}
	if s.paused {
		m.handoverViews(state, add)
	}
	if s.fenced && m.limits.renewals {
		next := *view
		next.epoch++
		m.addView(state, next, "%s gets a new epoch", []any{storeName(store)}, add)
	}
}

// handoverViews make a synced backup the primary. The former primary stays in the group as a backup.
func (m *partitionModel) handoverViews(state *modelState, add addStep) {
	view := state.current()
	for store := range modelStores {
		if !view.backups.has(store) || !state.syncedAvailable().has(store) {
			continue
		}
		next := *view
		next.epoch++
		next.primary = int8(store)
		next.backups = view.backups.without(store).with(int(view.primary))
		m.addView(state, next, "the table hands over to %s", []any{storeName(store)}, add)
	}
}

// replacementSteps are the results of a primary's request to replace a backup that does not store its records.
func (m *partitionModel) replacementSteps(state *modelState, backup int, add addStep) {
	m.dropUnresponsive(state, backup, add)
	if state.current().synced.has(backup) && !m.rules.dropsRespondingBackup {
		m.suspect(state, backup, add)
		return
	}
	m.replace(state, backup, "drops the responding", add)
}

// dropUnresponsive replaces a backup that does not respond to the control plane either. This counts as a fault: until
// the new replica is complete, no other loss is tolerated.
func (m *partitionModel) dropUnresponsive(state *modelState, backup int, add addStep) {
	after := *state
	after.recovering = !m.rules.lossWhileReplacing
	m.replace(&after, backup, "drops", add)
}

// suspect adds a replica to the group while the synced backup that responds to the control plane stays.
func (m *partitionModel) suspect(state *modelState, backup int, add addStep) {
	view := state.current()
	spare, found := m.spare(state, view)
	if !found || view.replicas().count() > m.limits.replicas {
		return
	}
	next := *view
	next.epoch++
	m.addUnsynced(state, &next, spare)
	m.addView(state, next, "the table adds %s beside %s", []any{storeName(spare), storeName(backup)}, add)
}

// surplusStep drops a backup if enough other replicas are synced: either a suspected one, or the one that was added for
// it.
func (m *partitionModel) surplusStep(state *modelState, backup int, add addStep) {
	view := state.current()
	remaining := state.syncedAvailable().without(backup)
	if view.replicas().count() <= m.limits.replicas || remaining.count() < m.limits.replicas {
		return
	}
	next := *view
	next.epoch++
	next.backups, next.synced = view.backups.without(backup), view.synced.without(backup)
	m.addView(state, next, "the table drops the surplus %s", []any{storeName(backup)}, add)
}

// retireSteps decommission a store: another store becomes a replica first, and the store is removed once it is no
// longer a replica.
func (m *partitionModel) retireSteps(state *modelState, add addStep) {
	if !m.limits.retirement {
		return
	}
	view := state.current()
	if state.retiring == 0 {
		for store := range m.limits.stores {
			next := *state
			next.retiring = int8(store + 1)
			add(next, "the decommissioning of %s begins", storeName(store))
		}
		return
	}
	leaving := int(state.retiring) - 1
	if m.rules.mayComplete(state, leaving) {
		next := *state
		next.stores[leaving] = modelStore{removed: true, disk: state.stores[leaving].disk + 1}
		add(next, "%s is removed", storeName(leaving))
	}
	if !view.backups.has(leaving) {
		return
	}
	if spare, found := m.spare(state, view); found && view.replicas().count() == m.limits.replicas {
		next := *view
		next.epoch++
		m.addUnsynced(state, &next, spare)
		m.addView(state, next, "the table adds %s", []any{storeName(spare)}, add)
	}
	if state.syncedAvailable().without(leaving).count() >= m.limits.replicas {
		next := *view
		next.epoch++
		next.backups, next.synced = view.backups.without(leaving), view.synced.without(leaving)
		m.addView(state, next, "the table drops the decommissioned %s", []any{storeName(leaving)}, add)
	}
}
