package simcluster

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestOperatorTriesEachFrontBeforeItRepeatsOne guards against an operator that tries a machine which has been replaced,
// and stays off, so often that it never reaches a front that answers.
func TestOperatorTriesEachFrontBeforeItRepeatsOne(t *testing.T) {
	c := &Cluster{random: newRandom(1)}
	for range 6 {
		c.Machines = append(c.Machines, &Machine{class: classFront})
	}
	operator := &Operator{cluster: c}
	tried := make(map[*Machine]bool)
	for range 20 {
		round := make(map[*Machine]bool)
		for range c.Machines {
			round[operator.nextFront(tried)] = true
		}
		assert.Equal(t, len(round), len(c.Machines))
	}
}
