//go:build !race

package messagestore

// control are the changes of the table.
func (m *partitionModel) controlSteps(state *modelState, add addStep) {
	view := state.current()
	primaryLives := state.alive(view, int(view.primary)) && state.stores[view.primary].leased
	for store := range modelStores {
		if !view.replicas().has(store) {
			continue
		}
		dead := !state.alive(view, store) || m.rules.mayPromote(&state.stores[store])
		switch {
		case store == int(view.primary) && dead:
			m.promote(state, add)
		case store != int(view.primary) && dead && primaryLives:
			m.replace(state, store, "replaces", add)
		}
	}
	for store := range modelStores {
		m.requestSteps(state, store, add)
	}
	m.retireSteps(state, add)
}

// put puts a view in force.
func (m *partitionModel) put(state *modelState, view partitionView, format string, args []any, add addStep) {
	next := *state
	next.views[next.count] = view
	next.count++
	add(next, format, args...)
}

// promote has a synced backup lead in the place of the primary, which leaves where another store can take its place.
func (m *partitionModel) promote(state *modelState, add addStep) {
	view := state.current()
	former := int(view.primary)
	for store := range modelStores {
		if store == former || !state.syncedAlive().has(store) {
			continue
		}
		next := *view
		next.epoch++
		next.primary = int8(store)
		next.backups = view.backups.without(store)
		if spare, found := m.spare(state, view); found {
			m.include(state, &next, spare)
			next.synced = next.synced.without(former)
		} else {
			next.backups = next.backups.with(former)
		}
		m.put(state, next, "the table promotes %s", []any{storeName(store)}, add)
	}
}

// spare returns a store that holds no copy by a view and may be given one.
func (m *partitionModel) spare(state *modelState, view *partitionView) (int, bool) {
	for store := range modelStores {
		if !state.stores[store].removed && !view.replicas().has(store) && int(state.retiring) != store+1 {
			return store, true
		}
	}
	return 0, false
}

// include adds a backup that is not synced.
func (m *partitionModel) include(state *modelState, view *partitionView, store int) {
	view.backups = view.backups.with(store)
	view.synced = view.synced.without(store)
	view.disks[store] = state.stores[store].disk
}

// replace puts a spare store, or the returned one with its new disk, in the place of a backup.
func (m *partitionModel) replace(state *modelState, dropped int, what string, add addStep) {
	view := state.current()
	spare, found := m.spare(state, view)
	if !found && !state.alive(view, dropped) && !state.stores[dropped].removed {
		spare, found = dropped, true
	}
	if !found {
		return
	}
	next := *view
	next.epoch++
	next.backups = view.backups.without(dropped)
	next.synced = view.synced.without(dropped)
	m.include(state, &next, spare)
	m.put(state, next, "the table %s %s by %s", []any{what, storeName(dropped), storeName(spare)}, add)
}

// asks are what a primary asks the control plane for.
func (m *partitionModel) requestSteps(state *modelState, store int, add addStep) {
	s := &state.stores[store]
	view := state.current()
	isPrimary := int(view.primary) == store && view.epoch == s.epoch
	if !s.leading || s.removed || !isPrimary {
		return
	}
	for backup := range modelStores {
		if !view.backups.has(backup) {
			continue
		}
		held := s.holds &^ s.pending
		if !view.synced.has(backup) && s.inventoried.has(backup) && state.alive(view, backup) && m.rules.maySync(held, s.confirmed[backup]) {
			next := *view
			next.synced = view.synced.with(backup)
			m.put(state, next, "%s has %s called synced", []any{storeName(store), storeName(backup)}, add)
		}
		if state.alive(view, backup) {
			m.drop(state, backup, add)
		}
	}
	if s.paused {
		m.grantHandover(state, add)
	}
}

// grantHandover has a synced backup lead; the former primary stays as a backup.
func (m *partitionModel) grantHandover(state *modelState, add addStep) {
	view := state.current()
	for store := range modelStores {
		if !view.backups.has(store) || !state.syncedAlive().has(store) {
			continue
		}
		next := *view
		next.epoch++
		next.primary = int8(store)
		next.backups = view.backups.without(store).with(int(view.primary))
		m.put(state, next, "the table hands over to %s", []any{storeName(store)}, add)
	}
}

// drop is what comes of a primary's ask for the place of a backup that does not answer it. That is a trouble: until the new
// copy is whole, no other loss can be borne.
func (m *partitionModel) drop(state *modelState, backup int, add addStep) {
	after := *state
	after.recovering = !m.rules.dropsUnnoticed
	m.replace(&after, backup, "drops", add)
}

// retire empties a store: another one is given a copy first, and it is taken away when it holds none.
func (m *partitionModel) retireSteps(state *modelState, add addStep) {
	if !m.limits.retires {
		return
	}
	view := state.current()
	if state.retiring == 0 {
		for store := range m.limits.stores {
			next := *state
			next.retiring = int8(store + 1)
			add(next, "%s is to be emptied", storeName(store))
		}
		return
	}
	leaving := int(state.retiring) - 1
	if m.rules.mayComplete(state, leaving) {
		next := *state
		next.stores[leaving] = modelStore{removed: true, disk: state.stores[leaving].disk + 1}
		add(next, "%s is taken away", storeName(leaving))
	}
	if !view.backups.has(leaving) {
		return
	}
	if spare, found := m.spare(state, view); found && view.replicas().count() == m.limits.replicas {
		next := *view
		next.epoch++
		m.include(state, &next, spare)
		m.put(state, next, "the table adds %s", []any{storeName(spare)}, add)
	}
	if state.syncedAlive().without(leaving).count() >= m.limits.replicas {
		next := *view
		next.epoch++
		next.backups, next.synced = view.backups.without(leaving), view.synced.without(leaving)
		m.put(state, next, "the table lets %s go", []any{storeName(leaving)}, add)
	}
}
