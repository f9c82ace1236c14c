//go:build !race

package replication

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/modelcheck"
)

// The model has no goroutines, so its tests are excluded from builds with the race detector, in which a search takes
// ten times as long.

// mutationStates is the maximum number of states that are searched for the violation of a mutation.
const mutationStates = 400_000

// mutation is a broken rule, with limits within which a search finds a violation quickly.
type mutation struct {
	states int // number of states until the violation is found
	limits modelLimits
	mutate func(rules *modelRules)
}

// mutations are the broken rules whose violations a search finds, by description.
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
	"promises are lost in a restart": {
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
	"a member outside the in-sync set may lead": {
		states: 148_665,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 3, changes: 1},
		mutate: func(rules *modelRules) {
			rules.mayLead = func(modelView, int) bool { return true }
		},
	},
	"one disk is enough to commit": {
		states: 289,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 2, changes: 1},
		mutate: func(rules *modelRules) {
			rules.committed = func(view modelView, acks diskSet) bool { return acks != 0 }
		},
	},
	"all in-sync disks but one are enough to commit": {
		states: 1_049,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 2, changes: 1},
		mutate: func(rules *modelRules) {
			rules.committed = func(view modelView, acks diskSet) bool {
				return len((view.inSync &^ acks).disks()) <= 1
			}
		},
	},
	"a read is served without confirmation": {
		states: 6_676,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 2, changes: 1, reads: 1, candidates: 2},
		mutate: func(rules *modelRules) {
			rules.mayServeRead = func(modelView, diskSet) bool { return true }
		},
	},
	"a snapshot lacks the last entry": {
		states: 30_418,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 3, changes: 1},
		mutate: func(rules *modelRules) {
			rules.snapshotOf = func(log modelLog) modelLog { return log.prefix(max(0, log.len()-1)) }
		},
	},
	"a lease is valid without responses": {
		states: 7_888,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 2, changes: 1, leases: true, candidates: 2},
		mutate: func(rules *modelRules) {
			rules.leaseValid = func(modelView, int, diskSet) bool { return true }
		},
	},
	"processes campaign and vote while they support a primary": {
		states: 4_290,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 2, changes: 1, leases: true, candidates: 2},
		mutate: func(rules *modelRules) {
			rules.ignoresLeases = true
		},
	},
	"a witness stops supporting a primary that counts its support": {
		states: 7_490,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 2, changes: 1, leases: true, candidates: 2},
		mutate: func(rules *modelRules) {
			rules.dropsSupportEarly = true
		},
	},
	"a wiped disk votes under its old id": {
		states: 199_596,
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 3, changes: 1, losses: 1},
		mutate: func(rules *modelRules) {
			rules.wipedReturns = true
		},
	},
}

// TestMutationsAreFound guards against a model that misses faults of the protocol. It breaks one rule at a time, and
// the search must find a violation.
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

// scriptedMutation is a broken rule whose violation lies deeper than a search reaches, with the steps that lead to it.
type scriptedMutation struct {
	limits    modelLimits
	mutate    func(rules *modelRules)
	steps     []string
	forbidden string // the first step that the group's own rules don't allow
}

// scriptedMutations are the broken rules whose violations a script reaches, by description.
var scriptedMutations = map[string]scriptedMutation{
	"a new member is in sync before it has caught up": {
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 3, changes: 1, joins: 1, memberChanges: 1},
		mutate: func(rules *modelRules) {
			rules.inSync = func(view modelView, aligned diskSet) diskSet {
				return (aligned | view.members&^view.previous) & view.members
			}
		},
		steps: []string{
			"a replacement starts", "e follows a in epoch 1 by snapshot, response received",
			"a proposes change 1", "b appends entry 1 of a, response received", "c appends entry 1 of a, response received",
			"a campaigns in epoch 2", "b promises epoch 2 to a, response received", "a aligns in epoch 2 with e",
			"c follows a in epoch 2 by snapshot, response received", "a accepts its own view 2 with [0 2 4] in sync",
			"c accepts view 2 of a, response received", "e accepts view 2 of a, response received", "a leads in epoch 2",
			"e campaigns in epoch 3", "c promises epoch 3 to e, response received", "b promises epoch 3 to e, response received",
			"e aligns in epoch 3", "c follows e in epoch 3 by snapshot, response received",
			"e accepts its own view 3 with [2 4] in sync",
			"b accepts view 3 of e, response received", "c accepts view 3 of e, response received", "e leads in epoch 3",
		},
		forbidden: "a accepts its own view 2 with [0 2 4] in sync",
	},
	"members change while a previous change is incomplete": {
		limits: modelLimits{disks: 3, replicationFactor: 2, epochs: 4, changes: 1, joins: 2, memberChanges: 2},
		mutate: func(rules *modelRules) { rules.mayChangeMembers = func(modelView) bool { return true } },
		steps: []string{
			"a replacement starts", "a replacement starts",
			"e follows a in epoch 1 by snapshot, response received", "d follows a in epoch 1 by snapshot, response received",
			"a campaigns in epoch 2", "b promises epoch 2 to a, response received", "a aligns in epoch 2 with d in place of c",
			"d follows a in epoch 2 by snapshot, response received", "a accepts its own view 2 with [0 3] in sync",
			"a campaigns in epoch 3", "b promises epoch 3 to a, response received", "d promises epoch 3 to a, response received",
			"a aligns in epoch 3 with e in place of b", "e follows a in epoch 3 by snapshot, response received",
			"a accepts its own view 3 with [0 4] in sync", "d accepts view 3 of a, response received", "a leads in epoch 3",
			"a proposes change 1", "e appends entry 1 of a, response received",
			"b campaigns in epoch 4", "c promises epoch 4 to b, response received", "b aligns in epoch 4",
			"c follows b in epoch 4, response received", "b accepts its own view 4 with [1 2] in sync",
			"c accepts view 4 of b, response received", "b leads in epoch 4",
		},
		forbidden: "a aligns in epoch 3 with e in place of b",
	},
}

// TestScriptedMutations replays steps that a broken rule allows up to a violation, and checks that the group's own
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
