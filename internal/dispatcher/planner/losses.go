// What losing a zone costs.

package planner

import "gladepick/internal/dispatcher/fleetsim"

// ZoneLoss is what losing a zone costs, as a share of the worth asked.
type ZoneLoss struct {
	Zone              string     `json:"zone"`
	Spares            bool       `json:"spares"` // with the spare workers switched on
	Total             Estimate   `json:"worth"`  // of the whole day
	During            Estimate   `json:"during"` // of what came while it was lost
	After             Estimate   `json:"after"`  // of what came in the ten seconds after
	Classes           []Estimate `json:"classes"`
	Tenants           []Estimate `json:"universities"`
	Seconds           []float64  `json:"seconds"` // worth lost in each second, on average
	OverloadedWorkers int        `json:"fell"`    // cold workers pushed over, all days together
}

// ZoneLosses tells what losing each zone costs: the same days with and without, and the difference.
func (p *Planner) ZoneLosses() (out []ZoneLoss, err error) {
	for _, spares := range []bool{false, true} {
		f := p.baseFleet(spares)
		if spares && len(f.Workers) == len(p.baseFleet(false).Workers) {
			break
		}
		l := p.scaledLoad(1)
		whole, err := p.simulateDays(f, l, 0, p.Options.MaxDays)
		if err != nil {
			return out, err
		}
		for _, zone := range f.Zones {
			p.reportProgress("what a zone costs: %s", zone)
			c := Clause{Conditions: []*Condition{{LostZone: zone}}}
			lf, ll := c.apply(*f, *l)
			at, span := c.Conditions[0].period(ll)
			lost, err := p.simulateDays(lf, ll, 0, p.Options.MaxDays)
			if err != nil {
				return out, err
			}
			loss := ZoneLoss{Zone: zone, Spares: spares, Seconds: make([]float64, len(whole[0].Seconds))}
			diff := func(of func(*fleetsim.Result) fleetsim.Tally) Estimate {
				var x []float64
				for i := range whole {
					a, b := of(whole[i]), of(lost[i])
					x = append(x, a.Service()-b.Service())
				}
				return p.estimate(x)
			}
			window := func(from, to float64) func(*fleetsim.Result) fleetsim.Tally {
				return func(r *fleetsim.Result) (t fleetsim.Tally) {
					for i, s := range r.Seconds {
						if float64(i) >= from && float64(i) < to {
							t.OfferedValue += s.OfferedValue
							t.EarnedValue += s.EarnedValue
						}
					}
					return t
				}
			}
			loss.Total = diff(func(r *fleetsim.Result) fleetsim.Tally { return r.Total })
			loss.During, loss.After = diff(window(at, at+span)), diff(window(at+span, at+span+10))
			for i := range f.Classes {
				loss.Classes = append(loss.Classes, diff(func(r *fleetsim.Result) fleetsim.Tally { return r.Classes[i] }))
			}
			for i := range f.Tenants {
				loss.Tenants = append(loss.Tenants, diff(func(r *fleetsim.Result) fleetsim.Tally { return r.Tenants[i] }))
			}
			for i := range loss.Seconds {
				for d := range whole {
					loss.Seconds[i] += (whole[d].Seconds[i].EarnedValue - lost[d].Seconds[i].EarnedValue) / float64(len(whole))
				}
			}
			for _, r := range lost {
				loss.OverloadedWorkers += r.Violations[fleetsim.ViolationOverload]
			}
			out = append(out, loss)
		}
	}
	return out, nil
}
