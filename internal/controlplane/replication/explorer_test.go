//go:build !race

package replication

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/modelcheck"
)

// exploredStates is the number of states that are searched in each space unless EXPLORE_STATES is set.
const exploredStates = 90_000

// exploredSpace is a part of the model's states, with the results of a search of exploredStates states. They differ if
// a change of the model or of the group's rules makes other states reachable.
type exploredSpace struct {
	limits   modelLimits
	states   int
	depth    int
	complete bool
}

// TestExplore searches the states of the protocol for violations of its invariants. EXPLORE_STATES sets the number of
// states.
func TestExplore(t *testing.T) {
	spaces := map[string]exploredSpace{
		"three disks, two elections": {
			limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 3, changes: 1},
			states: 90_000, depth: 13, complete: false,
		},
		"three disks, a restart": {
			limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 2, changes: 2, crashes: 1},
			states: 81_945, depth: 18, complete: true,
		},
		"four disks, an election": {
			limits: modelLimits{disks: 4, replicationFactor: 2, epochs: 2, changes: 1},
			states: 85_971, depth: 18, complete: true,
		},
		"three disks, a loss": {
			limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 3, changes: 1, losses: 1},
			states: 90_000, depth: 11, complete: false,
		},
		"three disks, a loss and its replacement": {
			limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 3, changes: 1, losses: 1, joins: 1, candidates: 1},
			states: 90_000, depth: 17, complete: false,
		},
		"three disks, reads": {
			limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 3, changes: 1, reads: 2, candidates: 2},
			states: 90_000, depth: 13, complete: false,
		},
		"four disks, a read": {
			limits: modelLimits{disks: 4, replicationFactor: 2, epochs: 2, changes: 1, reads: 1, candidates: 2},
			states: 90_000, depth: 15, complete: false,
		},
		"three disks, leases": {
			limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 3, changes: 1, leases: true, candidates: 2},
			states: 90_000, depth: 15, complete: false,
		},
		"three disks, leases and a restart": {
			limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 2, changes: 1, leases: true, crashes: 1},
			states: 90_000, depth: 17, complete: false,
		},
		"three disks, two changes of members": {
			limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 5, changes: 1, joins: 1, memberChanges: 2, candidates: 1},
			states: 90_000, depth: 10, complete: false,
		},
		"four disks, a removal": {
			limits: modelLimits{disks: 4, replicationFactor: 2, epochs: 3, changes: 1, memberChanges: 1, candidates: 2},
			states: 90_000, depth: 11, complete: false,
		},
		"three disks, two losses and replacements": {
			limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 5, changes: 1, losses: 2, joins: 2, candidates: 1, oneLossAtATime: true},
			states: 90_000, depth: 11, complete: false,
		},
	}
	for name, space := range spaces {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			searched := &model{rules: groupRules(), limits: space.limits}
			bound := modelcheck.EnvInt("EXPLORE_STATES", exploredStates)
			found := modelcheck.Explore(searched, bound)
			t.Logf("%d states, depth %d, complete: %v", found.States, found.Depth, found.Complete)
			assert.Equal(t, found.Violation, "", "%q", found.Trace)
			if bound == exploredStates {
				assert.Equal(t, found.States, space.states)
				assert.Equal(t, found.Depth, space.depth)
				assert.Equal(t, found.Complete, space.complete)
			}
		})
	}
}

// TestRandomWalks looks for violations in states that lie deeper than a search reaches. EXPLORE_WALKS sets the number
// of walks.
func TestRandomWalks(t *testing.T) {
	limits := modelLimits{disks: 4, replicationFactor: 2, epochs: maxEpochs, changes: maxChanges, crashes: 2, losses: 1, joins: 1}
	walked := &model{rules: groupRules(), limits: limits}
	for walk := range modelcheck.EnvInt("EXPLORE_WALKS", 300) {
		if steps := modelcheck.RandomWalk(walked, uint64(walk), 80); steps != nil {
			t.Fatalf("%q", steps)
		}
	}
}
