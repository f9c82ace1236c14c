// What a fleet needs: the cheapest that meets the goal.

package planner

import (
	"cmp"
	"math"
	"slices"

	"gladepick/internal/dispatcher/fleetsim"
)

// Sizing tells how many workers the goal needs.
type Sizing struct {
	Reached      bool                   `json:"reached"`
	Workers      []fleetsim.WorkerGroup `json:"workers"`
	Count        int                    `json:"count"`
	Cost         float64                `json:"cost"`
	CostNow      float64                `json:"cost_now"`
	Findings     []Finding              `json:"findings"`
	LimitEffects []LimitEffect          `json:"why,omitempty"` // what would give relief where no number of workers does
	Limits       map[string]int         `json:"limits"`        // the least that the goal needs with these workers
	Curve        []Sample               `json:"curve"`         // service against workers
	Fleets       int                    `json:"fleets"`        // that were looked at
}

// Sample is a fleet that was looked at.
type Sample struct {
	Workers int      `json:"workers"`
	Cost    float64  `json:"cost"`
	Service Estimate `json:"service"`
	Holds   bool     `json:"holds"`
}

// prices are what a machine of each kind costs.
func kindCosts(f *fleetsim.Fleet) map[string]float64 {
	of := map[string]float64{}
	for _, k := range f.Kinds {
		of[k.Name] = cmp.Or(k.Cost, 1)
	}
	return of
}

func fleetCost(f *fleetsim.Fleet) (workers int, fleetCost float64) {
	of := kindCosts(f)
	for _, g := range f.Workers {
		workers += g.Count
		fleetCost += float64(g.Count) * of[g.Kind]
	}
	return workers, fleetCost
}

// scaled is a fleet of some times the workers, each group rounded up.
func scaledFleet(f *fleetsim.Fleet, x float64) *fleetsim.Fleet {
	out := *f
	out.Workers = slices.Clone(f.Workers)
	for i := range out.Workers {
		out.Workers[i].Count = max(int(math.Ceil(x*float64(out.Workers[i].Count)-1e-9)), 0)
	}
	return &out
}

// FindSizing searches the cheapest mix that holds the goal: first the least multiple of the fleet that does, then machine by
// machine downwards, the dearest first, and exchanges of one kind for another in a zone.
func (p *Planner) FindSizing() (*Sizing, error) {
	out := &Sizing{Limits: map[string]int{}}
	base := p.baseFleet(true)
	_, out.CostNow = fleetCost(p.baseFleet(false))
	try := func(f *fleetsim.Fleet) (*evaluation, error) {
		n, c := fleetCost(f)
		p.reportProgress("how many: %d workers at a cost of %.4g", n, c)
		before := len(p.cache)
		e, err := p.evaluate(f, p.scaledLoad(1))
		if err == nil && len(p.cache) > before {
			out.Fleets++
			out.Curve = append(out.Curve, Sample{n, c, e.score, e.holds})
		}
		return e, err
	}
	keep := func(f *fleetsim.Fleet, e *evaluation) {
		out.Reached, out.Findings = true, e.findings
		out.Workers = nil
		for _, g := range f.Workers {
			at := slices.IndexFunc(out.Workers, func(o fleetsim.WorkerGroup) bool { return o.Kind == g.Kind && o.Zone == g.Zone })
			if at >= 0 {
				out.Workers[at].Count += g.Count
			} else if g.Count > 0 {
				out.Workers = append(out.Workers, fleetsim.WorkerGroup{Kind: g.Kind, Zone: g.Zone, Count: g.Count})
			}
		}
		out.Count, out.Cost = fleetCost(f)
	}
	low, high := 0.0, 1.0
	var best *fleetsim.Fleet
	for {
		f := scaledFleet(base, high)
		e, err := try(f)
		if err != nil {
			return out, err
		}
		if e.holds {
			best = f
			keep(f, e)
			break
		}
		if low, high = high, high*1.6; high > p.MaxFactor {
			out.Findings = e.findings
			if out.LimitEffects, err = p.limitEffects(f, p.scaledLoad(1), e.slack); err != nil {
				return out, err
			}
			return out, nil
		}
	}
	for steps := 0; high-low > 0.04*high && steps < 8; steps++ {
		middle := (low + high) / 2
		f := scaledFleet(base, middle)
		e, err := try(f)
		if err != nil {
			return out, err
		}
		if e.holds {
			high, best = middle, f
			keep(f, e)
		} else {
			low = middle
		}
	}
	price := kindCosts(base)
	for better := true; better; {
		better = false
		_, now := fleetCost(best)
		for _, f := range cheaperFleets(best, price) {
			if _, c := fleetCost(f); c >= now-1e-9 {
				continue
			}
			e, err := try(f)
			if err != nil {
				return out, err
			}
			if e.holds {
				best, better = f, true
				keep(f, e)
				break
			}
		}
	}
	return out, p.findLimits(best, out)
}

// neighbours are fleets a step cheaper, the cheapest first: a machine less, or one kind for another in a zone.
func cheaperFleets(f *fleetsim.Fleet, price map[string]float64) (out []*fleetsim.Fleet) {
	with := func(change func([]fleetsim.WorkerGroup)) {
		n := *f
		n.Workers = slices.Clone(f.Workers)
		change(n.Workers)
		out = append(out, &n)
	}
	for i, g := range f.Workers {
		if g.Count == 0 {
			continue
		}
		with(func(w []fleetsim.WorkerGroup) { w[i].Count-- })
		for k, other := range f.Workers {
			if other.Zone == g.Zone && price[other.Kind] < price[g.Kind] {
				with(func(w []fleetsim.WorkerGroup) { w[i].Count--; w[k].Count++ })
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *fleetsim.Fleet) int {
		_, x := fleetCost(a)
		_, y := fleetCost(b)
		return cmp.Compare(x, y)
	})
	return out
}

// limits finds the least open jobs, worker connections and attempts with which the goal still holds.
func (p *Planner) findLimits(f *fleetsim.Fleet, out *Sizing) error {
	for _, limit := range []struct {
		name string
		most int
		set  func(*fleetsim.Fleet, int)
	}{
		{"open_jobs", 4096, func(f *fleetsim.Fleet, v int) {
			for i := range f.Dispatchers {
				f.Dispatchers[i].OpenJobs = v
			}
		}},
		{"worker_connections", 4096, func(f *fleetsim.Fleet, v int) {
			for i := range f.Dispatchers {
				f.Dispatchers[i].Connections = v
			}
		}},
		{"attempts", 8, func(f *fleetsim.Fleet, v int) { f.MaxAttempts = v }},
	} {
		low, high := 0, limit.most
		for high-low > max(high/16, 1) {
			middle := (low + high) / 2
			lf := *f
			lf.Dispatchers = slices.Clone(f.Dispatchers)
			limit.set(&lf, middle)
			p.reportProgress("which limits: %s %d", limit.name, middle)
			e, err := p.evaluate(&lf, p.scaledLoad(1))
			if err != nil {
				return err
			}
			if e.holds {
				high = middle
			} else {
				low = middle
			}
		}
		out.Limits[limit.name] = high
	}
	return nil
}
