//go:build !race

package messagestore

// The model covers one partition with its stores and the control plane's table. It has no time, connections or
// processes: a call is handled at any moment or never. The control plane is a single reliable register; its own
// replication has a separate model. Leases end by explicit steps, in the order that accurate clocks give: the holder of
// a lease stops counting on it before the store that granted it does.
//
// Start reading at partitionModel in model_test.go. This file has the state, model_store_steps_test.go the steps of
// stores, model_control_steps_test.go the steps of the control plane, model_collect_steps_test.go those of a recovery,
// and model_rules_test.go the rules that mutations break.

// Sizes of the arrays in a state.
const (
	modelStores   = 4
	modelMessages = 2
	modelViews    = 6
)

// partitionView is a cluster.Partition with sets instead of lists, and with the disks of the replicas.
type partitionView struct {
	epoch   uint8
	primary int8
	backups storeSet
	synced  storeSet           // the synced replicas, which may include the primary
	disks   [modelStores]uint8 // by replica: modelStore.disk when it joined
	// retained are the replicas that were dropped since the group was last complete: they may have messages that no
	// replica has. Together with lost they are cluster.Partition.Retained, which lists stores with their disks.
	retained storeSet
	lost     uint8 // number of dropped replicas whose stores are replicas again with other disks
}

func (v *partitionView) replicas() storeSet { return v.backups.with(int(v.primary)) }

// modelStore is the state of one store: that of its disk, and that of its process.
type modelStore struct {
	disk    uint8      // the disk's number, which is incremented when the disk is lost
	stored  messageSet // messages on the disk
	removed bool       // decommissioned, or not part of the search
	epoch   uint8      // the highest epoch seen
	settled uint8      // the newest epoch under which it has led after all grants of leases to others had ended

	view                    uint8 // number of the newest view applied, counted from 1; 0 after a start
	isPrimary               bool
	fenced                  bool
	paused                  bool
	hasLease                bool
	pending                 messageSet
	confirmations           [modelMessages]storeSet
	knownStored             [modelStores]messageSet // by backup: messages that it has by inventory or confirmation
	keepsStaleConfirmations bool                    // modelRules.keepsStaleConfirmations
	inventoried             storeSet                // backups that have answered a request for their inventory
	collected               storeSet                // replicas from which an unsynced primary has collected messages
	backupLeases            storeSet                // backups whose leases to this store are valid
	// knownGrants are, by granter, the former primaries that may still count on a lease. They include this store's own
	// grants and those that its primary has reported to it.
	knownGrants [modelStores]storeSet
}

// grantersTo returns the stores whose grants to a former primary must end before this store delivers.
func (s *modelStore) grantersTo(former int) []int {
	var found []int
	for granter := range modelStores {
		if s.knownGrants[granter].has(former) {
			found = append(found, granter)
		}
	}
	return found
}

// stepDown ends the store's role as primary.
func (s *modelStore) stepDown() {
	s.isPrimary, s.fenced, s.paused = false, false, false
	s.forgetLeadership()
}

// forgetLeadership drops the state that belongs to one epoch of a primary.
func (s *modelStore) forgetLeadership() {
	s.pending, s.backupLeases, s.inventoried, s.collected = 0, 0, 0, 0
	s.confirmations, s.knownStored = [modelMessages]storeSet{}, [modelStores]messageSet{}
}

// changeReplicaGroup applies a new replica group to a primary that stays primary. The primary requests inventories
// again. Confirmations of pending writes remain valid only for backups that are synced in the new view too.
func (s *modelStore) changeReplicaGroup(view *partitionView) {
	s.inventoried, s.collected, s.knownStored = 0, 0, [modelStores]messageSet{}
	if s.keepsStaleConfirmations {
		return
	}
	for number := range s.confirmations {
		s.confirmations[number] &= view.synced
	}
}

// modelState is a state of the partition.
type modelState struct {
	stores       [modelStores]modelStore
	views        [modelViews]partitionView
	count        uint8 // number of views; the last one is current
	accepted     messageSet
	acknowledged messageSet
	losses       uint8
	crashes      uint8
	retiring     int8 // the store that is being decommissioned, counted from 1; 0 for none
	recovering   bool // a store was lost or without a lease, and the replicas have not caught up since
	factor       int8 // replication factor

	forgetsGrants bool // modelRules.forgetsGrants
}

// current returns the newest view.
func (s *modelState) current() *partitionView { return &s.views[s.count-1] }

// applied returns the newest view that a store has applied.
func (s *modelState) applied(store int) *partitionView { return &s.views[s.stores[store].view-1] }

// isAvailable reports whether a replica of a view still exists with the disk that the view lists.
func (s *modelState) isAvailable(view *partitionView, store int) bool {
	return !s.stores[store].removed && s.stores[store].disk == view.disks[store]
}

// syncedAvailable returns the replicas of the current view that are synced and available.
func (s *modelState) syncedAvailable() storeSet {
	view := s.current()
	var found storeSet
	for store := range modelStores {
		if view.replicas().has(store) && view.synced.has(store) && s.isAvailable(view, store) {
			found = found.with(store)
		}
	}
	return found
}

// apply makes a store apply a view, unless it has applied a newer one or seen a higher epoch.
func (s *modelState) apply(store int, number uint8) {
	target := &s.stores[store]
	if number <= target.view {
		return
	}
	view := &s.views[number-1]
	newer := view.epoch > target.epoch
	if view.epoch < target.epoch {
		return
	}
	if target.isPrimary && s.applied(store).synced.has(store) && !view.synced.has(store) {
		target.stepDown() // others have recovered the partition meanwhile
	}
	target.view, target.epoch = number, view.epoch
	isPrimary := int(view.primary) == store && s.isAvailable(view, store)
	switch {
	case !isPrimary:
		target.stepDown()
		if !view.replicas().has(store) && view.synced == view.replicas() && view.synced.count() >= int(s.factor) {
			target.stored = 0 // a complete group of other stores has all messages
		}
	case !target.isPrimary:
		target.stepDown()
		target.isPrimary = true
	case newer:
		target.fenced = false
		target.changeReplicaGroup(view)
	}
}

// restart drops the state of a store's process. The new process takes for granted that all leases which are valid now
// are among those that the former one granted or knew of: it waits for as long as a lease lasts.
func (s *modelState) restart(store int) {
	s.recovering = true
	before := s.stores[store]
	s.stores[store] = modelStore{disk: before.disk, stored: before.stored, epoch: before.epoch, settled: before.settled, keepsStaleConfirmations: before.keepsStaleConfirmations}
	if s.forgetsGrants {
		return
	}
	for former := range modelStores {
		for granter := range modelStores {
			if former != store && s.stores[former].backupLeases.has(granter) {
				known := &s.stores[store].knownGrants[granter]
				*known = known.with(former)
			}
		}
	}
}
