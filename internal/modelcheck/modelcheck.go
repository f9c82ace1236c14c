// Package modelcheck goes through the states of models of the project's protocols: exhaustively up to a bound, by random
// walks, or along a given script.
package modelcheck

import (
	"hash/maphash"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
)

// Step is a state that may follow another one, and how it comes about.
type Step[State any] struct {
	Name  string // empty where no names were asked for
	State State
}

// Model is a protocol with its rules and bounds. A state is a value: two that compare as equal are the same state.
type Model[State comparable] interface {
	// Start returns the state that all plays begin with.
	Start() State
	// Next returns all states that may follow, always in the same order. Names cost time and are given on demand.
	Next(state *State, named bool) []Step[State]
	// Violation tells which invariant a state breaks; "" stands for none.
	Violation(state *State) string
}

// Exploration is what a search has found.
type Exploration struct {
	States    int
	Depth     int
	Complete  bool     // no state within the model's bounds is left out
	Violation string   // the first one, which ends the search
	Trace     []string // the steps that lead to it
}

// origin is how a state was first reached.
type origin struct {
	parent uint64
	step   int // its place among the steps that the parent allows
}

// Explore goes through the states breadth first, up to a number of them.
func Explore[State comparable](model Model[State], most int) Exploration {
	seed := maphash.MakeSeed()
	start := model.Start()
	known := map[uint64]origin{maphash.Comparable(seed, start): {}}
	found := Exploration{Complete: true}
	for level := []State{start}; len(level) > 0; found.Depth++ {
		var deeper []State
		for i := range level {
			parent := maphash.Comparable(seed, level[i])
			for number, step := range model.Next(&level[i], false) {
				key := maphash.Comparable(seed, step.State)
				if _, seen := known[key]; seen {
					continue
				}
				if found.Violation = model.Violation(&step.State); found.Violation != "" {
					found.States = len(known)
					found.Trace = trace(model, append(stepsTo(known, parent), number))
					return found
				}
				if len(known) >= most {
					found.Complete = false
					continue
				}
				known[key] = origin{parent, number}
				deeper = append(deeper, step.State)
			}
		}
		level = deeper
	}
	found.States = len(known)
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
func trace[State comparable](model Model[State], steps []int) []string {
	state := model.Start()
	var names []string
	for _, number := range steps {
		step := model.Next(&state, true)[number]
		names = append(names, step.Name)
		state = step.State
	}
	return names
}

// Walk takes random steps, and returns the names of those that lead to a violation with what it is, or nil.
func Walk[State comparable](model Model[State], seed uint64, length int) []string {
	if walk(model, seed, length, false) == nil {
		return nil
	}
	return walk(model, seed, length, true)
}

func walk[State comparable](model Model[State], seed uint64, length int, named bool) []string {
	random := rand.New(rand.NewPCG(seed, seed))
	state := model.Start()
	taken := []string{}
	for range length {
		steps := model.Next(&state, named)
		if len(steps) == 0 {
			return nil
		}
		step := steps[random.IntN(len(steps))]
		state = step.State
		taken = append(taken, step.Name)
		if broken := model.Violation(&state); broken != "" {
			return append(taken, broken)
		}
	}
	return nil
}

// Follow takes the steps with some names. It returns the state that they lead to, or the first name that no step has.
func Follow[State comparable](model Model[State], names []string) (state State, missing string) {
	state = model.Start()
	for _, name := range names {
		steps := model.Next(&state, true)
		found := slices.IndexFunc(steps, func(step Step[State]) bool { return step.Name == name })
		if found < 0 {
			return state, name
		}
		state = steps[found].State
	}
	return state, ""
}

// Bound reads a bound from the environment, for longer searches than CI has time for.
func Bound(name string, fallback int) int {
	value, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return value
}
