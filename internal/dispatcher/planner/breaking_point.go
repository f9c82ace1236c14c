package planner

import (
	"fmt"
	"slices"

	"gladepick/internal/dispatcher/fleetsim"
)

// Constants of the search for the breaking point.
const (
	loadGrowth          = 1.5  // from one load to the next, until the goal breaks
	loadPrecision       = 0.02 // of the load at which it breaks
	maxLoadBisections   = 12
	beyondBreakingPoint = 1.1 // where limits are lifted: a little beyond, so that chance does not decide
)

// BreakingPoint tells up to which load the goal holds, and which limit breaks it.
type BreakingPoint struct {
	Baseline       []Finding     `json:"now"`       // at the load as described
	HoldsAtFactor  float64       `json:"holds_at"`  // times the load, at most
	BreaksAtFactor float64       `json:"breaks_at"` // times the load; 0 if it holds at all loads tried
	FirstLimit     string        `json:"first"`     // whose lifting gains most
	Failing        []Finding     `json:"failing"`   // at a load where the goal breaks
	LimitEffects   []LimitEffect `json:"reliefs"`   // the greatest gain first
	Utilization    []string      `json:"busy"`      // of each kind of worker there, in words
}

// FindBreakingPoint raises the load until the goal breaks. There it lifts one limit after the other on the same days: the one
// that gains most is what broke. What is known so far comes back with an error.
func (p *Planner) FindBreakingPoint() (*BreakingPoint, error) {
	out := &BreakingPoint{}
	fleet := p.baseFleet(false)
	now, err := p.evaluate(fleet, p.scaledLoad(1))
	if err != nil {
		return out, err
	}
	out.Baseline = now.findings
	low, high := 0.0, 1.0
	if now.holds {
		var broken bool
		if low, high, broken, err = p.raiseLoad(fleet); err != nil || !broken {
			out.HoldsAtFactor = low
			return out, err
		}
	}
	low, high, err = p.bisectLoad(fleet, low, high)
	out.HoldsAtFactor, out.BreaksAtFactor = low, high
	if err != nil {
		return out, err
	}
	return out, p.explainBreak(fleet, out)
}

// raiseLoad multiplies the load until the goal breaks, or the greatest factor is passed. The goal holds at low times the
// load, and breaks at high times it.
func (p *Planner) raiseLoad(fleet *fleetsim.Fleet) (low, high float64, broken bool, err error) {
	for low = 1; ; low = high {
		if high = low * loadGrowth; high > p.MaxFactor {
			return low, high, false, nil
		}
		holds, err := p.holdsAt(fleet, high)
		if err != nil {
			return low, high, false, err
		}
		if !holds {
			return low, high, true, nil
		}
	}
}

// bisectLoad narrows down the load at which the goal breaks.
func (p *Planner) bisectLoad(fleet *fleetsim.Fleet, low, high float64) (float64, float64, error) {
	for steps := 0; high-low > loadPrecision*high && steps < maxLoadBisections; steps++ {
		middle := (low + high) / 2
		holds, err := p.holdsAt(fleet, middle)
		if err != nil {
			return low, high, err
		}
		if holds {
			low = middle
		} else {
			high = middle
		}
	}
	return low, high, nil
}

func (p *Planner) holdsAt(fleet *fleetsim.Fleet, factor float64) (bool, error) {
	p.reportProgress("what breaks first: %.2f times the load", factor)
	e, err := p.evaluate(fleet, p.scaledLoad(factor))
	if err != nil {
		return false, err
	}
	return e.holds, nil
}

// explainBreak looks for the limit that breaks the goal, a little beyond the breaking point; where the goal breaks below the
// load as described, it looks at that load.
func (p *Planner) explainBreak(fleet *fleetsim.Fleet, out *BreakingPoint) error {
	load := p.scaledLoad(max(out.BreaksAtFactor*beyondBreakingPoint, 1))
	e, err := p.evaluate(fleet, load)
	if err != nil {
		return err
	}
	out.Failing = slices.DeleteFunc(slices.Clone(e.findings), func(f Finding) bool { return f.Holds })
	out.Utilization = e.utilization
	if out.LimitEffects, err = p.limitEffects(fleet, load, e.slack); err != nil {
		return err
	}
	out.FirstLimit = out.LimitEffects[0].Resource
	if out.LimitEffects[0].Gain <= 0 {
		out.FirstLimit = "nothing that can be lifted alone"
	}
	return nil
}

// describeUtilization tells for each kind of worker how much of its slots was in use.
func describeUtilization(f *fleetsim.Fleet, days []*fleetsim.Result) (out []string) {
	for i, k := range f.Kinds {
		sum, full := 0.0, 0
		for _, r := range days {
			sum += r.Kinds[i].Utilization / float64(len(days))
			full += r.Kinds[i].RejectedJobs
		}
		if days[0].Kinds[i].Count > 0 {
			out = append(out, fmt.Sprintf("%s: slots %.0f%% at work, %d jobs a day met a full waiting room", k.Name, 100*sum, full/len(days)))
		}
	}
	return out
}
