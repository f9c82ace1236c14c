//go:build !race

package replication

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/modelcheck"
)

// The model has no goroutines, so it is searched without the race detector, which would take ten times as long.

// mutationStates is how many states are searched for the violation of a mutation at most.
const mutationStates = 400_000

// mutation is a broken rule, with limits within which a violation is found soon.
type mutation struct {
	states int // number of states until the violation is found
	limits modelLimits
	mutate func(rules *modelRules)
}

// mutations are the broken rules that a search finds, by what is wrong with them.
var mutations = map[string]mutation{
	"half is a quorum": {
		states: 103_186,
		limits: modelLimits{disks: 4, replicationFactor: 2, epochs: 2, changes: 1, candidates: 2},
		mutate: func(rules *modelRules) {
			rules.quorum = func(view modelView, has diskSet) bool {
				return 2*len((has&view.members).disks()) >= len(view.members.disks())
			}
		},
	},
	"promises are forgotten at a restart": {
		states: 400_000,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 3, changes: 1, crashes: 1, candidates: 2},
		mutate: func(rules *modelRules) {
			rules.restart = func(disk *modelDisk) { disk.promised, disk.promisedTo = disk.accepted.epoch, disk.accepted.primary }
		},
	},
	"witnesses accept lower epochs": {
		states: 400_000,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 3, changes: 1, candidates: 2},
		mutate: func(rules *modelRules) {
			rules.allows = func(disk *modelDisk, epoch uint8, _ int) bool { return epoch >= disk.accepted.epoch }
		},
	},
	"one epoch is promised twice": {
		states: 37_411,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 2, changes: 1, candidates: 2},
		mutate: func(rules *modelRules) {
			rules.allows = func(disk *modelDisk, epoch uint8, _ int) bool { return epoch >= disk.promised }
		},
	},
	"anyone may succeed": {
		states: 148_665,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 3, changes: 1},
		mutate: func(rules *modelRules) {
			rules.maySucceed = func(modelView, int) bool { return true }
		},
	},
	"one copy is enough": {
		states: 289,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 2, changes: 1},
		mutate: func(rules *modelRules) {
			rules.committed = func(view modelView, acks diskSet) bool { return acks != 0 }
		},
	},
	"all in-sync disks but one are enough": {
		states: 1_049,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 2, changes: 1},
		mutate: func(rules *modelRules) {
			rules.committed = func(view modelView, acks diskSet) bool {
				return len((view.inSync &^ acks).disks()) <= 1
			}
		},
	},
	"a question is answered without contact": {
		states: 6_676,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 2, changes: 1, reads: 1, candidates: 2},
		mutate: func(rules *modelRules) {
			rules.mayServeRead = func(modelView, diskSet) bool { return true }
		},
	},
	"a copy of the state forgets the last entry": {
		states: 30_418,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 3, changes: 1},
		mutate: func(rules *modelRules) {
			rules.snapshotOf = func(log modelLog) modelLog { return log.prefix(max(0, log.len()-1)) }
		},
	},
	"a lease runs without answers": {
		states: 7_888,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 2, changes: 1, leases: true, candidates: 2},
		mutate: func(rules *modelRules) {
			rules.leaseValid = func(modelView, int, diskSet) bool { return true }
		},
	},
	"processes stand and vote while they stand by a primary": {
		states: 4_290,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 2, changes: 1, leases: true, candidates: 2},
		mutate: func(rules *modelRules) {
			rules.ignoresLeases = true
		},
	},
	"a witness leaves a primary that counts on it": {
		states: 7_490,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 2, changes: 1, leases: true, candidates: 2},
		mutate: func(rules *modelRules) {
			rules.leavesPrimaryEarly = true
		},
	},
	"a wiped disk votes under its old name": {
		states: 199_596,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 3, changes: 1, losses: 1},
		mutate: func(rules *modelRules) {
			rules.wipedReturns = true
		},
	},
}

// TestMutationsAreFound breaks one rule at a time, and expects that the search finds a violation.
func TestMutationsAreFound(t *testing.T) {
	for name, each := range mutations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			mutant := &model{rules: groupRules(), limits: each.limits}
			each.mutate(&mutant.rules)
			found := modelcheck.Explore(mutant, mutationStates)
			assert.Assert(t, found.Violation != "", "not found in %d states", found.States)
			assert.Equal(t, found.States, each.states)
			t.Logf("%d states: %s by %q", found.States, found.Violation, found.Trace)
		})
	}
}

// scriptedMutation is a broken rule whose violation lies deeper than a search gets, with the steps that lead to it.
type scriptedMutation struct {
	limits    modelLimits
	mutate    func(rules *modelRules)
	steps     []string
	forbidden string // the step that the group's own rules don't allow
}

// scriptedMutations are the broken rules that a script shows, by what is wrong with them.
var scriptedMutations = map[string]scriptedMutation{
	"a member counts before it has caught up": {
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 3, changes: 1, joins: 1, memberChanges: 1},
		mutate: func(rules *modelRules) {
			rules.inSync = func(view modelView, aligned diskSet) diskSet {
				return (aligned | view.members&^view.previous) & view.members
			}
		},
		steps: []string{
			"a replacement starts", "e follows a in 1 by a copy, which hears of it",
			"a proposes change 1", "b logs entry 1 of a, which hears of it", "c logs entry 1 of a, which hears of it",
			"a stands in 2", "b promises 2 to a, which hears of it", "a aligns in 2 with e",
			"c follows a in 2 by a copy, which hears of it", "a accepts its view 2 with [0 2 4] in sync",
			"c accepts the view 2 of a, which hears of it", "e accepts the view 2 of a, which hears of it", "a leads in 2",
			"e stands in 3", "c promises 3 to e, which hears of it", "b promises 3 to e, which hears of it",
			"e aligns in 3", "c follows e in 3 by a copy, which hears of it", "e accepts its view 3 with [2 4] in sync",
			"b accepts the view 3 of e, which hears of it", "c accepts the view 3 of e, which hears of it", "e leads in 3",
		},
		forbidden: "a accepts its view 2 with [0 2 4] in sync",
	},
	"members change while a change is in doubt": {
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 4, changes: 1, joins: 2, memberChanges: 2},
		mutate: func(rules *modelRules) { rules.mayChangeMembers = func(modelView) bool { return true } },
		steps: []string{
			"a replacement starts", "a replacement starts",
			"e follows a in 1 by a copy, which hears of it", "d follows a in 1 by a copy, which hears of it",
			"a stands in 2", "b promises 2 to a, which hears of it", "a aligns in 2 with d for c",
			"d follows a in 2 by a copy, which hears of it", "a accepts its view 2 with [0 3] in sync",
			"a stands in 3", "b promises 3 to a, which hears of it", "d promises 3 to a, which hears of it",
			"a aligns in 3 with e for b", "e follows a in 3 by a copy, which hears of it",
			"a accepts its view 3 with [0 4] in sync", "d accepts the view 3 of a, which hears of it", "a leads in 3",
			"a proposes change 1", "e logs entry 1 of a, which hears of it",
			"b stands in 4", "c promises 4 to b, which hears of it", "b aligns in 4",
			"c follows b in 4, which hears of it", "b accepts its view 4 with [1 2] in sync",
			"c accepts the view 4 of b, which hears of it", "b leads in 4",
		},
		forbidden: "a aligns in 3 with e for b",
	},
}

// TestScriptedMutations takes steps that a broken rule allows up to a violation, and checks that the group's own
// rules stop them.
func TestScriptedMutations(t *testing.T) {
	for name, each := range scriptedMutations {
		t.Run(name, func(t *testing.T) {
			mutant := &model{rules: groupRules(), limits: each.limits}
			each.mutate(&mutant.rules)
			state, missing := modelcheck.Replay(mutant, each.steps)
			assert.Equal(t, missing, "")
			assert.Assert(t, mutant.Violation(&state) != "")
			_, stopped := modelcheck.Replay(&model{rules: groupRules(), limits: each.limits}, each.steps)
			assert.Equal(t, stopped, each.forbidden)
		})
	}
}
