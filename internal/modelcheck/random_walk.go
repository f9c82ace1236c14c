package modelcheck

import "math/rand/v2"

// RandomWalk takes random steps, drawn from a seed. It returns nil, or, where they lead to a violation, the names of
// the steps and then the violation.
func RandomWalk[State comparable](model Model[State], seed uint64, length int) []string {
	if randomWalk(model, seed, length, false) == nil {
		return nil
	}
	return randomWalk(model, seed, length, true)
}

// randomWalk is RandomWalk, with or without names: these are costly, so only walks that have failed are repeated
// with them.
func randomWalk[State comparable](model Model[State], seed uint64, length int, named bool) []string {
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
