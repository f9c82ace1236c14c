package modelcheck

// Step is a transition of a model to a following state.
type Step[State any] struct {
	Name  string // what happens; may be empty if the caller did not ask for names
	State State
	// External is set for faults and for other events that need not happen. ExploreEndings goes by it.
	External bool
}

// Model is a protocol with its transitions, invariants and bounds. A state is a value: two states that compare equal
// are the same state.
type Model[State comparable] interface {
	// Start returns the initial state.
	Start() State
	// Next returns all steps that may follow a state, always in the same order. Names are costly to build, so steps
	// need names only if named is set.
	Next(state *State, named bool) []Step[State]
	// Violation returns a description of the invariant that a state violates, or "" if it violates none.
	Violation(state *State) string
}
