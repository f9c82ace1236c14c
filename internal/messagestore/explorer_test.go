//go:build !race

package messagestore

// The model has no goroutines, so these tests run without the race detector, which would take ten times as long.

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/modelcheck"
)

// defaultSearchStates is the maximum number of states that a search visits, unless EXPLORE_STATES sets another one.
const defaultSearchStates = 150_000

// searchCase has the limits of a search and its expected result with defaultSearchStates. The numbers change only with
// the model.
type searchCase struct {
	limits   modelLimits
	states   int
	depth    int
	complete bool
}

// TestExplorePartition searches the reachable states of the model breadth-first for a violated invariant.
// EXPLORE_STATES sets the maximum number of states per case.
func TestExplorePartition(t *testing.T) {
	cases := map[string]searchCase{
		"two replicas, a failover":                          {modelLimits{stores: 3, replicas: 2, messages: 1, views: 2}, 72408, 20, true},
		"two replicas, two view changes":                    {modelLimits{stores: 3, replicas: 2, messages: 1, views: 3}, 150000, 12, false},
		"two replicas, a restart":                           {modelLimits{stores: 3, replicas: 2, messages: 1, views: 3, crashes: 1}, 150000, 10, false},
		"two replicas, two lost disks in sequence":          {modelLimits{stores: 3, replicas: 2, messages: 1, views: 5, losses: 2}, 150000, 10, false},
		"three replicas, a lost disk":                       {modelLimits{stores: 4, replicas: 3, messages: 1, views: 3, losses: 1}, 150000, 8, false},
		"two replicas, an early lost disk":                  {modelLimits{stores: 3, replicas: 2, messages: 1, views: 3, losses: 1, earlyLosses: true}, 150000, 10, false},
		"two replicas, a dropped backup and a lost disk":    {modelLimits{stores: 3, replicas: 2, messages: 1, views: 4, losses: 1}, 150000, 10, false},
		"two replicas, a suspected backup, two lost disks":  {modelLimits{stores: 4, replicas: 2, messages: 1, views: 6, losses: 2}, 150000, 9, false},
		"two replicas, overlapping losses":                  {modelLimits{stores: 3, replicas: 2, messages: 1, views: 4, losses: 1, overlappingLosses: true}, 150000, 9, false},
		"two replicas, recoveries after a restart":          {modelLimits{stores: 3, replicas: 2, messages: 1, views: 4, crashes: 1, overlappingLosses: true}, 150000, 9, false},
		"two replicas, recoveries and a handover":           {modelLimits{stores: 3, replicas: 2, messages: 1, views: 4, losses: 1, handovers: true, overlappingLosses: true}, 150000, 9, false},
		"two replicas, recoveries and a decommissioning":    {modelLimits{stores: 4, replicas: 2, messages: 1, views: 5, losses: 1, retirement: true, overlappingLosses: true}, 150000, 8, false},
		"three replicas, two overlapping losses":            {modelLimits{stores: 4, replicas: 3, messages: 1, views: 4, losses: 2, overlappingLosses: true}, 150000, 7, false},
		"two replicas, two messages":                        {modelLimits{stores: 3, replicas: 2, messages: 2, views: 3}, 150000, 10, false},
		"two replicas, a decommissioned store":              {modelLimits{stores: 4, replicas: 2, messages: 1, views: 4, retirement: true}, 150000, 9, false},
		"two replicas, a decommissioned store, a lost disk": {modelLimits{stores: 4, replicas: 2, messages: 1, views: 5, retirement: true, losses: 1}, 150000, 8, false},
		"two replicas, renewals":                            {modelLimits{stores: 3, replicas: 2, messages: 1, views: 3, renewals: true}, 150000, 12, false},
		"two replicas, a handover":                          {modelLimits{stores: 3, replicas: 2, messages: 1, views: 3, handovers: true}, 150000, 11, false},
	}
	bound := modelcheck.EnvInt("EXPLORE_STATES", defaultSearchStates)
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			model := &partitionModel{rules: storeRules(each.limits), limits: each.limits}
			found := modelcheck.Explore(model, bound)
			t.Logf("%d states, depth %d, complete: %v", found.States, found.Depth, found.Complete)
			assert.Equal(t, found.Violation, "", "%q", found.Trace)
			if bound == defaultSearchStates {
				assert.Equal(t, found.States, each.states)
				assert.Equal(t, found.Depth, each.depth)
				assert.Equal(t, found.Complete, each.complete)
			}
		})
	}
}

// TestWalkPartition makes random walks through the model with limits that are too large for a search. EXPLORE_WALKS
// sets the number of walks per case.
func TestWalkPartition(t *testing.T) {
	cases := map[string]modelLimits{
		"losses in sequence": {
			stores: 4, replicas: 2, messages: 2, views: modelViews, losses: 2, crashes: 2, retirement: true, handovers: true,
		},
		"overlapping losses": {
			stores: 4, replicas: 2, messages: 2, views: modelViews, losses: 1, crashes: 2, retirement: true, handovers: true,
			overlappingLosses: true,
		},
		"overlapping losses of two disks": {
			stores: 4, replicas: 3, messages: 2, views: modelViews, losses: 2, crashes: 1, overlappingLosses: true,
		},
	}
	for name, limits := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			model := &partitionModel{rules: storeRules(limits), limits: limits}
			for walk := range modelcheck.EnvInt("EXPLORE_WALKS", 2000) {
				if steps := modelcheck.RandomWalk(model, uint64(walk), 80); steps != nil {
					t.Fatalf("%q", steps)
				}
			}
		})
	}
}

// mutation breaks one rule, with limits under which a search finds a violation.
type mutation struct {
	limits modelLimits
	mutate func(rules *modelRules)
	states int // number of states until the violation; it changes only with the model
}

// mutationStates is the maximum number of states in the search for a mutation.
const mutationStates = 2_000_000

// partitionMutations returns the mutations by their descriptions.
func partitionMutations() map[string]mutation {
	failover := modelLimits{stores: 3, replicas: 2, messages: 1, views: 2}
	twice := modelLimits{stores: 3, replicas: 2, messages: 1, views: 3}
	overlapping := modelLimits{stores: 3, replicas: 2, messages: 1, views: 4, losses: 1, overlappingLosses: true}
	return map[string]mutation{
		"a store is promoted while its predecessor has a lease": {failover, func(rules *modelRules) {
			rules.mayPromote = func(*modelStore) bool { return true }
		}, 38},
		"a lease is renewed without the newest table": {failover, func(rules *modelRules) {
			rules.onLeaseRenewal = func(*modelState, int) {}
		}, 260},
		"a rejection counts as a lease":                {failover, func(rules *modelRules) { rules.grantOnRejection = true }, 262},
		"a new primary does not wait for lease grants": {failover, func(rules *modelRules) { rules.ignoresGrants = true }, 225},
		"a backup is marked as synced before it has all messages": {twice, func(rules *modelRules) {
			rules.maySync = func(messageSet, messageSet) bool { return true }
		}, 8897},
		"a message is committed on one disk": {failover, func(rules *modelRules) {
			rules.committed = func(*partitionView, storeSet) bool { return true }
		}, 16},
		"another disk at the address confirms a record": {
			modelLimits{stores: 3, replicas: 2, messages: 1, views: 3, losses: 1, earlyLosses: true},
			func(rules *modelRules) {
				rules.isTarget = func(*partitionView, *modelState, int) bool { return true }
				rules.maySync = func(stored, knownStored messageSet) bool { return knownStored.contains(stored) }
			},
			161464,
		},
		"a store is removed before enough others are synced": {
			modelLimits{stores: 4, replicas: 2, messages: 1, views: 4, retirement: true},
			func(rules *modelRules) { rules.mayComplete = func(*modelState, int) bool { return true } },
			408,
		},
		"a disk is lost as soon as an unresponsive backup was dropped": {
			modelLimits{stores: 3, replicas: 2, messages: 1, views: 3, losses: 1},
			func(rules *modelRules) { rules.lossWhileReplacing = true },
			70,
		},
		"a responding backup is dropped before another is synced": {
			modelLimits{stores: 3, replicas: 2, messages: 1, views: 3, losses: 1},
			func(rules *modelRules) { rules.dropsRespondingBackup = true },
			67,
		},
		"a recovery does not ask dropped replicas": {
			overlapping,
			func(rules *modelRules) { rules.retainsReplicas = false },
			3839,
		},
		"a recovery asks no replica":                  {overlapping, func(rules *modelRules) { rules.skipsCollection = true }, 56612},
		"a recovery begins without required replicas": {overlapping, func(rules *modelRules) { rules.recoversWithTooFew = true }, 93149},
		"a recovery does not collect known grants": {
			overlapping,
			func(rules *modelRules) { rules.omitsCollectedGrants = true },
			230322,
		},
		"a store that starts again does not wait for leases of before": {
			modelLimits{stores: 3, replicas: 2, messages: 1, views: 3, crashes: 1},
			func(rules *modelRules) { rules.forgetsGrants = true },
			2147,
		},
		"confirmations from before a backup left the group count": {
			modelLimits{stores: 3, replicas: 2, messages: 1, views: 5},
			func(rules *modelRules) { rules.keepsStaleConfirmations = true },
			1635931,
		},
		"a primary does not tell its backups of grants": {
			modelLimits{stores: 3, replicas: 2, messages: 1, views: 4},
			func(rules *modelRules) { rules.omitsGrants = true },
			59144,
		},
		"deliveries resume after a handover of unknown outcome": {
			modelLimits{stores: 3, replicas: 2, messages: 1, views: 2, handovers: true},
			func(rules *modelRules) { rules.resumesOnUnknownOutcome = true },
			560,
		},
	}
}

// TestPartitionMutationsAreFound guards against a model that no longer detects faults: it breaks one rule at a time and
// expects the search to find a violation.
func TestPartitionMutationsAreFound(t *testing.T) {
	for name, each := range partitionMutations() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			mutant := &partitionModel{rules: storeRules(each.limits), limits: each.limits}
			each.mutate(&mutant.rules)
			found := modelcheck.Explore(mutant, mutationStates)
			assert.Assert(t, found.Violation != "", "no violation found in %d states", found.States)
			assert.Equal(t, found.States, each.states)
			t.Logf("%d states: %s by %q", found.States, found.Violation, found.Trace)
		})
	}
}
