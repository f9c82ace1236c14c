package planner

import (
	"cmp"
	"math"
	"slices"

	"gladepick/internal/dispatcher/fleetsim"
)

// Sizing is the cheapest fleet found that holds the goal.
type Sizing struct {
	Reached      bool                   `json:"reached"`
	Workers      []fleetsim.WorkerGroup `json:"workers"`
	Count        int                    `json:"count"`
	Cost         float64                `json:"cost"`
	CostNow      float64                `json:"cost_now"`
	Findings     []Finding              `json:"findings"`
	LimitEffects []LimitEffect          `json:"why,omitempty"` // set if no number of workers tried holds the goal
	Limits       map[string]int         `json:"limits"`        // least values with which the goal holds, by key of the settings
	Curve        []Sample               `json:"curve"`         // score against number of workers
	Fleets       int                    `json:"fleets"`        // number of fleets that were evaluated
}

// Sample is the evaluation of one fleet.
type Sample struct {
	Workers int      `json:"workers"`
	Cost    float64  `json:"cost"`
	Score   Estimate `json:"service"`
	Holds   bool     `json:"holds"`
}

// kindCosts returns the cost of one worker of each kind.
func kindCosts(fleet *fleetsim.Fleet) map[string]float64 {
	costs := map[string]float64{}
	for _, k := range fleet.Kinds {
		costs[k.Name] = cmp.Or(k.Cost, 1)
	}
	return costs
}

// fleetCost returns the number of workers of a fleet and their total cost.
func fleetCost(fleet *fleetsim.Fleet) (workers int, cost float64) {
	costs := kindCosts(fleet)
	for _, g := range fleet.Workers {
		workers += g.Count
		cost += float64(g.Count) * costs[g.Kind]
	}
	return workers, cost
}

// scaledFleet returns a fleet with x times the workers, each group rounded up.
func scaledFleet(fleet *fleetsim.Fleet, factor float64) *fleetsim.Fleet {
	out := *fleet
	out.Workers = slices.Clone(fleet.Workers)
	for i := range out.Workers {
		out.Workers[i].Count = max(int(math.Ceil(factor*float64(out.Workers[i].Count)-1e-9)), 0)
	}
	return &out
}

// Constants of the search for the cheapest fleet.
const (
	fleetGrowth        = 1.6  // factor from one fleet to the next, until the goal holds
	fleetPrecision     = 0.04 // relative precision of the least multiple of the fleet that holds the goal
	maxFleetBisections = 8
	costTolerance      = 1e-9
)

// sizingSearch is a search for the cheapest fleet that holds the goal.
type sizingSearch struct {
	*Planner
	sizing *Sizing
	base   *fleetsim.Fleet // the described fleet with its spare workers
	best   *fleetsim.Fleet // the cheapest one so far that holds the goal; nil if there is none
}

// FindSizing searches for the cheapest mix of workers that holds the goal. It finds the least multiple of the fleet
// that holds it, and then removes single workers or replaces them with workers of a cheaper kind in their zone. On an
// error it also returns the results found so far.
func (p *Planner) FindSizing() (*Sizing, error) {
	search := &sizingSearch{Planner: p, sizing: &Sizing{Limits: map[string]int{}}, base: p.baseFleet(true)}
	_, search.sizing.CostNow = fleetCost(p.baseFleet(false))
	low, high, err := search.grow()
	if err != nil || search.best == nil {
		return search.sizing, err
	}
	if err := search.bisect(low, high); err != nil {
		return search.sizing, err
	}
	if err := search.descend(); err != nil {
		return search.sizing, err
	}
	return search.sizing, p.findLimits(search.best, search.sizing)
}

// try evaluates a fleet, and keeps it as the best one if it holds the goal. A fleet that is not in the cache adds a
// sample.
func (s *sizingSearch) try(fleet *fleetsim.Fleet) (*evaluation, error) {
	workers, cost := fleetCost(fleet)
	s.reportProgress("how many: %d workers at a cost of %.4g", workers, cost)
	before := len(s.cache)
	result, err := s.evaluate(fleet, s.scaledLoad(1))
	if err != nil {
		return nil, err
	}
	if len(s.cache) > before {
		s.sizing.Fleets++
		s.sizing.Curve = append(s.sizing.Curve, Sample{Workers: workers, Cost: cost, Score: result.score, Holds: result.holds})
	}
	if result.holds {
		s.keep(fleet, result)
	}
	return result, nil
}

// keep makes a fleet the best one.
func (s *sizingSearch) keep(fleet *fleetsim.Fleet, result *evaluation) {
	s.best = fleet
	s.sizing.Reached, s.sizing.Findings = true, result.findings
	s.sizing.Workers = nil
	for _, g := range fleet.Workers {
		at := slices.IndexFunc(s.sizing.Workers, func(o fleetsim.WorkerGroup) bool { return o.Kind == g.Kind && o.Zone == g.Zone })
		if at >= 0 {
			s.sizing.Workers[at].Count += g.Count
		} else if g.Count > 0 {
			s.sizing.Workers = append(s.sizing.Workers, fleetsim.WorkerGroup{Kind: g.Kind, Zone: g.Zone, Count: g.Count})
		}
	}
	s.sizing.Count, s.sizing.Cost = fleetCost(fleet)
}

// grow multiplies the fleet until the goal holds. If it does not hold up to MaxFactor, best stays nil and the effects
// of lifted limits show why.
func (s *sizingSearch) grow() (low, high float64, err error) {
	for low, high = 0, 1; ; {
		fleet := scaledFleet(s.base, high)
		result, err := s.try(fleet)
		if err != nil || result.holds {
			return low, high, err
		}
		if low, high = high, high*fleetGrowth; high > s.MaxFactor {
			s.sizing.Findings = result.findings
			s.sizing.LimitEffects, err = s.limitEffects(fleet, s.scaledLoad(1), result.slack)
			return low, high, err
		}
	}
}

// bisect narrows down the least multiple of the fleet that holds the goal.
func (s *sizingSearch) bisect(low, high float64) error {
	for steps := 0; high-low > fleetPrecision*high && steps < maxFleetBisections; steps++ {
		middle := (low + high) / 2
		result, err := s.try(scaledFleet(s.base, middle))
		if err != nil {
			return err
		}
		if result.holds {
			high = middle
		} else {
			low = middle
		}
	}
	return nil
}

// descend replaces the best fleet with the cheapest neighbour that holds the goal, until there is none.
func (s *sizingSearch) descend() error {
	costs := kindCosts(s.base)
	for {
		better, err := s.tryCheaper(cheaperFleets(s.best, costs))
		if err != nil || !better {
			return err
		}
	}
}

// tryCheaper evaluates, in the given order, the fleets that are cheaper than the best one. It stops at the first that
// holds the goal, and reports whether there was one.
func (s *sizingSearch) tryCheaper(fleets []*fleetsim.Fleet) (bool, error) {
	_, bestCost := fleetCost(s.best)
	for _, fleet := range fleets {
		if _, cost := fleetCost(fleet); cost >= bestCost-costTolerance {
			continue
		}
		result, err := s.try(fleet)
		if err != nil || result.holds {
			return err == nil, err
		}
	}
	return false, nil
}

// cheaperFleets returns the fleets that are one step cheaper, the cheapest first: with one worker less, or with one
// worker replaced by one of a cheaper kind in its zone.
func cheaperFleets(fleet *fleetsim.Fleet, costs map[string]float64) (cheaper []*fleetsim.Fleet) {
	add := func(change func([]fleetsim.WorkerGroup)) {
		changed := *fleet
		changed.Workers = slices.Clone(fleet.Workers)
		change(changed.Workers)
		cheaper = append(cheaper, &changed)
	}
	for i, g := range fleet.Workers {
		if g.Count == 0 {
			continue
		}
		add(func(workers []fleetsim.WorkerGroup) { workers[i].Count-- })
		for k, other := range fleet.Workers {
			if other.Zone == g.Zone && costs[other.Kind] < costs[g.Kind] {
				add(func(workers []fleetsim.WorkerGroup) { workers[i].Count--; workers[k].Count++ })
			}
		}
	}
	slices.SortStableFunc(cheaper, func(a, b *fleetsim.Fleet) int {
		_, x := fleetCost(a)
		_, y := fleetCost(b)
		return cmp.Compare(x, y)
	})
	return cheaper
}

// findLimits finds the least open jobs, worker connections and attempts with which the goal still holds.
func (p *Planner) findLimits(fleet *fleetsim.Fleet, sizing *Sizing) error {
	for _, limit := range []struct {
		name string
		most int
		set  func(*fleetsim.Fleet, int)
	}{
		{"open_jobs", 4096, func(fleet *fleetsim.Fleet, v int) {
			for i := range fleet.Dispatchers {
				fleet.Dispatchers[i].OpenJobs = v
			}
		}},
		{"worker_connections", 4096, func(fleet *fleetsim.Fleet, v int) {
			for i := range fleet.Dispatchers {
				fleet.Dispatchers[i].Connections = v
			}
		}},
		{"attempts", 8, func(fleet *fleetsim.Fleet, v int) { fleet.MaxAttempts = v }},
	} {
		low, high := 0, limit.most
		for high-low > max(high/16, 1) {
			middle := (low + high) / 2
			limitedFleet := *fleet
			limitedFleet.Dispatchers = slices.Clone(fleet.Dispatchers)
			limit.set(&limitedFleet, middle)
			p.reportProgress("which limits: %s %d", limit.name, middle)
			result, err := p.evaluate(&limitedFleet, p.scaledLoad(1))
			if err != nil {
				return err
			}
			if result.holds {
				high = middle
			} else {
				low = middle
			}
		}
		sizing.Limits[limit.name] = high
	}
	return nil
}
