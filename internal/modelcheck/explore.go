package modelcheck

import (
	"hash/maphash"
	"slices"
)

// Result is the result of Explore.
type Result struct {
	States    int      // number of distinct states that were recorded, at most the limit of the search
	Depth     int      // number of levels whose recorded states were all expanded
	Complete  bool     // no state was left out because of the limit
	Violation string   // the first violation, which ends the search; "" if there is none
	Trace     []string // names of the steps that lead to the violation, in order
}

// origin records the step by which a state was first reached.
type origin struct {
	parent uint64 // hash of the preceding state; 0 for the initial state
	step   int    // index in the parent's list of steps
}

// Explore searches the states breadth first for the first violation, and records at most limit distinct states. Its
// trace is a shortest one unless states were left out because of the limit. States are identified by a 64-bit hash, so
// a collision would hide a state. The initial state is not checked.
func Explore[State comparable](model Model[State], limit int) Result {
	seed := maphash.MakeSeed()
	start := model.Start()
	origins := map[uint64]origin{maphash.Comparable(seed, start): {}}
	result := Result{Complete: true}
	for level := []State{start}; len(level) > 0; result.Depth++ {
		var nextLevel []State
		for i := range level {
			parent := maphash.Comparable(seed, level[i])
			for index, step := range model.Next(&level[i], false) {
				key := maphash.Comparable(seed, step.State)
				if _, seen := origins[key]; seen {
					continue
				}
				if result.Violation = model.Violation(&step.State); result.Violation != "" {
					result.States = len(origins)
					result.Trace = stepNames(model, append(stepIndices(origins, parent), index))
					return result
				}
				if len(origins) >= limit {
					result.Complete = false
					continue
				}
				origins[key] = origin{parent, index}
				nextLevel = append(nextLevel, step.State)
			}
		}
		level = nextLevel
	}
	result.States = len(origins)
	return result
}

// stepIndices returns the indices of the steps that lead from the initial state to the state with the hash.
func stepIndices(origins map[uint64]origin, key uint64) []int {
	var steps []int
	for current := origins[key]; current.parent != 0; current = origins[current.parent] {
		steps = append(steps, current.step)
	}
	slices.Reverse(steps)
	return steps
}

// stepNames returns the names of the steps with the given indices. It repeats them from the initial state.
func stepNames[State comparable](model Model[State], steps []int) []string {
	state := model.Start()
	var names []string
	for _, index := range steps {
		step := model.Next(&state, true)[index]
		names = append(names, step.Name)
		state = step.State
	}
	return names
}
