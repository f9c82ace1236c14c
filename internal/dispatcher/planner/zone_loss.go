package planner

import "gladepick/internal/dispatcher/fleetsim"

// secondsAfterLoss is the length of the period that counts as the time after the loss of a zone.
const secondsAfterLoss = 10

// ZoneLoss is the cost of losing a zone, as shares of the value offered.
type ZoneLoss struct {
	Zone              string     `json:"zone"`
	Spares            bool       `json:"spares"` // whether the spare workers are switched on
	Total             Estimate   `json:"worth"`  // of the whole day
	During            Estimate   `json:"during"` // of requests that arrived while the zone was lost
	After             Estimate   `json:"after"`  // of requests that arrived in the ten seconds after that
	Classes           []Estimate `json:"classes"`
	Tenants           []Estimate `json:"universities"`
	Seconds           []float64  `json:"seconds"` // value lost in each second, mean over the days
	OverloadedWorkers int        `json:"fell"`    // workers overloaded during their slow start, over all days
}

// ZoneLosses returns the cost of losing each zone: the difference between the same days with and without the loss. If
// the fleet has spare workers, each zone is evaluated both without and with them.
func (p *Planner) ZoneLosses() (out []ZoneLoss, err error) {
	for _, spares := range []bool{false, true} {
		fleet := p.baseFleet(spares)
		if spares && len(fleet.Workers) == len(p.baseFleet(false).Workers) {
			break
		}
		load := p.scaledLoad(1)
		calm, err := p.simulateDays(fleet, load, 0, p.MaxDays)
		if err != nil {
			return out, err
		}
		for _, zone := range fleet.Zones {
			p.reportProgress("what a zone costs: %s", zone)
			clause := Clause{Conditions: []*Condition{{LostZone: zone}}}
			lossFleet, lossLoad := clause.apply(*fleet, *load)
			lossy, err := p.simulateDays(lossFleet, lossLoad, 0, p.MaxDays)
			if err != nil {
				return out, err
			}
			loss := p.compareDays(fleet, calm, lossy, clause.Conditions[0], lossLoad)
			loss.Zone, loss.Spares = zone, spares
			out = append(out, loss)
		}
	}
	return out, nil
}

// compareDays computes the cost of a zone's loss from days with the loss and the same days without it.
func (p *Planner) compareDays(fleet *fleetsim.Fleet, calm, lossy []*fleetsim.Result, condition *Condition, load *fleetsim.Load) ZoneLoss {
	difference := func(of func(*fleetsim.Result) fleetsim.Tally) Estimate {
		var lost []float64
		for i := range calm {
			without, with := of(calm[i]), of(lossy[i])
			lost = append(lost, without.Service()-with.Service())
		}
		return p.estimate(lost)
	}
	start, duration := condition.period(load)
	end := start + duration
	loss := ZoneLoss{Seconds: make([]float64, len(calm[0].Seconds))}
	loss.Total = difference(func(r *fleetsim.Result) fleetsim.Tally { return r.Total })
	loss.During = difference(tallyBetween(start, end))
	loss.After = difference(tallyBetween(end, end+secondsAfterLoss))
	for i := range fleet.Classes {
		loss.Classes = append(loss.Classes, difference(func(r *fleetsim.Result) fleetsim.Tally { return r.Classes[i] }))
	}
	for i := range fleet.Tenants {
		loss.Tenants = append(loss.Tenants, difference(func(r *fleetsim.Result) fleetsim.Tally { return r.Tenants[i] }))
	}
	for i := range loss.Seconds {
		for day := range calm {
			loss.Seconds[i] += (calm[day].Seconds[i].EarnedValue - lossy[day].Seconds[i].EarnedValue) / float64(len(calm))
		}
	}
	for _, day := range lossy {
		loss.OverloadedWorkers += day.Violations[fleetsim.ViolationOverload]
	}
	return loss
}

// tallyBetween returns a function that sums up the values of a day's requests that arrived in the seconds from
// (inclusive) to to (exclusive).
func tallyBetween(from, to float64) func(*fleetsim.Result) fleetsim.Tally {
	return func(r *fleetsim.Result) (sum fleetsim.Tally) {
		for i, second := range r.Seconds {
			if float64(i) >= from && float64(i) < to {
				sum.OfferedValue += second.OfferedValue
				sum.EarnedValue += second.EarnedValue
			}
		}
		return sum
	}
}
