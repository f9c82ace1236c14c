package modelcheck

import (
	"testing"

	"gotest.tools/v3/assert"
)

// counter is a model that counts up to a limit in steps of one or two. Its invariant is that the count never equals a
// forbidden number.
type counter struct {
	limit     int
	forbidden int
}

func (c counter) Start() int { return 0 }

func (c counter) Next(state *int, named bool) []Step[int] {
	var steps []Step[int]
	for _, added := range []int{1, 2} {
		if *state+added > c.limit {
			continue
		}
		step := Step[int]{State: *state + added}
		if named {
			step.Name = map[int]string{1: "one", 2: "two"}[added]
		}
		steps = append(steps, step)
	}
	return steps
}

func (c counter) Violation(state *int) string {
	if *state == c.forbidden {
		return "forbidden"
	}
	return ""
}

func TestExploreFindsAShortestTrace(t *testing.T) {
	result := Explore(counter{limit: 9, forbidden: 5}, 100)
	assert.Equal(t, result.Violation, "forbidden")
	assert.DeepEqual(t, result.Trace, []string{"one", "two", "two"})
}

func TestExploreReportsWhetherItWasComplete(t *testing.T) {
	result := Explore(counter{limit: 9, forbidden: -1}, 100)
	assert.Equal(t, result.Violation, "")
	assert.Assert(t, result.Complete)
	assert.Equal(t, result.States, 10)
	bounded := Explore(counter{limit: 9, forbidden: -1}, 4)
	assert.Assert(t, !bounded.Complete)
	assert.Equal(t, bounded.States, 4)
}

func TestRandomWalkAndReplayFollowTheModel(t *testing.T) {
	trace := RandomWalk(counter{limit: 9, forbidden: 9}, 1, 20)
	assert.Equal(t, trace[len(trace)-1], "forbidden")
	assert.Assert(t, RandomWalk(counter{limit: 9, forbidden: -1}, 1, 20) == nil)
	state, missing := Replay(counter{limit: 3}, []string{"two", "one"})
	assert.Equal(t, state, 3)
	assert.Equal(t, missing, "")
	_, missing = Replay(counter{limit: 3}, []string{"two", "two"})
	assert.Equal(t, missing, "two")
}

// elevator is a model that goes up by external events and down by itself, except from a floor where it gets stuck.
type elevator struct {
	counter
	stuck int
}

func (e elevator) Next(state *int, _ bool) []Step[int] {
	var steps []Step[int]
	if *state < e.limit {
		steps = append(steps, Step[int]{State: *state + 1, Name: "up", External: true})
	}
	if *state > 0 && *state != e.stuck {
		steps = append(steps, Step[int]{State: *state - 1, Name: "down"})
	}
	return steps
}

func (e elevator) Ended(state *int) bool { return *state == 0 }

func TestExploreEndingsFindsAStateWithoutAnEnding(t *testing.T) {
	result := ExploreEndings(elevator{counter: counter{limit: 4}, stuck: -1}, 100)
	assert.DeepEqual(t, result, Result{States: 5, Depth: 4, Complete: true})
	result = ExploreEndings(elevator{counter: counter{limit: 4}, stuck: 3}, 100)
	assert.DeepEqual(t, result.Trace, []string{"up", "up", "up"})
	assert.Assert(t, result.Violation != "")
	assert.Assert(t, !ExploreEndings(elevator{counter: counter{limit: 4}, stuck: 3}, 3).Complete)
}
