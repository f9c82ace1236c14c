//go:build !race

package messagestore

// This file has the steps of retained replicas (placement/retained.go) and of recoveries (placement/recovery.go and
// collection.go): acknowledged messages survive overlapping losses as long as no more disks are lost than the service
// tolerates.

// retain records in a view which replicas were dropped since the group was last complete. A replica is a store with one
// disk: a store that is a replica again with the same disk is no longer retained, and a store with another disk has
// lost its messages.
func (m *partitionModel) retain(before, view *partitionView) {
	if view.synced.count() >= m.limits.replicas {
		view.retained, view.lost = 0, 0
		return
	}
	members := before.replicas() | before.retained
	view.retained = members &^ view.replicas()
	for store := range modelStores {
		if members.has(store) && view.replicas().has(store) && before.disks[store] != view.disks[store] {
			view.lost++
		}
	}
}

// collectable returns the messages of all available replicas and retained replicas.
func (s *modelState) collectable() messageSet {
	view := s.current()
	var found messageSet
	for store := range modelStores {
		if (view.replicas() | view.retained).has(store) && s.isAvailable(view, store) {
			found |= s.stores[store].stored
		}
	}
	return found
}

// beginRecoverySteps make an unsynced replica the primary if the primary is lost or without a lease and no backup is
// synced. The new primary collects from all other replicas except as many as may be lost: each message was acknowledged
// by all replicas of a view, and each view has one replica more than may be lost. While the primary collects, the recovery
// may begin again, with the same primary or another one, and without replicas that do not respond.
func (m *partitionModel) beginRecoverySteps(state *modelState, add addStep) {
	view := state.current()
	former := int(view.primary)
	isCollecting := !view.synced.has(former)
	lost := !state.isAvailable(view, former) || m.rules.mayPromote(&state.stores[former])
	if !m.rules.retainsReplicas || !isCollecting && (!lost || state.syncedAvailable().without(former) != 0) {
		return
	}
	members := view.replicas() | view.retained
	var available storeSet
	for store := range modelStores {
		if (store != former || isCollecting) && members.has(store) && state.isAvailable(view, store) {
			available = available.with(store)
		}
	}
	for sources := available; sources != 0; sources = (sources - 1) & available {
		tooFew := members.count()-sources.count()+int(view.lost) > m.limits.replicas-1
		if !tooFew || m.rules.recoversWithTooFew {
			m.recoveryViews(state, sources, add)
		}
	}
}

// recoveryViews are the views of a recovery with the given replicas, each with another one as the primary.
func (m *partitionModel) recoveryViews(state *modelState, sources storeSet, add addStep) {
	view := state.current()
	for store := range modelStores {
		if !sources.has(store) {
			continue
		}
		next := *view
		next.epoch++
		next.primary = int8(store)
		next.backups = sources.without(store)
		next.synced = 0
		m.addView(state, next, "the table starts a recovery at %s", []any{storeName(store)}, add)
	}
}

// collectSteps are the steps of an unsynced primary. It collects the messages of its backups, which then reject all
// older epochs, and is marked as synced once it has asked all of them.
func (m *partitionModel) collectSteps(state *modelState, store int, add addStep) {
	s := &state.stores[store]
	view := state.applied(store)
	for source := range modelStores {
		if !view.backups.has(source) || s.collected.has(source) || !state.isAvailable(view, source) {
			continue
		}
		next := *state
		if m.acceptCall(&next, store, source) {
			collector := &next.stores[store]
			collector.collected = s.collected.with(source)
			collector.stored |= state.stores[source].stored
			for granter, formers := range state.stores[source].knownGrants {
				if !m.rules.omitsCollectedGrants {
					collector.knownGrants[granter] |= formers
				}
			}
		}
		add(next, "%s collects from %s", storeName(store), storeName(source))
	}
	current := state.current()
	isCurrent := int(current.primary) == store && current.epoch == s.epoch && state.isAvailable(current, store)
	enough := s.collected.contains(view.backups) || m.rules.skipsCollection
	if int(state.count) >= m.limits.views || !isCurrent || s.fenced || !enough {
		return
	}
	next := *current
	next.epoch++
	next.synced = storeSet(0).with(store)
	m.addView(state, next, "%s has collected from all backups", []any{storeName(store)}, add)
}
