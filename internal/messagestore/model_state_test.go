//go:build !race

package messagestore

// The model is one partition with its stores and the control plane's table, without time, connections and processes:
// calls are handled at any moment or never. The control plane is one register that never forgets; its own replication has
// a model of its own. What is valid for a time only ends by explicit steps, in the order that steady clocks give: the holder
// of a lease stops to count on it before the store that granted it does.
//
// Start reading at partitionModel in model_test.go. This file has the state, model_store_steps_test.go what stores do,
// model_control_steps_test.go what the control plane does, model_rules_test.go the rules that mutations break.

// The sizes of a state.
const (
	modelStores   = 4
	modelMessages = 2
	modelViews    = 6
)

// partitionView is a cluster.Partition with sets in place of lists, and the disks that its replicas have.
type partitionView struct {
	epoch   uint8
	primary int8
	backups storeSet
	synced  storeSet           // of all replicas, the primary among them
	disks   [modelStores]uint8 // by replica: modelStore.disk when it joined
	// retained are the replicas that were dropped since the group was last complete: they may hold what no replica has. Only
	// with modelRules.retains, which the code does not have yet.
	retained storeSet
	lost     uint8 // of those that were dropped: their stores are replicas again, with other disks
}

func (v *partitionView) replicas() storeSet { return v.backups.with(int(v.primary)) }

// modelStore is what one store holds, and what its process has in memory.
type modelStore struct {
	disk    uint8      // the disk's number, which grows when the disk is lost
	stored  messageSet // messages on the disk
	removed bool       // decommissioned for good, or not part of the search
	epoch   uint8      // the highest seen

	view                    uint8 // number of the newest view applied, counted from 1; 0 after a start
	isPrimary               bool
	fenced                  bool
	paused                  bool
	hasLease                bool
	pending                 messageSet
	confirmations           [modelMessages]storeSet
	knownStored             [modelStores]messageSet // what a backup has stored for sure, by its inventory and its confirmations
	keepsStaleConfirmations bool                    // a broken rule: confirmations count also where the backup was away meanwhile
	inventoried             storeSet                // backups that have answered a request for their inventory
	collected               storeSet                // replicas whose messages a primary that is not synced has collected
	backupLeases            storeSet                // backups whose leases to this store are valid
	// knownGrants tells by granter which former primaries may count on a lease: this store's own grants, and those that its
	// primary has passed on.
	knownGrants [modelStores]storeSet
}

// grantersTo returns the stores whose grant to a former primary this store waits for.
func (s *modelStore) grantersTo(former int) []int {
	var found []int
	for granter := range modelStores {
		if s.knownGrants[granter].has(former) {
			found = append(found, granter)
		}
	}
	return found
}

// stepDown ends a leadership.
func (s *modelStore) stepDown() {
	s.isPrimary, s.fenced, s.paused = false, false, false
	s.forgetLeadership()
}

// forgetLeadership drops what belongs to one epoch of a leadership.
func (s *modelStore) forgetLeadership() {
	s.pending, s.backupLeases, s.inventoried, s.collected = 0, 0, 0, 0
	s.confirmations, s.knownStored = [modelMessages]storeSet{}, [modelStores]messageSet{}
}

// changeReplicaGroup has a primary go on with another replica group. Inventories are requested anew; confirmations of pending
// writes still count where the backup was synced all the time.
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
	count        uint8 // of the views; the last one is in force
	accepted     messageSet
	acknowledged messageSet
	losses       uint8
	crashes      uint8
	retiring     int8 // the store that is being decommissioned, counted from 1; 0 for none
	recovering   bool // a store was lost, or without a lease, and replicas have not had the time to catch up since
	factor       int8 // how many replicas a partition is to have
}

// current returns the view in force.
func (s *modelState) current() *partitionView { return &s.views[s.count-1] }

// applied returns the view that a store acts by.
func (s *modelState) applied(store int) *partitionView { return &s.views[s.stores[store].view-1] }

// isAvailable tells whether a replica of a view is there with its disk.
func (s *modelState) isAvailable(view *partitionView, store int) bool {
	return !s.stores[store].removed && s.stores[store].disk == view.disks[store]
}

// syncedAvailable returns the replicas in force that are synced and available.
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

// apply has a store take in a view.
func (s *modelState) apply(store int, number uint8) {
	taken := &s.stores[store]
	if number <= taken.view {
		return
	}
	view := &s.views[number-1]
	newer := view.epoch > taken.epoch
	if view.epoch < taken.epoch {
		return
	}
	taken.view, taken.epoch = number, view.epoch
	isPrimary := int(view.primary) == store && s.isAvailable(view, store)
	switch {
	case !isPrimary:
		taken.stepDown()
		if !view.replicas().has(store) && view.synced == view.replicas() && view.synced.count() >= int(s.factor) {
			taken.stored = 0 // a complete group of other stores has everything
		}
	case !taken.isPrimary:
		taken.stepDown()
		taken.isPrimary = true
	case newer:
		taken.fenced = false
		taken.changeReplicaGroup(view)
	}
}

// restart forgets what is in memory. Other stores notice the end of the process, and count on no lease from before.
func (s *modelState) restart(store int) {
	s.recovering = true
	before := s.stores[store]
	s.stores[store] = modelStore{disk: before.disk, stored: before.stored, epoch: before.epoch, keepsStaleConfirmations: before.keepsStaleConfirmations}
	for other := range modelStores {
		s.stores[other].backupLeases = s.stores[other].backupLeases.without(store)
	}
}
