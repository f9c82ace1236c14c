package modelcheck

import "slices"

// Replay takes the steps with the given names. It returns the state that they lead to, or the first name that no
// step has.
func Replay[State comparable](model Model[State], names []string) (state State, missing string) {
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
