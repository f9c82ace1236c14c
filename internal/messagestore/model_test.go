//go:build !race

package messagestore

import (
	"fmt"

	"gladepick/internal/modelcheck"
)

type modelStep = modelcheck.Step[modelState]

// partitionModel implements modelcheck.Model for one partition.
type partitionModel struct {
	rules  modelRules
	limits modelLimits
}

// Start implements modelcheck.Model. The first stores are replicas, and the first of them is the primary.
func (m *partitionModel) Start() modelState {
	var state modelState
	state.count = 1
	state.factor = int8(m.limits.replicas)
	state.forgetsGrants = m.rules.forgetsGrants
	view := partitionView{epoch: 1}
	for store := range m.limits.replicas {
		view.synced = view.synced.with(store)
	}
	view.backups = view.synced.without(0)
	state.views[0] = view
	for store := range modelStores {
		state.stores[store].removed = store >= m.limits.stores
		state.stores[store].keepsStaleConfirmations = m.rules.keepsStaleConfirmations
		if store < m.limits.stores {
			state.stores[store].hasLease = true
			state.apply(store, 1)
		}
	}
	return state
}

// addStep adds a possible next state, with the name of the step that leads to it.
type addStep func(next modelState, format string, args ...any)

// Next implements modelcheck.Model.
func (m *partitionModel) Next(state *modelState, named bool) []modelStep {
	var steps []modelStep
	add := func(next modelState, format string, args ...any) {
		next.recovering = next.recovering && m.limits.losses > 0 // only losses depend on it
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
		if state.stores[store].isPrimary {
			m.primarySteps(state, store, add)
		}
	}
	if int(state.count) < m.limits.views {
		m.controlSteps(state, add)
	}
	m.recoverySteps(state, add)
	return steps
}

// Violation implements modelcheck.Model. The invariants are: a synced replica is available, except with overlapping
// losses; the replicas that a recovery may ask have all acknowledged messages between them; each synced replica has all
// acknowledged messages; at most one store delivers.
func (m *partitionModel) Violation(state *modelState) string {
	synced := state.syncedAvailable()
	if synced == 0 && !m.limits.overlappingLosses {
		return "no synced replica is available"
	}
	if !state.collectable().contains(state.acknowledged) {
		return "an acknowledged message is on no replica that a recovery asks"
	}
	delivering := -1
	for store := range modelStores {
		if synced.has(store) && !state.stores[store].stored.contains(state.acknowledged) {
			return storeName(store) + " is marked as synced, but lacks an acknowledged message"
		}
		if !m.delivers(state, store) {
			continue
		}
		if delivering >= 0 {
			return fmt.Sprintf("both %s and %s deliver", storeName(delivering), storeName(store))
		}
		delivering = store
	}
	return ""
}

// delivers reports whether a store may start deliveries.
func (m *partitionModel) delivers(state *modelState, store int) bool {
	s := &state.stores[store]
	if s.removed || !s.isPrimary || s.fenced || s.paused {
		return false
	}
	if s.knownGrants != [modelStores]storeSet{} && s.settled != s.epoch && !m.rules.ignoresGrants {
		return false
	}
	view := state.applied(store)
	if !view.synced.has(store) {
		return false
	}
	return s.hasLease || view.backups != 0 && s.backupLeases.contains(view.backups)
}
