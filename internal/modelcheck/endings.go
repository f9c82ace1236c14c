package modelcheck

import "slices"

// EndingModel is a Model whose work comes to an end as soon as no further external event happens.
type EndingModel[State comparable] interface {
	Model[State]
	// Ended reports whether all work of a state is done.
	Ended(state *State) bool
}

// ExploreEndings searches all states breadth first, at most limit of them, for one from which no sequence of steps without
// external events leads to a state in which all work is done. It reports such a state as a violation, with a shortest
// trace. Unlike Explore it does not check the model's invariants. If the result is not complete, nothing was searched for.
func ExploreEndings[State comparable](model EndingModel[State], limit int) Result {
	graph := newStateGraph(model)
	result := Result{Complete: graph.expand(model, limit), States: len(graph.states), Depth: graph.depth}
	if !result.Complete {
		return result
	}
	ends := graph.leadingTo(model.Ended)
	for index, leads := range ends {
		if !leads {
			result.Violation = "the work never ends"
			result.Trace = stepNames(model, graph.stepsTo(index))
			break
		}
	}
	return result
}

// discovery records the step by which a state was first reached.
type discovery struct {
	parent int // index of the preceding state
	step   int // index in the parent's list of steps
}

// stateGraph has the states of a model in the order of their discovery.
type stateGraph[State comparable] struct {
	states       []State
	indices      map[State]int
	discoveries  []discovery
	predecessors [][]int // by state: those that lead to it without an external event
	depth        int
}

func newStateGraph[State comparable](model Model[State]) *stateGraph[State] {
	graph := &stateGraph[State]{indices: make(map[State]int)}
	graph.add(model.Start(), discovery{})
	return graph
}

// add adds a state unless it is known, and returns its index.
func (g *stateGraph[State]) add(state State, from discovery) int {
	if index, found := g.indices[state]; found {
		return index
	}
	index := len(g.states)
	g.indices[state] = index
	g.states = append(g.states, state)
	g.discoveries = append(g.discoveries, from)
	g.predecessors = append(g.predecessors, nil)
	return index
}

// expand adds all states that can be reached. It reports false if there are more than the limit.
func (g *stateGraph[State]) expand(model Model[State], limit int) bool {
	levelEnd := 1
	for index := 0; index < len(g.states); index++ {
		if index == levelEnd {
			levelEnd = len(g.states)
			g.depth++
		}
		current := g.states[index]
		for number, step := range model.Next(&current, false) {
			next := g.add(step.State, discovery{parent: index, step: number})
			if !step.External {
				g.predecessors[next] = append(g.predecessors[next], index)
			}
		}
		if len(g.states) > limit {
			return false
		}
	}
	return true
}

// leadingTo returns, for each state, whether steps without external events lead from it to a state with a property.
func (g *stateGraph[State]) leadingTo(property func(*State) bool) []bool {
	leads := make([]bool, len(g.states))
	var found []int
	for index := range g.states {
		if property(&g.states[index]) {
			leads[index] = true
			found = append(found, index)
		}
	}
	for len(found) > 0 {
		last := found[len(found)-1]
		found = found[:len(found)-1]
		for _, before := range g.predecessors[last] {
			if !leads[before] {
				leads[before] = true
				found = append(found, before)
			}
		}
	}
	return leads
}

// stepsTo returns the indices of the steps that lead from the initial state to a state.
func (g *stateGraph[State]) stepsTo(index int) []int {
	var steps []int
	for index != 0 {
		from := g.discoveries[index]
		steps = append(steps, from.step)
		index = from.parent
	}
	slices.Reverse(steps)
	return steps
}
