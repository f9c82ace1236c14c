package modelcheck

import "math/rand/v2"

// RandomWalk takes up to length random steps, drawn from the seed. If they lead to a violation, it returns the names of
// the steps followed by the violation; otherwise it returns nil.
func RandomWalk[State comparable](model Model[State], seed uint64, length int) []string {
	if randomWalk(model, seed, length, false) == nil {
		return nil
	}
	return randomWalk(model, seed, length, true)
}

// randomWalk implements RandomWalk with or without the names of steps. Names are costly to build, so RandomWalk asks
// for them only when it repeats a walk that has found a violation.
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
		if violation := model.Violation(&state); violation != "" {
			return append(taken, violation)
		}
	}
	return nil
}
