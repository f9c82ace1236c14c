//go:build !race

package messagestore

// The model has no goroutines: it is gone through without the race detector, which would take ten times as long.

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/modelcheck"
)

// TestExplorePartition goes through the states of a partition. EXPLORE_STATES sets how many.
func TestExplorePartition(t *testing.T) {
	cases := map[string]modelLimits{
		"two copies, a failover":                       {stores: 3, copies: 2, messages: 1, views: 2},
		"two copies, two changes of the view":          {stores: 3, copies: 2, messages: 1, views: 3},
		"two copies, a restart":                        {stores: 3, copies: 2, messages: 1, views: 3, crashes: 1},
		"two copies, two lost disks, one by one":       {stores: 3, copies: 2, messages: 1, views: 5, losses: 2},
		"three copies, a lost disk":                    {stores: 4, copies: 3, messages: 1, views: 3, losses: 1},
		"two copies, a disk lost early":                {stores: 3, copies: 2, messages: 1, views: 3, losses: 1, losesEarly: true},
		"two copies, a dropped backup and a lost disk": {stores: 3, copies: 2, messages: 1, views: 4, losses: 1},
		"two copies, two messages":                     {stores: 3, copies: 2, messages: 2, views: 3},
		"two copies, a store is emptied":               {stores: 4, copies: 2, messages: 1, views: 4, retires: true},
		"two copies, emptied, then a lost disk":        {stores: 4, copies: 2, messages: 1, views: 5, retires: true, losses: 1},
		"two copies, a handover":                       {stores: 3, copies: 2, messages: 1, views: 3, hands: true},
	}
	for name, limits := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			searched := &partitionModel{rules: storeRules(limits), limits: limits}
			found := modelcheck.Explore(searched, modelcheck.Bound("EXPLORE_STATES", 150_000))
			t.Logf("%d states, depth %d, complete: %v", found.States, found.Depth, found.Complete)
			assert.Equal(t, found.Violation, "", "%q", found.Trace)
		})
	}
}

// TestWalkPartition goes beyond what can be searched. EXPLORE_WALKS sets how many walks.
func TestWalkPartition(t *testing.T) {
	limits := modelLimits{stores: 4, copies: 2, messages: 2, views: modelViews, losses: 2, crashes: 2, retires: true, hands: true}
	walked := &partitionModel{rules: storeRules(limits), limits: limits}
	for walk := range modelcheck.Bound("EXPLORE_WALKS", 2000) {
		if steps := modelcheck.Walk(walked, uint64(walk), 80); steps != nil {
			t.Fatalf("%q", steps)
		}
	}
}

// mutation is a broken rule, with limits within which it shows soon.
type mutation struct {
	limits modelLimits
	mutate func(rules *modelRules)
}

// mutationStates is how many states a mutation has to be found in.
const mutationStates = 500_000

// TestPartitionMutationsAreFound breaks one rule at a time, and expects that the search finds it.
func TestPartitionMutationsAreFound(t *testing.T) {
	failover := modelLimits{stores: 3, copies: 2, messages: 1, views: 2}
	twice := modelLimits{stores: 3, copies: 2, messages: 1, views: 3}
	mutations := map[string]mutation{
		"a store is promoted while the former one's lease runs": {failover, func(rules *modelRules) {
			rules.mayPromote = func(*modelStore) bool { return true }
		}},
		"a lease comes without the newest table": {failover, func(rules *modelRules) {
			rules.renews = func(*modelState, int) {}
		}},
		"a refusal counts as a grant":                     {failover, func(rules *modelRules) { rules.grantOnRefusal = true }},
		"a successor does not wait for the end of grants": {failover, func(rules *modelRules) { rules.deliversAtOnce = true }},
		"a backup counts as synced before it is whole": {twice, func(rules *modelRules) {
			rules.maySync = func(messageSet, messageSet) bool { return true }
		}},
		"one disk is enough": {failover, func(rules *modelRules) {
			rules.committed = func(*partitionView, storeSet) bool { return true }
		}},
		"another disk at the address confirms": {
			modelLimits{stores: 3, copies: 2, messages: 1, views: 3, losses: 1, losesEarly: true},
			func(rules *modelRules) {
				rules.isTarget = func(*partitionView, *modelState, int) bool { return true }
				rules.maySync = func(held, noted messageSet) bool { return noted.contains(held) }
			},
		},
		"a store is taken away before others are whole": {
			modelLimits{stores: 4, copies: 2, messages: 1, views: 4, retires: true},
			func(rules *modelRules) { rules.mayComplete = func(*modelState, int) bool { return true } },
		},
		"a disk is lost as soon as a living backup was dropped": {
			modelLimits{stores: 3, copies: 2, messages: 1, views: 3, losses: 1},
			func(rules *modelRules) { rules.dropsUnnoticed = true },
		},
		"a backup that was away counts with what it confirmed before": {
			modelLimits{stores: 3, copies: 2, messages: 1, views: 5},
			func(rules *modelRules) { rules.keepsAcks = true },
		},
		"a successor's successor knows nothing of grants": {
			modelLimits{stores: 3, copies: 2, messages: 1, views: 4},
			func(rules *modelRules) { rules.keepsGrants = true },
		},
		"deliveries go on after a handover without a clear answer": {
			modelLimits{stores: 3, copies: 2, messages: 1, views: 2, hands: true},
			func(rules *modelRules) { rules.resumesBlindly = true },
		},
	}
	for name, each := range mutations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			mutant := &partitionModel{rules: storeRules(each.limits), limits: each.limits}
			each.mutate(&mutant.rules)
			found := modelcheck.Explore(mutant, mutationStates)
			assert.Assert(t, found.Violation != "", "not found in %d states", found.States)
			t.Logf("%d states: %s by %q", found.States, found.Violation, found.Trace)
		})
	}
}
