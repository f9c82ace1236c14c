//go:build !race

package messagestore

import (
	"fmt"
	"math/bits"

	"gladepick/internal/modelcheck"
)

// The model is one partition with its stores and the control plane's table, without time, connections and processes:
// calls are handled at any moment or never. The control plane is one register that never forgets; its own replication has
// a model of its own. What holds for a time only ends by explicit steps, in the order that steady clocks give: a store
// stops to count on a lease before the one that gave it does.

const (
	modelStores   = 4
	modelMessages = 2
	modelViews    = 6
)

// storeSet is a set of stores by number.
type storeSet uint8

func (s storeSet) has(store int) bool           { return s&(1<<store) != 0 }
func (s storeSet) with(store int) storeSet      { return s | 1<<store }
func (s storeSet) without(store int) storeSet   { return s &^ (1 << store) }
func (s storeSet) contains(other storeSet) bool { return other&^s == 0 }
func (s storeSet) count() int                   { return bits.OnesCount8(uint8(s)) }

func storeName(store int) string { return string(rune('a' + store)) }

// messageSet is a set of messages by number.
type messageSet uint8

func (s messageSet) has(number int) bool            { return s&(1<<number) != 0 }
func (s messageSet) with(number int) messageSet     { return s | 1<<number }
func (s messageSet) contains(other messageSet) bool { return other&^s == 0 }

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
	disk  uint8      // grows when a disk is lost
	holds messageSet // on the disk
	gone  bool       // taken away for good
	epoch uint8      // the highest seen

	view      uint8 // number of the newest view applied, counted from 1; 0 after a start
	leading   bool
	fenced    bool
	paused    bool
	leased    bool
	pending   messageSet
	acks      [modelMessages]storeSet
	noted     [modelStores]messageSet // what a backup surely holds, by inventory and answered copies
	keepsAcks bool                    // a broken rule: confirmations count also where the backup was away meanwhile
	told      storeSet                // backups that have told what they hold
	grants    storeSet                // backups whose grants count
	// gave tells by giver which former primaries may count on a lease: this store's own, and those it was told of.
	gave [modelStores]storeSet
}

// givers returns the stores whose grant to a former primary this store waits for.
func (s *modelStore) givers(former int) []int {
	var found []int
	for giver := range modelStores {
		if s.gave[giver].has(former) {
			found = append(found, giver)
		}
	}
	return found
}

// stepDown ends a lead.
func (s *modelStore) stepDown() {
	s.leading, s.fenced, s.paused = false, false, false
	s.forgetLead()
}

// forgetLead drops what belongs to one epoch of a lead.
func (s *modelStore) forgetLead() {
	s.pending, s.grants, s.told = 0, 0, 0
	s.acks, s.noted = [modelMessages]storeSet{}, [modelStores]messageSet{}
}

// modelState is a state of the partition.
type modelState struct {
	stores   [modelStores]modelStore
	views    [modelViews]partitionView
	count    uint8 // of the views; the last one is in force
	accepted messageSet
	acked    messageSet
	losses   uint8
	crashes  uint8
	retiring int8 // the store that is to be emptied, counted from 1; 0 for none
	troubled bool // a store was lost, or without a lease, and has not had the time to catch up since
}

func (s *modelState) current() *partitionView { return &s.views[s.count-1] }

// applied returns the view that a store acts by.
func (s *modelState) applied(store int) *partitionView { return &s.views[s.stores[store].view-1] }

// alive tells whether a replica of a view is there with its disk.
func (s *modelState) alive(view *partitionView, store int) bool {
	return !s.stores[store].gone && s.stores[store].disk == view.disks[store]
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

// modelRules are the rules that mutations change.
type modelRules struct {
	mayPromote     func(former *modelStore) bool  // its lease is surely over
	renews         func(s *modelState, store int) // what comes with a lease
	isTarget       func(view *partitionView, s *modelState, to int) bool
	grantOnRefusal bool                              // a refusal counts as a grant
	deliversAtOnce bool                              // a successor does not wait for the end of grants
	dropsUnnoticed bool                              // a disk may be lost as soon as a living backup was dropped
	keepsAcks      bool                              // confirmations count also where the backup was away meanwhile
	keepsGrants    bool                              // a primary does not tell its backups of the grants that it waits for
	maySync        func(held, noted messageSet) bool // a backup may be called synced
	committed      func(view *partitionView, acks storeSet) bool
	mayComplete    func(s *modelState, store int) bool // a store is empty and may be taken away
	resumesBlindly bool                                // deliveries go on after a handover without a clear answer
}

// modelLimits bound what may happen in a play.
type modelLimits struct {
	stores   int
	copies   int
	messages int
	views    int
	losses   uint8
	crashes  uint8
	retires  bool
	hands    bool // handovers on purpose

	// losesEarly has disks be lost as soon as the newest view is whole, whatever former primaries still believe. That is
	// more than must be borne.
	losesEarly bool
}

func storeRules(limits modelLimits) modelRules {
	return modelRules{
		mayPromote: func(former *modelStore) bool { return !former.leased },
		renews:     func(s *modelState, store int) { s.apply(store, s.count) },
		isTarget:   func(view *partitionView, s *modelState, to int) bool { return s.alive(view, to) },
		maySync:    func(held, noted messageSet) bool { return noted.contains(held) },
		committed: func(view *partitionView, acks storeSet) bool {
			return acks.contains(view.backups) && view.replicas().count() >= limits.copies
		},
		mayComplete: func(s *modelState, store int) bool {
			return !s.current().replicas().has(store) && s.syncedAlive().without(store).count() >= limits.copies
		},
	}
}

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
	for store := range m.limits.copies {
		view.synced = view.synced.with(store)
	}
	view.backups = view.synced.without(0)
	state.views[0] = view
	for store := range modelStores {
		state.stores[store].gone = store >= m.limits.stores
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
		if state.stores[store].gone {
			continue
		}
		m.table(state, store, add)
		m.time(state, store, add)
		m.faults(state, store, add)
		if state.stores[store].leading {
			m.leads(state, store, add)
		}
	}
	if int(state.count) < m.limits.views {
		m.control(state, add)
	}
	m.catchUp(state, add)
	return steps
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

// changeGroup has a primary go on with another group. What backups have told is asked anew; what they confirmed of open
// writes still counts where they were synced all the time.
func (s *modelStore) changeGroup(view *partitionView) {
	s.told, s.noted = 0, [modelStores]messageSet{}
	if s.keepsAcks {
		return
	}
	for number := range s.acks {
		s.acks[number] &= view.synced
	}
}

// table has a store hear of newer views.
func (m *partitionModel) table(state *modelState, store int, add addStep) {
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
func (m *partitionModel) time(state *modelState, store int, add addStep) {
	s := &state.stores[store]
	if s.leased {
		next := *state
		next.stores[store].leased = false
		next.troubled = true
		add(next, "the lease of %s ends", storeName(store))
	}
	for other := range modelStores {
		if s.grants.has(other) {
			next := *state
			next.stores[store].grants = s.grants.without(other)
			add(next, "%s counts on the lease from %s no more", storeName(store), storeName(other))
		}
		for _, giver := range s.givers(other) {
			if !state.stores[other].grants.has(giver) {
				next := *state
				next.stores[store].gave[giver] = s.gave[giver].without(other)
				add(next, "%s knows that the lease from %s to %s is over", storeName(store), storeName(giver), storeName(other))
			}
		}
	}
}

// catchUp is the time after a trouble in which what it has damaged is made whole again, for as long as losses may be borne
// one by one.
func (m *partitionModel) catchUp(state *modelState, add addStep) {
	if !state.troubled || state.syncedAlive().count() < m.limits.copies {
		return
	}
	for store := range modelStores {
		if !state.stores[store].gone && !state.stores[store].leased {
			return
		}
	}
	next := *state
	next.troubled = false
	add(next, "the trouble is over")
}

// mayLose tells whether a disk may be lost now.
func (m *partitionModel) mayLose(state *modelState) bool {
	if m.limits.losesEarly {
		return state.syncedAlive() == state.current().replicas()
	}
	return !state.troubled
}

// faults are restarts and lost disks. Losses come one after the other, each when the trouble before is over.
func (m *partitionModel) faults(state *modelState, store int, add addStep) {
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

// restart forgets what is in memory. Others notice the end of the process, and count on no grant from before.
func (s *modelState) restart(store int) {
	s.troubled = true
	before := s.stores[store]
	s.stores[store] = modelStore{disk: before.disk, holds: before.holds, epoch: before.epoch, keepsAcks: before.keepsAcks}
	for other := range modelStores {
		s.stores[other].grants = s.stores[other].grants.without(store)
	}
}

// leads are the steps of a primary.
func (m *partitionModel) leads(state *modelState, store int, add addStep) {
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
		if view.backups.has(to) && !state.stores[to].gone {
			m.calls(state, store, to, add)
		}
	}
	m.handover(state, store, add)
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
		for giver, formers := range s.stores[from].gave {
			backup.gave[giver] |= formers
		}
	}
	return true
}

// calls are what a primary asks of a backup.
func (m *partitionModel) calls(state *modelState, from, to int, add addStep) {
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
			next.stores[from].noted[to] = s.noted[to].with(number)
		}
		add(next, "%s logs message %d of %s, which hears of it", storeName(to), number, storeName(from))
	}
	next := *state
	m.follow(&next, from, to)
	next.stores[from].noted[to] = s.noted[to] | state.stores[to].holds
	next.stores[from].told = s.told.with(to)
	add(next, "%s tells %s what it holds", storeName(to), storeName(from))
	if !s.leased {
		next := *state
		m.follow(&next, from, to)
		next.stores[to].gave[to] = next.stores[to].gave[to].with(from)
		next.stores[from].grants = s.grants.with(to)
		add(next, "%s grants a lease to %s", storeName(to), storeName(from))
	}
}

// delivers tells whether a store may start deliveries.
func (m *partitionModel) delivers(state *modelState, store int) bool {
	s := &state.stores[store]
	if s.gone || !s.leading || s.fenced || s.paused || s.gave != [modelStores]storeSet{} && !m.rules.deliversAtOnce {
		return false
	}
	view := state.applied(store)
	return s.leased || view.backups != 0 && s.grants.contains(view.backups)
}

// handover is a change of the primary on purpose: deliveries stop, the control plane is asked, and the store goes on only
// after a clear refusal.
func (m *partitionModel) handover(state *modelState, store int, add addStep) {
	s := &state.stores[store]
	if !m.limits.hands {
		return
	}
	next := *state
	next.stores[store].paused = !s.paused
	refusable := state.current().epoch == s.epoch || m.rules.resumesBlindly
	if !s.paused || refusable {
		add(next, "%s pauses: %v", storeName(store), !s.paused)
	}
}

// control are the changes of the table.
func (m *partitionModel) control(state *modelState, add addStep) {
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
		m.asks(state, store, add)
	}
	m.retire(state, add)
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
		if !state.stores[store].gone && !view.replicas().has(store) && int(state.retiring) != store+1 {
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
	if !found && !state.alive(view, dropped) && !state.stores[dropped].gone {
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
func (m *partitionModel) asks(state *modelState, store int, add addStep) {
	s := &state.stores[store]
	view := state.current()
	isPrimary := int(view.primary) == store && view.epoch == s.epoch
	if !s.leading || s.gone || !isPrimary {
		return
	}
	for backup := range modelStores {
		if !view.backups.has(backup) {
			continue
		}
		held := s.holds &^ s.pending
		if !view.synced.has(backup) && s.told.has(backup) && state.alive(view, backup) && m.rules.maySync(held, s.noted[backup]) {
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
	after.troubled = !m.rules.dropsUnnoticed
	m.replace(&after, backup, "drops", add)
}

// retire empties a store: another one is given a copy first, and it is taken away when it holds none.
func (m *partitionModel) retire(state *modelState, add addStep) {
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
		next.stores[leaving] = modelStore{gone: true, disk: state.stores[leaving].disk + 1}
		add(next, "%s is taken away", storeName(leaving))
	}
	if !view.backups.has(leaving) {
		return
	}
	if spare, found := m.spare(state, view); found && view.replicas().count() == m.limits.copies {
		next := *view
		next.epoch++
		m.include(state, &next, spare)
		m.put(state, next, "the table adds %s", []any{storeName(spare)}, add)
	}
	if state.syncedAlive().without(leaving).count() >= m.limits.copies {
		next := *view
		next.epoch++
		next.backups, next.synced = view.backups.without(leaving), view.synced.without(leaving)
		m.put(state, next, "the table lets %s go", []any{storeName(leaving)}, add)
	}
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
