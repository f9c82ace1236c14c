//go:build !race

package replication

// The model has no goroutines: it is gone through without the race detector, which would take ten times as long.

import (
	"hash/maphash"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// exploration is what a search through the model's states has found.
type exploration struct {
	states    int
	depth     int
	complete  bool // no state within the limits is left out
	violation string
	trace     []string // the steps that lead to it
}

// origin is how a state was first reached.
type origin struct {
	parent uint64
	step   int // its place among the steps that the parent allows
}

// explore goes through the states breadth first, up to a number of them.
func (m *model) explore(most int) exploration {
	seed := maphash.MakeSeed()
	start := founded(m.limits)
	known := map[uint64]origin{maphash.Comparable(seed, start): {}}
	found := exploration{complete: true}
	for level := []modelState{start}; len(level) > 0; found.depth++ {
		var deeper []modelState
		for i := range level {
			parent := maphash.Comparable(seed, level[i])
			for number, step := range m.next(&level[i]) {
				key := maphash.Comparable(seed, step.state)
				if _, seen := known[key]; seen {
					continue
				}
				if found.violation = m.violation(&step.state); found.violation != "" {
					found.states = len(known)
					found.trace = m.trace(append(stepsTo(known, parent), number))
					return found
				}
				if len(known) >= most {
					found.complete = false
					continue
				}
				known[key] = origin{parent, number}
				deeper = append(deeper, step.state)
			}
		}
		level = deeper
	}
	found.states = len(known)
	return found
}

// stepsTo returns the numbers of the steps that lead to a state.
func stepsTo(known map[uint64]origin, key uint64) []int {
	var steps []int
	for at := known[key]; at.parent != 0; at = known[at.parent] {
		steps = append(steps, at.step)
	}
	slices.Reverse(steps)
	return steps
}

// trace names steps.
func (m *model) trace(steps []int) []string {
	m.named = true
	defer func() { m.named = false }()
	state := founded(m.limits)
	var names []string
	for _, number := range steps {
		step := m.next(&state)[number]
		names = append(names, step.name)
		state = step.state
	}
	return names
}

// walk takes random steps from the founding, and returns the steps up to a violation, or nil.
func (m *model) walk(seed uint64, length int) []string {
	if m.tryWalk(seed, length) == nil {
		return nil
	}
	m.named = true
	defer func() { m.named = false }()
	return m.tryWalk(seed, length)
}

func (m *model) tryWalk(seed uint64, length int) []string {
	random := rand.New(rand.NewPCG(seed, seed))
	state := founded(m.limits)
	var taken []string
	for range length {
		steps := m.next(&state)
		if len(steps) == 0 {
			return nil
		}
		step := steps[random.IntN(len(steps))]
		state = step.state
		taken = append(taken, step.name)
		if broken := m.violation(&state); broken != "" {
			return append(taken, broken)
		}
	}
	return nil
}

// number reads a bound from the environment, for longer searches than CI has time for.
func number(name string, fallback int) int {
	value, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return value
}

// TestExplore goes through the protocol's states. EXPLORE_STATES sets how many.
func TestExplore(t *testing.T) {
	cases := map[string]modelLimits{
		"three disks, two elections":              {disks: 3, copies: 2, epochs: 3, changes: 1},
		"three disks, a restart":                  {disks: 3, copies: 2, epochs: 2, changes: 2, crashes: 1},
		"four disks, an election":                 {disks: 4, copies: 2, epochs: 2, changes: 1},
		"three disks, a loss":                     {disks: 3, copies: 2, epochs: 3, changes: 1, losses: 1},
		"three disks, a loss and its replacement": {disks: 3, copies: 2, epochs: 3, changes: 1, losses: 1, joins: 1, stands: 1},
		"three disks, questions":                  {disks: 3, copies: 2, epochs: 3, changes: 1, reads: 2, stands: 2},
		"four disks, a question":                  {disks: 4, copies: 2, epochs: 2, changes: 1, reads: 1, stands: 2},
		"three disks, leases":                     {disks: 3, copies: 2, epochs: 3, changes: 1, leases: true, stands: 2},
		"three disks, leases and a restart":       {disks: 3, copies: 2, epochs: 2, changes: 1, leases: true, crashes: 1},
		"three disks, two changes of members":     {disks: 3, copies: 2, epochs: 5, changes: 1, joins: 1, memberChanges: 2, stands: 1},
		"four disks, a removal":                   {disks: 4, copies: 2, epochs: 3, changes: 1, memberChanges: 1, stands: 2},
		"three disks, two losses and repairs":     {disks: 3, copies: 2, epochs: 5, changes: 1, losses: 2, joins: 2, stands: 1, repaired: true},
	}
	for name, limits := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			searched := &model{rules: groupRules(), limits: limits}
			found := searched.explore(number("EXPLORE_STATES", 90_000))
			t.Logf("%d states, depth %d, complete: %v", found.states, found.depth, found.complete)
			assert.Equal(t, found.violation, "", "%q", found.trace)
		})
	}
}

// TestRandomWalks goes far beyond what can be searched. EXPLORE_WALKS sets how many walks.
func TestRandomWalks(t *testing.T) {
	limits := modelLimits{disks: 4, copies: 2, epochs: maxEpochs, changes: maxChanges, crashes: 2, losses: 1, joins: 1}
	walked := &model{rules: groupRules(), limits: limits}
	for walk := range number("EXPLORE_WALKS", 300) {
		if steps := walked.walk(uint64(walk), 80); steps != nil {
			t.Fatalf("%q", steps)
		}
	}
}

// mutationStates is how many states a mutation has to be found in.
const mutationStates = 400_000

// mutation is a broken rule, with limits within which it shows soon.
type mutation struct {
	limits modelLimits
	mutate func(rules *modelRules)
}

// TestMutationsAreFound breaks one rule at a time, and expects that the search finds it.
func TestMutationsAreFound(t *testing.T) {
	mutations := map[string]mutation{
		"half is a quorum": {modelLimits{disks: 4, copies: 2, epochs: 2, changes: 1, stands: 2}, func(rules *modelRules) {
			rules.quorum = func(view modelView, has diskSet) bool {
				return 2*len((has&view.members).disks()) >= len(view.members.disks())
			}
		}},
		"promises are forgotten at a restart": {modelLimits{disks: 3, copies: 2, epochs: 3, changes: 1, crashes: 1, stands: 2}, func(rules *modelRules) {
			rules.restart = func(disk *modelDisk) { disk.promised, disk.promisedTo = disk.accepted.epoch, disk.accepted.primary }
		}},
		"witnesses accept lower epochs": {modelLimits{disks: 3, copies: 2, epochs: 3, changes: 1, stands: 2}, func(rules *modelRules) {
			rules.allows = func(disk *modelDisk, epoch uint8, _ int) bool { return epoch >= disk.accepted.epoch }
		}},
		"one epoch is promised twice": {modelLimits{disks: 3, copies: 2, epochs: 2, changes: 1, stands: 2}, func(rules *modelRules) {
			rules.allows = func(disk *modelDisk, epoch uint8, _ int) bool { return epoch >= disk.promised }
		}},
		"anyone may succeed": {modelLimits{disks: 3, copies: 2, epochs: 3, changes: 1}, func(rules *modelRules) {
			rules.maySucceed = func(modelView, int) bool { return true }
		}},
		"one copy is enough": {modelLimits{disks: 3, copies: 2, epochs: 2, changes: 1}, func(rules *modelRules) {
			rules.committed = func(view modelView, acks diskSet) bool { return acks != 0 }
		}},
		"all in-sync disks but one are enough": {modelLimits{disks: 3, copies: 2, epochs: 2, changes: 1}, func(rules *modelRules) {
			rules.committed = func(view modelView, acks diskSet) bool {
				return len((view.inSync &^ acks).disks()) <= 1
			}
		}},
		"a question is answered without contact": {modelLimits{disks: 3, copies: 2, epochs: 2, changes: 1, reads: 1, stands: 2}, func(rules *modelRules) {
			rules.mayAnswer = func(modelView, diskSet) bool { return true }
		}},
		"a copy of the state forgets the last entry": {modelLimits{disks: 3, copies: 2, epochs: 3, changes: 1}, func(rules *modelRules) {
			rules.copied = func(log modelLog) modelLog { return log.prefix(max(0, log.len()-1)) }
		}},
		"a lease runs without answers": {modelLimits{disks: 3, copies: 2, epochs: 2, changes: 1, leases: true, stands: 2}, func(rules *modelRules) {
			rules.leaseRuns = func(modelView, int, diskSet) bool { return true }
		}},
		"processes stand and vote while they stand by a primary": {modelLimits{disks: 3, copies: 2, epochs: 2, changes: 1, leases: true, stands: 2}, func(rules *modelRules) {
			rules.standsRegardless = true
		}},
		"a witness leaves a primary that counts on it": {modelLimits{disks: 3, copies: 2, epochs: 2, changes: 1, leases: true, stands: 2}, func(rules *modelRules) {
			rules.abandonsEarly = true
		}},
		"a wiped disk votes under its old name": {modelLimits{disks: 3, copies: 2, epochs: 3, changes: 1, losses: 1}, func(rules *modelRules) {
			rules.wipedReturns = true
		}},
	}
	for name, each := range mutations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			mutant := &model{rules: groupRules(), limits: each.limits}
			each.mutate(&mutant.rules)
			found := mutant.explore(mutationStates)
			assert.Assert(t, found.violation != "", "not found in %d states", found.states)
			t.Logf("%d states: %s by %q", found.states, found.violation, found.trace)
		})
	}
}

// follow takes the steps with some names, and returns the state that they lead to, or the name that no step has.
func (m *model) follow(names []string) (state modelState, missing string) {
	m.named = true
	defer func() { m.named = false }()
	state = founded(m.limits)
	for _, name := range names {
		steps := m.next(&state)
		found := slices.IndexFunc(steps, func(step modelStep) bool { return step.name == name })
		if found < 0 {
			return state, name
		}
		state = steps[found].state
	}
	return state, ""
}

// scriptedMutation is a broken rule whose consequence lies deeper than a search gets: the steps that lead to it.
type scriptedMutation struct {
	limits    modelLimits
	mutate    func(rules *modelRules)
	steps     []string
	forbidden string // the step among them that the group's own rules don't allow
}

// TestScriptedMutations plays steps that a broken rule allows up to a violation, and checks that the group's own rules
// stop them.
func TestScriptedMutations(t *testing.T) {
	mutations := map[string]scriptedMutation{
		"a member counts before it has caught up": {
			limits: modelLimits{disks: 3, copies: 2, epochs: 3, changes: 1, joins: 1, memberChanges: 1},
			mutate: func(rules *modelRules) {
				rules.joins = func(view modelView, aligned diskSet) diskSet {
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
			limits: modelLimits{disks: 3, copies: 2, epochs: 4, changes: 1, joins: 2, memberChanges: 2},
			mutate: func(rules *modelRules) { rules.mayChange = func(modelView) bool { return true } },
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
	for name, each := range mutations {
		t.Run(name, func(t *testing.T) {
			mutant := &model{rules: groupRules(), limits: each.limits}
			each.mutate(&mutant.rules)
			state, missing := mutant.follow(each.steps)
			assert.Equal(t, missing, "")
			assert.Assert(t, mutant.violation(&state) != "")
			_, stopped := (&model{rules: groupRules(), limits: each.limits}).follow(each.steps)
			assert.Equal(t, stopped, each.forbidden)
		})
	}
}
