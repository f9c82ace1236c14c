package modelcheck

import (
	"testing"

	"gotest.tools/v3/assert"
)

// counter is a model that counts up to a limit by one or two, and must not reach a forbidden number.
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

func TestExploreFindsTheShortestWayToAViolation(t *testing.T) {
	found := Explore(counter{limit: 9, forbidden: 5}, 100)
	assert.Equal(t, found.Violation, "forbidden")
	assert.DeepEqual(t, found.Trace, []string{"one", "two", "two"})
}

func TestExploreTellsWhetherItWasComplete(t *testing.T) {
	found := Explore(counter{limit: 9, forbidden: -1}, 100)
	assert.Equal(t, found.Violation, "")
	assert.Assert(t, found.Complete)
	assert.Equal(t, found.States, 10)
	bounded := Explore(counter{limit: 9, forbidden: -1}, 4)
	assert.Assert(t, !bounded.Complete)
	assert.Equal(t, bounded.States, 4)
}

func TestWalksAndScripts(t *testing.T) {
	broken := RandomWalk(counter{limit: 9, forbidden: 9}, 1, 20)
	assert.Equal(t, broken[len(broken)-1], "forbidden")
	assert.Assert(t, RandomWalk(counter{limit: 9, forbidden: -1}, 1, 20) == nil)
	state, missing := Replay(counter{limit: 3}, []string{"two", "one"})
	assert.Equal(t, state, 3)
	assert.Equal(t, missing, "")
	_, missing = Replay(counter{limit: 3}, []string{"two", "two"})
	assert.Equal(t, missing, "two")
}
