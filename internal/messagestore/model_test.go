//go:build !race

package messagestore

import (
	"fmt"

	"gladepick/internal/modelcheck"
)

type modelStep = modelcheck.Step[modelState]

// partitionModel plays one partition.
type partitionModel struct {
	rules  modelRules
	limits modelLimits
}

// Start implements modelcheck.Model: the first stores are replicas, the first of them leads.
func (m *partitionModel) Start() modelState {
	var state modelState
	state.count = 1
	view := partitionView{epoch: 1}
	for store := range m.limits.replicas {
		view.synced = view.synced.with(store)
	}
	view.backups = view.synced.without(0)
	state.views[0] = view
	for store := range modelStores {
		state.stores[store].removed = store >= m.limits.stores
		state.stores[store].keepsAcks = m.rules.keepsAcks
		if store < m.limits.stores {
			state.stores[store].leased = true
			state.apply(store, 1)
		}
	}
	return state
}

type addStep func(next modelState, format string, args ...any)

// Next implements modelcheck.Model.
func (m *partitionModel) Next(state *modelState, named bool) []modelStep {
	var steps []modelStep
	add := func(next modelState, format string, args ...any) {
		if next == *state {
			return
		}
		step := modelStep{State: next}
		if named {
			step.Name = fmt.Sprintf(format, args...)
		}
		steps = append(steps, step)
	}
	for store := range modelStores {
		if state.stores[store].removed {
			continue
		}
		m.tableSteps(state, store, add)
		m.leaseSteps(state, store, add)
		m.faultSteps(state, store, add)
		if state.stores[store].leading {
			m.primarySteps(state, store, add)
		}
	}
	if int(state.count) < m.limits.views {
		m.controlSteps(state, add)
	}
	m.recoverySteps(state, add)
	return steps
}

// Violation implements modelcheck.Model.
func (m *partitionModel) Violation(state *modelState) string {
	whole := state.syncedAlive()
	if whole == 0 {
		return "no whole copy is left"
	}
	delivering := -1
	for store := range modelStores {
		if whole.has(store) && !state.stores[store].holds.contains(state.acked) {
			return storeName(store) + " counts as synced without what was acknowledged"
		}
		if !m.delivers(state, store) {
			continue
		}
		if delivering >= 0 {
			return fmt.Sprintf("%s and %s deliver", storeName(delivering), storeName(store))
		}
		delivering = store
	}
	return ""
}

// delivers tells whether a store may start deliveries.
func (m *partitionModel) delivers(state *modelState, store int) bool {
	s := &state.stores[store]
	if s.removed || !s.leading || s.fenced || s.paused || s.granted != [modelStores]storeSet{} && !m.rules.deliversAtOnce {
		return false
	}
	view := state.applied(store)
	return s.leased || view.backups != 0 && s.grants.contains(view.backups)
}
