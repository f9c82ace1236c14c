package modelcheck

import "slices"

// Replay takes the steps with the given names in order and returns the state that they lead to. If no possible step has
// the next name, it stops, and returns the state before it and that name as missing.
func Replay[State comparable](model Model[State], names []string) (state State, missing string) {
	state = model.Start()
	for _, name := range names {
		steps := model.Next(&state, true)
		index := slices.IndexFunc(steps, func(step Step[State]) bool { return step.Name == name })
		if index < 0 {
			return state, name
		}
		state = steps[index].State
	}
	return state, ""
}
