package modelcheck

import (
	"hash/maphash"
	"slices"
)

// Result is the result of a search.
type Result struct {
	States    int      // number of different states that were reached
	Depth     int      // number of levels that were searched to their end
	Complete  bool     // no state within the model's bounds was left out
	Violation string   // the first violation, which ends the search; "" for none
	Trace     []string // names of the steps that lead to the violation
}

// origin is how a state was first reached.
type origin struct {
	parent uint64
	step   int // index among the steps that follow the parent
}

// Explore searches the states breadth first, up to a number of different states, for the first violation. Its
// trace is a shortest one, unless the limit has cut states off. States are told apart by a 64-bit hash. The initial
// state is not checked.
func Explore[State comparable](model Model[State], limit int) Result {
	seed := maphash.MakeSeed()
	start := model.Start()
	known := map[uint64]origin{maphash.Comparable(seed, start): {}}
	found := Result{Complete: true}
	for level := []State{start}; len(level) > 0; found.Depth++ {
		var nextLevel []State
		for i := range level {
			parent := maphash.Comparable(seed, level[i])
			for number, step := range model.Next(&level[i], false) {
				key := maphash.Comparable(seed, step.State)
				if _, seen := known[key]; seen {
					continue
				}
				if found.Violation = model.Violation(&step.State); found.Violation != "" {
					found.States = len(known)
					found.Trace = stepNames(model, append(stepNumbers(known, parent), number))
					return found
				}
				if len(known) >= limit {
					found.Complete = false
					continue
				}
				known[key] = origin{parent, number}
				nextLevel = append(nextLevel, step.State)
			}
		}
		level = nextLevel
	}
	found.States = len(known)
	return found
}

// stepNumbers returns the indices of the steps that lead to a state.
func stepNumbers(known map[uint64]origin, key uint64) []int {
	var steps []int
	for at := known[key]; at.parent != 0; at = known[at.parent] {
		steps = append(steps, at.step)
	}
	slices.Reverse(steps)
	return steps
}

// stepNames returns the names of steps.
func stepNames[State comparable](model Model[State], steps []int) []string {
	state := model.Start()
	var names []string
	for _, number := range steps {
		step := model.Next(&state, true)[number]
		names = append(names, step.Name)
		state = step.State
	}
	return names
}
