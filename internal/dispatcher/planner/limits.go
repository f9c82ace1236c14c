package planner

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"gladepick/internal/dispatcher/fleetsim"
)

const unlimited = 1 << 30

// LimitEffect is the effect of lifting one limit at a load for which the goal does not hold.
type LimitEffect struct {
	Resource string  `json:"resource"`
	Slack    float64 `json:"slack"` // of the worst test once the limit is lifted
	Gain     float64 `json:"gain"`  // difference to the slack with the limit
}

// liftableLimits returns the limits that can be lifted one at a time, by name. Each function lifts its limit in shallow
// copies of the descriptions.
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
		"connections that workers accept": kinds(func(k *fleetsim.Kind) { k.Connections = unlimited }),
		"the cost of new connections":     kinds(func(k *fleetsim.Kind) { k.ConnectionMs = 0 }),
		"the cold budget after a start": func(f *fleetsim.Fleet, l *fleetsim.Load) {
			kinds(func(k *fleetsim.Kind) { k.SlowStartShare = 1 })(f, l)
			f.SlowStart.Share = 1
		},
		"open jobs of the dispatchers":      dispatchers(func(d *fleetsim.DispatcherGroup) { d.OpenJobs = unlimited }),
		"worker connections of dispatchers": dispatchers(func(d *fleetsim.DispatcherGroup) { d.Connections = unlimited }),
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

// removeTenantPools sets all quota shares to 0, so that no tenant gets a pool of its own. The load keeps its mix of
// tenants.
func removeTenantPools(fleet *fleetsim.Fleet, load *fleetsim.Load) {
	hasMix := len(load.Tenants) > 0
	fleet.Tenants = slices.Clone(fleet.Tenants)
	for i := range fleet.Tenants {
		tenant := &fleet.Tenants[i]
		if !hasMix {
			load.Tenants = append(load.Tenants, fleetsim.TenantLoad{Name: tenant.Name, Share: tenant.Share})
		}
		tenant.Share = 0
	}
}

// limitEffects lifts one limit after the other, and returns the effects ordered by their gain over the given slack, the
// greatest first.
func (p *Planner) limitEffects(fleet *fleetsim.Fleet, load *fleetsim.Load, slack float64) (effects []LimitEffect, err error) {
	lifts := liftableLimits(fleet)
	for _, name := range slices.Sorted(maps.Keys(lifts)) {
		p.reportProgress("what gives relief: %s", name)
		liftedFleet, liftedLoad := *fleet, *load
		lifts[name](&liftedFleet, &liftedLoad)
		result, err := p.evaluate(&liftedFleet, &liftedLoad)
		if err != nil {
			return effects, err
		}
		effects = append(effects, LimitEffect{name, result.slack, result.slack - slack})
	}
	slices.SortStableFunc(effects, func(a, b LimitEffect) int { return cmp.Compare(b.Gain, a.Gain) })
	return effects, nil
}
