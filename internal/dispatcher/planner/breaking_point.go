package planner

import (
	"fmt"
	"slices"

	"gladepick/internal/dispatcher/fleetsim"
)

// Constants of the search for the breaking point.
const (
	loadGrowth          = 1.5  // factor from one load to the next, until the goal breaks
	loadPrecision       = 0.02 // relative precision of the load at which the goal breaks
	maxLoadBisections   = 12
	beyondBreakingPoint = 1.1 // factor of the breaking load at which limits are lifted: above 1, so that chance does not decide
)

// BreakingPoint is the load up to which the goal holds, and the limit that breaks it.
type BreakingPoint struct {
	Baseline       []Finding     `json:"now"`       // at the load as described
	HoldsAtFactor  float64       `json:"holds_at"`  // greatest factor of the load at which the goal was found to hold
	BreaksAtFactor float64       `json:"breaks_at"` // least factor at which it was found to break; 0 if it holds at all loads tried
	FirstLimit     string        `json:"first"`     // the limit whose lifting gains most
	Failing        []Finding     `json:"failing"`   // tests that fail a little beyond the breaking point
	LimitEffects   []LimitEffect `json:"reliefs"`   // there, the greatest gain first
	Utilization    []string      `json:"busy"`      // there, one sentence for each kind of worker
}

// FindBreakingPoint raises the load until the goal breaks. A little beyond that load it lifts one limit after the other
// on the same days; the limit whose lifting gains most is the one that breaks first. On an error it also returns the
// results found so far.
func (p *Planner) FindBreakingPoint() (*BreakingPoint, error) {
	result := &BreakingPoint{}
	fleet := p.baseFleet(false)
	baseline, err := p.evaluate(fleet, p.scaledLoad(1))
	if err != nil {
		return result, err
	}
	result.Baseline = baseline.findings
	low, high := 0.0, 1.0
	if baseline.holds {
		var broken bool
		if low, high, broken, err = p.raiseLoad(fleet); err != nil || !broken {
			result.HoldsAtFactor = low
			return result, err
		}
	}
	low, high, err = p.bisectLoad(fleet, low, high)
	result.HoldsAtFactor, result.BreaksAtFactor = low, high
	if err != nil {
		return result, err
	}
	return result, p.explainBreak(fleet, result)
}

// raiseLoad multiplies the load until the goal breaks or MaxFactor is exceeded. The goal holds at low times the load
// and, if broken is true, breaks at high times the load.
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

// bisectLoad narrows down the factor of the load at which the goal breaks.
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
	result, err := p.evaluate(fleet, p.scaledLoad(factor))
	if err != nil {
		return false, err
	}
	return result.holds, nil
}

// explainBreak finds the limit that breaks the goal, a little beyond the breaking point. If that lies below the load as
// described, it uses the load as described.
func (p *Planner) explainBreak(fleet *fleetsim.Fleet, point *BreakingPoint) error {
	load := p.scaledLoad(max(point.BreaksAtFactor*beyondBreakingPoint, 1))
	result, err := p.evaluate(fleet, load)
	if err != nil {
		return err
	}
	point.Failing = slices.DeleteFunc(slices.Clone(result.findings), func(f Finding) bool { return f.Holds })
	point.Utilization = result.utilization
	if point.LimitEffects, err = p.limitEffects(fleet, load, result.slack); err != nil {
		return err
	}
	point.FirstLimit = point.LimitEffects[0].Resource
	if point.LimitEffects[0].Gain <= 0 {
		point.FirstLimit = "nothing that can be lifted alone"
	}
	return nil
}

// describeUtilization returns a sentence for each kind of worker: the share of its slots in use and its rejected jobs.
func describeUtilization(fleet *fleetsim.Fleet, days []*fleetsim.Result) (descriptions []string) {
	for i, kind := range fleet.Kinds {
		sum, rejections := 0.0, 0
		for _, day := range days {
			sum += day.Kinds[i].Utilization / float64(len(days))
			rejections += day.Kinds[i].RejectedJobs
		}
		if days[0].Kinds[i].Count > 0 {
			descriptions = append(descriptions, fmt.Sprintf("%s: slots %.0f%% at work, %d jobs a day met a full waiting room", kind.Name, 100*sum, rejections/len(days)))
		}
	}
	return descriptions
}
