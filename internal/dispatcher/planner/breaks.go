// Where a fleet breaks, and what would relieve it.

package planner

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"gladepick/internal/dispatcher/fleetsim"
)

// LimitEffect is what lifting one limit does where the goal breaks.
type LimitEffect struct {
	Resource string  `json:"resource"`
	Slack    float64 `json:"slack"` // of the worst test once it is lifted
	Gain     float64 `json:"gain"`  // over what it was
}

// BreakingPoint tells up to which load the goal holds, and which limit breaks it.
type BreakingPoint struct {
	Baseline       []Finding     `json:"now"`
	HoldsAtFactor  float64       `json:"holds_at"`  // times the load
	BreaksAtFactor float64       `json:"breaks_at"` // times the load; 0 if it does not break within what was tried
	FirstLimit     string        `json:"first"`     // the resource that does it
	Failing        []Finding     `json:"failing"`   // there
	LimitEffects   []LimitEffect `json:"reliefs"`   // most first
	Utilization    []string      `json:"busy"`      // how busy each kind is there
}

// FindBreakingPoint raises the load until the goal breaks, and then lifts one limit after the other on the same days: what gives
// most relief is what broke.
func (p *Planner) FindBreakingPoint() (*BreakingPoint, error) {
	out := &BreakingPoint{}
	f := p.baseFleet(false)
	now, err := p.evaluate(f, p.scaledLoad(1))
	if err != nil {
		return out, err
	}
	out.Baseline = now.findings
	low, high := 0.0, 1.0
	if now.holds {
		for low = 1; ; low = high {
			if high = low * 1.5; high > p.MaxFactor {
				out.HoldsAtFactor = low
				return out, nil
			}
			p.reportProgress("what breaks first: %.2f times the load", high)
			e, err := p.evaluate(f, p.scaledLoad(high))
			if err != nil {
				out.HoldsAtFactor = low
				return out, err
			}
			if !e.holds {
				break
			}
		}
	}
	for steps := 0; high-low > 0.02*high && steps < 12; steps++ {
		middle := (low + high) / 2
		p.reportProgress("what breaks first: %.2f times the load", middle)
		e, err := p.evaluate(f, p.scaledLoad(middle))
		if err != nil {
			out.HoldsAtFactor, out.BreaksAtFactor = low, high
			return out, err
		}
		if e.holds {
			low = middle
		} else {
			high = middle
		}
	}
	out.HoldsAtFactor, out.BreaksAtFactor = low, high
	// A little beyond, lest chance decide; where the goal breaks already, right here.
	at := p.scaledLoad(max(high*1.1, 1))
	e, err := p.evaluate(f, at)
	if err != nil {
		return out, err
	}
	out.Failing = slices.DeleteFunc(slices.Clone(e.findings), func(f Finding) bool { return f.Holds })
	out.Utilization = e.utilization
	if out.LimitEffects, err = p.limitEffects(f, at, e.slack); err != nil {
		return out, err
	}
	out.FirstLimit = out.LimitEffects[0].Resource
	if out.LimitEffects[0].Gain <= 0 {
		out.FirstLimit = "nothing that can be lifted alone"
	}
	return out, nil
}

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

// lifts are the limits that can be lifted one at a time.
func liftableLimits(f *fleetsim.Fleet) map[string]func(*fleetsim.Fleet, *fleetsim.Load) {
	kinds := func(change func(*fleetsim.Kind)) func(*fleetsim.Fleet, *fleetsim.Load) {
		return func(f *fleetsim.Fleet, _ *fleetsim.Load) {
			f.Kinds = slices.Clone(f.Kinds)
			for i := range f.Kinds {
				change(&f.Kinds[i])
			}
		}
	}
	dispatchers := func(change func(*fleetsim.DispatcherGroup)) func(*fleetsim.Fleet, *fleetsim.Load) {
		return func(f *fleetsim.Fleet, _ *fleetsim.Load) {
			f.Dispatchers = slices.Clone(f.Dispatchers)
			for i := range f.Dispatchers {
				change(&f.Dispatchers[i])
			}
		}
	}
	return map[string]func(*fleetsim.Fleet, *fleetsim.Load){
		"slots of the workers": func(f *fleetsim.Fleet, _ *fleetsim.Load) {
			f.Workers = slices.Clone(f.Workers)
			for i := range f.Workers {
				f.Workers[i].Count = int(math.Ceil(1.5 * float64(f.Workers[i].Count)))
			}
		},
		"the running time itself":         kinds(func(k *fleetsim.Kind) { k.Speed[0] *= 2; k.Speed[1] *= 2; k.Cores /= 2 }),
		"waiting rooms of the workers":    kinds(func(k *fleetsim.Kind) { k.Queue = max(10*k.Queue, 10) }),
		"connections that workers accept": kinds(func(k *fleetsim.Kind) { k.Connections = 1 << 30 }),
		"the cost of new connections":     kinds(func(k *fleetsim.Kind) { k.ConnectionMs = 0 }),
		"the cold budget after a start": func(f *fleetsim.Fleet, l *fleetsim.Load) {
			kinds(func(k *fleetsim.Kind) { k.SlowStartShare = 1 })(f, l)
			f.SlowStart.Share = 1
		},
		"open jobs of the dispatchers":      dispatchers(func(d *fleetsim.DispatcherGroup) { d.OpenJobs = 1 << 30 }),
		"worker connections of dispatchers": dispatchers(func(d *fleetsim.DispatcherGroup) { d.Connections = 1 << 30 }),
		"clients' repeats":                  func(_ *fleetsim.Fleet, l *fleetsim.Load) { l.Retries.Max = 0 },
		"the roster's delay": func(f *fleetsim.Fleet, _ *fleetsim.Load) {
			f.DiscoveryDelaySeconds, f.UnresponsiveDelaySeconds = fleetsim.Range{1e-3, 1e-3}, fleetsim.Range{1e-3, 1e-3}
		},
		"the age of load reports": func(f *fleetsim.Fleet, _ *fleetsim.Load) {
			f.ReportIntervalSeconds, f.ReportDelaySeconds = fleetsim.Range{0.02, 0.02}, fleetsim.Range{1e-3, 1e-3}
		},
		"the pools of universities by label": removeTenantPools,
	}
}

// onePool takes the labels away: without a share no university gets a pool of its own. The load keeps its mix.
func removeTenantPools(f *fleetsim.Fleet, l *fleetsim.Load) {
	mixed := len(l.Tenants) > 0
	f.Tenants = slices.Clone(f.Tenants)
	for i := range f.Tenants {
		u := &f.Tenants[i]
		if !mixed {
			l.Tenants = append(l.Tenants, fleetsim.TenantLoad{Name: u.Name, Share: u.Share})
		}
		u.Share = 0
	}
}

func (p *Planner) limitEffects(f *fleetsim.Fleet, l *fleetsim.Load, slack float64) (out []LimitEffect, err error) {
	all := liftableLimits(f)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		p.reportProgress("what gives relief: %s", name)
		lf, ll := *f, *l
		all[name](&lf, &ll)
		e, err := p.evaluate(&lf, &ll)
		if err != nil {
			return out, err
		}
		out = append(out, LimitEffect{name, e.slack, e.slack - slack})
	}
	slices.SortStableFunc(out, func(a, b LimitEffect) int { return cmp.Compare(b.Gain, a.Gain) })
	return out, nil
}
