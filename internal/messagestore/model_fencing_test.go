//go:build !race

package messagestore

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/modelcheck"
)

// The model covers the records of one partition that a primary sends to its backup in batches, while the control plane
// begins new epochs: with the same primary or with the former backup. A batch gets one response, which says whether the
// backup rejected any of its records. The work has ended once every acknowledged message has been delivered, all records are
// sent, and a primary accepts messages.

const (
	fencingStores   = 2
	fencingMessages = 1
	fencingQueue    = 3 // records that a store can have queued for the other
	// epochs that the control plane begins by itself, and those that it begins at a fenced primary's request beyond them
	fencingEpochs   = 3
	fencingRenewals = 3
)

// sentRecord is a message's record in the queue for the other store.
type sentRecord struct {
	message uint8
	epoch   uint8
}

// fencingStore is the state of a store.
type fencingStore struct {
	epoch     uint8 // the highest epoch seen
	isPrimary bool
	fenced    bool
	stored    messageSet
	confirmed messageSet // as primary: messages that the backup has confirmed
	queue     [fencingQueue]sentRecord
	queued    uint8
	inFlight  uint8 // number of records at the head of the queue that a call carries
	answered  bool  // the other store has handled the call
	rejected  bool  // it rejected a record
}

// fencingState is a state of the partition.
type fencingState struct {
	stores       [fencingStores]fencingStore
	epoch        uint8 // of the newest view
	primary      uint8 // in the newest view
	changes      uint8
	renewals     uint8
	acknowledged messageSet
	delivered    messageSet
}

// fencingRules are the rules of a primary. Each mutation breaks one of them.
type fencingRules struct {
	mixesEpochs  bool // a batch has records of several epochs
	neverRenews  bool // a fenced primary does not ask for a new epoch
	neverResends bool // a rejected record is not sent again
}

// fencingModel implements modelcheck.EndingModel.
type fencingModel struct{ rules fencingRules }

// Start implements modelcheck.Model.
func (m *fencingModel) Start() fencingState {
	state := fencingState{epoch: 1}
	state.stores[0] = fencingStore{epoch: 1, isPrimary: true}
	state.stores[1] = fencingStore{epoch: 1}
	return state
}

// addFencingStep adds a step that changes a copy of the state.
type addFencingStep func(name string, external bool, change func(next *fencingState))

// Next implements modelcheck.Model.
func (m *fencingModel) Next(state *fencingState, _ bool) []modelcheck.Step[fencingState] {
	var steps []modelcheck.Step[fencingState]
	add := func(name string, external bool, change func(next *fencingState)) {
		next := *state
		change(&next)
		if next != *state {
			steps = append(steps, modelcheck.Step[fencingState]{State: next, Name: name, External: external})
		}
	}
	if state.changes < fencingEpochs {
		for primary := range uint8(fencingStores) {
			add("a new epoch begins", true, func(next *fencingState) {
				next.changes++
				next.epoch++
				next.primary = primary
			})
		}
	}
	for store := range uint8(fencingStores) {
		add(storeName(int(store))+" applies the newest view", false, func(next *fencingState) { next.apply(store) })
		m.callSteps(state, store, add)
		if state.stores[store].isPrimary {
			m.primarySteps(state, store, add)
		}
	}
	return steps
}

// apply makes a store apply the newest view, unless it has seen a newer epoch.
func (s *fencingState) apply(store uint8) {
	target := &s.stores[store]
	if s.epoch <= target.epoch && target.isPrimary == (s.primary == store) {
		return
	}
	target.epoch = s.epoch
	target.fenced = false
	if s.primary != store {
		target.isPrimary, target.confirmed = false, 0
		return
	}
	target.isPrimary = true
}

// enqueue queues the record of a message, unless it is queued under this epoch or the queue is full.
func (s *fencingStore) enqueue(number int) {
	added := sentRecord{message: uint8(number), epoch: s.epoch}
	for _, queued := range s.queue[:s.queued] {
		if queued == added {
			return
		}
	}
	if s.queued < fencingQueue {
		s.queue[s.queued] = added
		s.queued++
	}
}

// primarySteps are the steps of a primary: it accepts, sends, acknowledges and delivers messages, and asks for an epoch.
func (m *fencingModel) primarySteps(state *fencingState, store uint8, add addFencingStep) {
	s := &state.stores[store]
	accepted := state.stores[0].stored | state.stores[1].stored
	for number := range fencingMessages {
		if !accepted.has(number) && !s.fenced {
			add("a message is accepted", true, func(next *fencingState) {
				next.stores[store].stored = s.stored.with(number)
				next.stores[store].enqueue(number)
			})
		}
		if s.stored.has(number) && !s.confirmed.has(number) && !m.rules.neverResends {
			add("a record is sent", false, func(next *fencingState) { next.stores[store].enqueue(number) })
		}
		if s.confirmed.has(number) {
			add("a message is acknowledged", false, func(next *fencingState) {
				next.acknowledged = state.acknowledged.with(number)
			})
		}
		if state.acknowledged.has(number) && !s.fenced && s.stored.has(number) {
			add("a message is delivered", false, func(next *fencingState) { next.delivered = state.delivered.with(number) })
		}
	}
	isCurrent := state.epoch == s.epoch && state.primary == store
	if s.fenced && isCurrent && !m.rules.neverRenews && state.renewals < fencingRenewals {
		add("a fenced primary gets a new epoch", false, func(next *fencingState) {
			next.renewals++
			next.epoch++
		})
	}
}

// callSteps are the steps of a store's calls to the other one: a batch is sent, handled and answered.
func (m *fencingModel) callSteps(state *fencingState, store uint8, add addFencingStep) {
	s := &state.stores[store]
	switch {
	case s.inFlight == 0 && s.queued > 0:
		add("a batch is sent", false, func(next *fencingState) { next.stores[store].inFlight = m.batchOf(s) })
	case s.inFlight > 0 && !s.answered:
		add("a batch is handled", false, func(next *fencingState) { next.handleBatch(store) })
	case s.answered:
		add("a response arrives", false, func(next *fencingState) { next.stores[store].handleResponse() })
	}
}

// batchOf returns the number of records in the next batch: those at the head of the queue, up to the first of another
// epoch.
func (m *fencingModel) batchOf(s *fencingStore) uint8 {
	count := uint8(1)
	for count < s.queued && (m.rules.mixesEpochs || s.queue[count].epoch == s.queue[0].epoch) {
		count++
	}
	return count
}

// handleBatch has the other store accept or reject the records of a batch, one after the other.
func (s *fencingState) handleBatch(from uint8) {
	sender, target := &s.stores[from], &s.stores[1-from]
	sender.answered = true
	for _, record := range sender.queue[:sender.inFlight] {
		if record.epoch < target.epoch || target.isPrimary && record.epoch == target.epoch {
			sender.rejected = true
			continue
		}
		target.isPrimary = target.isPrimary && record.epoch == target.epoch
		target.epoch = record.epoch
		target.stored = target.stored.with(int(record.message))
	}
}

// handleResponse has a store handle the response for a batch, record by record.
func (s *fencingStore) handleResponse() {
	for _, record := range s.queue[:s.inFlight] {
		isCurrent := s.isPrimary && record.epoch == s.epoch
		switch {
		case !s.rejected && s.isPrimary:
			s.confirmed = s.confirmed.with(int(record.message))
		case s.rejected && isCurrent:
			s.fenced = true
		}
	}
	remaining := s.queue[s.inFlight:s.queued]
	s.queue = [fencingQueue]sentRecord{}
	copy(s.queue[:], remaining)
	s.queued -= s.inFlight
	s.inFlight, s.answered, s.rejected = 0, false, false
}

// Ended implements modelcheck.EndingModel.
func (m *fencingModel) Ended(state *fencingState) bool {
	primary := &state.stores[state.primary]
	return state.delivered.contains(state.acknowledged) && primary.isPrimary && !primary.fenced &&
		primary.epoch == state.epoch && primary.confirmed.contains(primary.stored)
}

// Violation implements modelcheck.Model: an acknowledged message is on both stores.
func (m *fencingModel) Violation(state *fencingState) string {
	for store := range fencingStores {
		if !state.stores[store].stored.contains(state.acknowledged) {
			return storeName(store) + " lacks an acknowledged message"
		}
	}
	return ""
}

// fencingStates is the maximum number of states of a search.
const fencingStates = 5_000_000

// TestExploreFencing guards against a primary that rests for good: from every state, without further changes of views, all
// messages end and the primary accepts more.
func TestExploreFencing(t *testing.T) {
	safe := modelcheck.Explore(&fencingModel{}, fencingStates)
	assert.Equal(t, safe.Violation, "", "%q", safe.Trace)
	found := modelcheck.ExploreEndings(&fencingModel{}, fencingStates)
	t.Logf("%d states, depth %d", found.States, found.Depth)
	assert.Assert(t, found.Complete && safe.Complete)
	assert.Equal(t, found.Violation, "", "%q", found.Trace)
	unmixed := modelcheck.ExploreEndings(&fencingModel{rules: fencingRules{neverRenews: true}}, fencingStates)
	assert.Equal(t, unmixed.Violation, "", "%q", unmixed.Trace)

	for name, rules := range map[string]fencingRules{
		"batches of several epochs, and a fence without an end": {mixesEpochs: true, neverRenews: true},
		"a rejected record is not sent again":                   {neverResends: true},
	} {
		t.Run(name, func(t *testing.T) {
			broken := modelcheck.ExploreEndings(&fencingModel{rules: rules}, fencingStates)
			assert.Assert(t, broken.Violation != "", "no violation found in %d states", broken.States)
			t.Logf("%d states: %q", broken.States, broken.Trace)
		})
	}
}
