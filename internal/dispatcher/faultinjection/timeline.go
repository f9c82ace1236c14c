package faultinjection

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Step is one action of a timeline on some nodes or on all links.
type Step struct {
	AtS         float64 `json:"at_s"`
	Do          string  `json:"do"` // start, kill, term, stop, cut, heal, loss, delay, double, deaf, hear, rename, revive
	Nodes       []int   `json:"nodes,omitempty"`
	To          []int   `json:"to,omitempty"`    // cut: datagrams from Nodes to these are lost
	ForS        float64 `json:"for_s,omitempty"` // stop: until the process continues
	Share       float64 `json:"share,omitempty"` // loss, double: share of the datagrams, 0 to 1
	Ms          [2]int  `json:"ms,omitempty"`    // delay: minimum and maximum
	FaultBegins []int   `json:"hurts,omitempty"` // nodes that others may declare failed from this step on
	FaultEnds   []int   `json:"eases,omitempty"` // nodes that others may no longer declare failed
	As          string  `json:"as,omitempty"`    // rename: the name that the node gets at its next start
}

// Timeline is a scenario of faults. `make faults` reads one as JSON from FAULTS_FILE.
type Timeline struct {
	Kind       string  `json:"kind"`
	Nodes      int     `json:"nodes"`
	Seed       uint64  `json:"seed"`
	QuietS     float64 `json:"quiet_s"`        // from the last step until the final state is checked
	StartLater []int   `json:"late,omitempty"` // nodes that are not started at the beginning
	Steps      []Step  `json:"steps"`
}

// Check returns an error for a timeline that cannot be run.
func (t *Timeline) Check() error {
	if t.Nodes < 1 || t.Nodes > 60 || t.QuietS < 0 || t.QuietS > 120 || len(t.Steps) > 1000 {
		return errors.New("nodes must be 1 to 60, quiet_s 0 to 120, and steps at most 1000")
	}
	known := []string{"start", "kill", "term", "stop", "cut", "heal", "loss", "delay", "double", "deaf", "hear", "rename", "revive"}
	for i, s := range t.Steps {
		switch {
		case !slices.Contains(known, s.Do):
			return fmt.Errorf("steps.%d.do: %q is not one of %s", i, s.Do, strings.Join(known, ", "))
		case !(s.AtS >= 0 && s.AtS <= 300) || !(s.ForS >= 0 && s.ForS <= 120):
			return fmt.Errorf("steps.%d: at_s must be 0 to 300, for_s 0 to 120", i)
		case !(s.Share >= 0 && s.Share <= 1) || s.Ms[0] < 0 || s.Ms[1] < s.Ms[0] || s.Ms[1] > 5000:
			return fmt.Errorf("steps.%d: share must be 0 to 1, and ms a minimum and a maximum up to 5000", i)
		}
		for _, n := range slices.Concat(s.Nodes, s.To, s.FaultBegins, s.FaultEnds) {
			if n < 0 || n >= t.Nodes {
				return fmt.Errorf("steps.%d: node %d does not exist among %d nodes", i, n, t.Nodes)
			}
		}
	}
	return nil
}
