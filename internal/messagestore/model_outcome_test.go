//go:build !race

package messagestore

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/modelcheck"
)

// The model covers the outcome of one message at a primary and its backup. Stores crash and start again at any moment,
// the backup is promoted, and one disk is lost. The invariant: a message does not run again once a caller has read that it
// has completed, nor while the disk of a replica says so.

const (
	outcomeStores  = 2
	outcomeCrashes = 3
	outcomeLosses  = 1
)

// outcomeStore is a store's knowledge that the message has completed.
type outcomeStore struct {
	memory bool
	disk   bool
	lost   bool // its disk was lost, and it has left the view
}

// outcomeState is a state of the message.
type outcomeState struct {
	stores    [outcomeStores]outcomeStore
	primary   uint8
	caughtUp  bool // the primary has asked the backup, or a view without the backup is in force
	confirmed bool // the backup has confirmed the outcome to this primary
	running   bool
	read      bool // a caller has read that the message has completed
	ranAgain  bool // the message began to run although a caller had read that, or a replica's disk says so
	crashes   uint8
	losses    uint8
}

func (s *outcomeState) backup() uint8 { return 1 - s.primary }

// outcomeRules are the rules of the stores. Each mutation breaks one of them.
type outcomeRules struct {
	runsBeforeAsking  bool // a new primary runs what its own log calls queued
	readsBeforeSync   bool // a caller may read an outcome that the primary's disk lacks
	readsBeforeBackup bool // a caller may read an outcome that the backup lacks
}

// outcomeModel implements modelcheck.Model.
type outcomeModel struct{ rules outcomeRules }

// Start implements modelcheck.Model.
func (m *outcomeModel) Start() outcomeState { return outcomeState{caughtUp: true} }

// Next implements modelcheck.Model.
func (m *outcomeModel) Next(state *outcomeState, _ bool) []modelcheck.Step[outcomeState] {
	var steps []modelcheck.Step[outcomeState]
	add := func(name string, change func(next *outcomeState)) {
		next := *state
		change(&next)
		steps = append(steps, modelcheck.Step[outcomeState]{State: next, Name: name})
	}
	m.primarySteps(state, add)
	m.faultSteps(state, add)
	return steps
}

// primarySteps are the steps of the primary: it catches up, runs the message, replicates, syncs and answers.
func (m *outcomeModel) primarySteps(state *outcomeState, add func(string, func(*outcomeState))) {
	primary, backup := state.stores[state.primary], state.stores[state.backup()]
	if !state.caughtUp {
		add("the primary catches up", func(next *outcomeState) {
			next.caughtUp = true
			next.stores[next.primary].memory = primary.memory || !backup.lost && backup.memory
		})
	}
	mayRun := state.caughtUp || m.rules.runsBeforeAsking
	if mayRun && !primary.memory && !state.running {
		add("the message begins to run", func(next *outcomeState) {
			next.running = true
			next.ranAgain = state.read || primary.disk || backup.disk
		})
	}
	if state.running {
		add("the message completes", func(next *outcomeState) {
			next.running, next.stores[next.primary].memory = false, true
		})
	}
	if !primary.memory {
		return
	}
	if !backup.lost {
		add("the backup syncs the outcome", func(next *outcomeState) {
			next.stores[next.backup()] = outcomeStore{memory: true, disk: true}
			next.confirmed = true
		})
	}
	add("the primary syncs the outcome", func(next *outcomeState) { next.stores[next.primary].disk = true })
	isReplicated := state.confirmed || backup.lost || m.rules.readsBeforeBackup
	if isReplicated && (primary.disk || m.rules.readsBeforeSync) {
		add("a caller reads the outcome", func(next *outcomeState) { next.read = true })
	}
}

// faultSteps are crashes, failovers and the loss of a disk.
func (m *outcomeModel) faultSteps(state *outcomeState, add func(string, func(*outcomeState))) {
	for number := range uint8(outcomeStores) {
		if state.stores[number].lost {
			continue
		}
		if state.crashes < outcomeCrashes {
			add("a store restarts", func(next *outcomeState) {
				next.crashes++
				next.stores[number].memory = next.stores[number].disk
				if number == next.primary {
					next.lead(number)
				}
			})
		}
		if state.losses < outcomeLosses {
			add("a store loses its disk", func(next *outcomeState) {
				next.losses++
				next.stores[number] = outcomeStore{lost: true}
				if number == next.primary {
					next.lead(1 - number)
				}
			})
		}
	}
	if !state.stores[state.backup()].lost {
		add("the backup is promoted", func(next *outcomeState) { next.lead(next.backup()) })
	}
}

// lead makes a store the primary, which knows nothing of what the former one was doing.
func (s *outcomeState) lead(store uint8) {
	s.primary, s.caughtUp, s.confirmed, s.running = store, false, false, false
}

// Violation implements modelcheck.Model.
func (m *outcomeModel) Violation(state *outcomeState) string {
	if state.ranAgain {
		return "the message ran again after its completion was read or stored"
	}
	return ""
}

// TestExploreOutcome searches all states for a message that runs again, and expects to find one with each broken rule.
func TestExploreOutcome(t *testing.T) {
	found := modelcheck.Explore(&outcomeModel{}, defaultSearchStates)
	t.Logf("%d states, depth %d, complete: %v", found.States, found.Depth, found.Complete)
	assert.Equal(t, found.Violation, "", "%q", found.Trace)
	assert.Assert(t, found.Complete)

	for name, rules := range map[string]outcomeRules{
		"a new primary runs messages before it has asked": {runsBeforeAsking: true},
		"an outcome is answered before it is synced":      {readsBeforeSync: true},
		"an outcome is answered before it is replicated":  {readsBeforeBackup: true},
	} {
		t.Run(name, func(t *testing.T) {
			broken := modelcheck.Explore(&outcomeModel{rules: rules}, defaultSearchStates)
			assert.Assert(t, broken.Violation != "", "no violation found in %d states", broken.States)
			t.Logf("%d states: %q", broken.States, broken.Trace)
		})
	}
}
