package faultinjection

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Step is one thing that is done to some nodes at a time.
type Step struct {
	AtS   float64 `json:"at_s"`
	Do    string  `json:"do"` // start, kill, term, stop, cut, heal, loss, delay, double, deaf, hear, rename, revive
	Nodes []int   `json:"nodes,omitempty"`
	To    []int   `json:"to,omitempty"`    // cut: what goes from Nodes to these is lost
	ForS  float64 `json:"for_s,omitempty"` // stop
	Share float64 `json:"share,omitempty"` // loss, double
	Ms    [2]int  `json:"ms,omitempty"`    // delay
	Hurts []int   `json:"hurts,omitempty"` // nodes that others may take for failed from here on
	Eases []int   `json:"eases,omitempty"` // and no longer
	As    string  `json:"as,omitempty"`    // rename: the name it is started under next time
}

// Timeline is a play: a file of it can be given to `make faults`.
type Timeline struct {
	Kind   string  `json:"kind"`
	Nodes  int     `json:"nodes"`
	Seed   uint64  `json:"seed"`
	QuietS float64 `json:"quiet_s"`        // after the last step, before the end is looked at
	Late   []int   `json:"late,omitempty"` // nodes that are not started at the beginning
	Steps  []Step  `json:"steps"`
}

// Check tells what cannot be played.
func (t *Timeline) Check() error {
	if t.Nodes < 1 || t.Nodes > 60 || t.QuietS < 0 || t.QuietS > 120 || len(t.Steps) > 1000 {
		return errors.New("nodes are 1 to 60, quiet_s 0 to 120, steps 1000 at most")
	}
	known := []string{"start", "kill", "term", "stop", "cut", "heal", "loss", "delay", "double", "deaf", "hear", "rename", "revive"}
	for i, s := range t.Steps {
		switch {
		case !slices.Contains(known, s.Do):
			return fmt.Errorf("steps.%d.do: %q is none of %s", i, s.Do, strings.Join(known, ", "))
		case !(s.AtS >= 0 && s.AtS <= 300) || !(s.ForS >= 0 && s.ForS <= 120):
			return fmt.Errorf("steps.%d: at_s is 0 to 300, for_s 0 to 120", i)
		case !(s.Share >= 0 && s.Share <= 1) || s.Ms[0] < 0 || s.Ms[1] < s.Ms[0] || s.Ms[1] > 5000:
			return fmt.Errorf("steps.%d: share is 0 to 1, ms from and to up to 5000", i)
		}
		for _, n := range slices.Concat(s.Nodes, s.To, s.Hurts, s.Eases) {
			if n < 0 || n >= t.Nodes {
				return fmt.Errorf("steps.%d: node %d of %d", i, n, t.Nodes)
			}
		}
	}
	return nil
}
