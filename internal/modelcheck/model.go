package modelcheck

// Step is a state that may follow another one, and how it comes about.
type Step[State any] struct {
	Name  string // what happens; empty unless names were asked for
	State State
}

// Model is a protocol with its rules and bounds. A state is a value: two states that compare as equal are the same
// state.
type Model[State comparable] interface {
	// Start returns the initial state.
	Start() State
	// Next returns all states that may follow, always in the same order. Their names cost time, so they are given only where
	// named is set.
	Next(state *State, named bool) []Step[State]
	// Violation returns which invariant a state breaks; "" for none.
	Violation(state *State) string
}
