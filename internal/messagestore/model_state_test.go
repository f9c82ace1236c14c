//go:build !race

package messagestore

// The model is one partition with its stores and the control plane's table, without time, connections and processes:
// calls are handled at any moment or never. The control plane is one register that never forgets; its own replication has
// a model of its own. What holds for a time only ends by explicit steps, in the order that steady clocks give: a store
// stops to count on a lease before the one that gave it does.

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
	synced  storeSet // of all replicas
	disks   [modelStores]uint8
}

func (v *partitionView) replicas() storeSet { return v.backups.with(int(v.primary)) }

// modelStore is what one store holds, and what its process has in memory.
type modelStore struct {
	disk    uint8      // grows when a disk is lost
	holds   messageSet // on the disk
	removed bool       // taken away for good
	epoch   uint8      // the highest seen

	view        uint8 // number of the newest view applied, counted from 1; 0 after a start
	leading     bool
	fenced      bool
	paused      bool
	leased      bool
	pending     messageSet
	acks        [modelMessages]storeSet
	confirmed   [modelStores]messageSet // what a backup surely holds, by inventory and answered copies
	keepsAcks   bool                    // a broken rule: confirmations count also where the backup was away meanwhile
	inventoried storeSet                // backups that have told what they hold
	grants      storeSet                // backups whose grants count
	// gave tells by giver which former primaries may count on a lease: this store's own, and those it was told of.
	granted [modelStores]storeSet
}

// givers returns the stores whose grant to a former primary this store waits for.
func (s *modelStore) grantersTo(former int) []int {
	var found []int
	for giver := range modelStores {
		if s.granted[giver].has(former) {
			found = append(found, giver)
		}
	}
	return found
}

// stepDown ends a lead.
func (s *modelStore) stepDown() {
	s.leading, s.fenced, s.paused = false, false, false
	s.forgetLeadership()
}

// forgetLead drops what belongs to one epoch of a lead.
func (s *modelStore) forgetLeadership() {
	s.pending, s.grants, s.inventoried = 0, 0, 0
	s.acks, s.confirmed = [modelMessages]storeSet{}, [modelStores]messageSet{}
}

// changeGroup has a primary go on with another group. What backups have told is asked anew; what they confirmed of open
// writes still counts where they were synced all the time.
func (s *modelStore) changeGroup(view *partitionView) {
	s.inventoried, s.confirmed = 0, [modelStores]messageSet{}
	if s.keepsAcks {
		return
	}
	for number := range s.acks {
		s.acks[number] &= view.synced
	}
}

// modelState is a state of the partition.
type modelState struct {
	stores     [modelStores]modelStore
	views      [modelViews]partitionView
	count      uint8 // of the views; the last one is in force
	accepted   messageSet
	acked      messageSet
	losses     uint8
	crashes    uint8
	retiring   int8 // the store that is to be emptied, counted from 1; 0 for none
	recovering bool // a store was lost, or without a lease, and has not had the time to catch up since
}

func (s *modelState) current() *partitionView { return &s.views[s.count-1] }

// applied returns the view that a store acts by.
func (s *modelState) applied(store int) *partitionView { return &s.views[s.stores[store].view-1] }

// alive tells whether a replica of a view is there with its disk.
func (s *modelState) alive(view *partitionView, store int) bool {
	return !s.stores[store].removed && s.stores[store].disk == view.disks[store]
}

// syncedAlive returns the replicas in force that are whole and there.
func (s *modelState) syncedAlive() storeSet {
	view := s.current()
	var found storeSet
	for store := range modelStores {
		if view.replicas().has(store) && view.synced.has(store) && s.alive(view, store) {
			found = found.with(store)
		}
	}
	return found
}

// apply has a store take a view in.
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
	leads := int(view.primary) == store && s.alive(view, store)
	switch {
	case !leads:
		taken.stepDown()
		if !view.replicas().has(store) && view.synced == view.replicas() {
			taken.holds = 0 // a whole group of others has everything
		}
	case !taken.leading:
		taken.stepDown()
		taken.leading = true
	case newer:
		taken.fenced = false
		taken.changeGroup(view)
	}
}

// restart forgets what is in memory. Others notice the end of the process, and count on no grant from before.
func (s *modelState) restart(store int) {
	s.recovering = true
	before := s.stores[store]
	s.stores[store] = modelStore{disk: before.disk, holds: before.holds, epoch: before.epoch, keepsAcks: before.keepsAcks}
	for other := range modelStores {
		s.stores[other].grants = s.stores[other].grants.without(store)
	}
}
