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
func (p *Planner) ZoneLosses() (losses []ZoneLoss, err error) {
	for _, spares := range []bool{false, true} {
		fleet := p.baseFleet(spares)
		if spares && len(fleet.Workers) == len(p.baseFleet(false).Workers) {
			break
		}
		load := p.scaledLoad(1)
		baseline, err := p.simulateDays(fleet, load, 0, p.MaxDays)
		if err != nil {
			return losses, err
		}
		for _, zone := range fleet.Zones {
			p.reportProgress("what a zone costs: %s", zone)
			clause := Clause{Conditions: []*Condition{{LostZone: zone}}}
			lossFleet, lossLoad := clause.apply(*fleet, *load)
			withLoss, err := p.simulateDays(lossFleet, lossLoad, 0, p.MaxDays)
			if err != nil {
				return losses, err
			}
			loss := p.compareDays(fleet, baseline, withLoss, clause.Conditions[0], lossLoad)
			loss.Zone, loss.Spares = zone, spares
			losses = append(losses, loss)
		}
	}
	return losses, nil
}

// compareDays computes the cost of a zone's loss from days with the loss and the same days without it.
func (p *Planner) compareDays(fleet *fleetsim.Fleet, baseline, withLoss []*fleetsim.Result, condition *Condition, load *fleetsim.Load) ZoneLoss {
	meanLoss := func(tally func(*fleetsim.Result) fleetsim.Tally) Estimate {
		var losses []float64
		for i := range baseline {
			without, with := tally(baseline[i]), tally(withLoss[i])
			losses = append(losses, without.Service()-with.Service())
		}
		return p.estimate(losses)
	}
	start, duration := condition.period(load)
	end := start + duration
	loss := ZoneLoss{Seconds: make([]float64, len(baseline[0].Seconds))}
	loss.Total = meanLoss(func(r *fleetsim.Result) fleetsim.Tally { return r.Total })
	loss.During = meanLoss(tallyBetween(start, end))
	loss.After = meanLoss(tallyBetween(end, end+secondsAfterLoss))
	for i := range fleet.Classes {
		loss.Classes = append(loss.Classes, meanLoss(func(r *fleetsim.Result) fleetsim.Tally { return r.Classes[i] }))
	}
	for i := range fleet.Tenants {
		loss.Tenants = append(loss.Tenants, meanLoss(func(r *fleetsim.Result) fleetsim.Tally { return r.Tenants[i] }))
	}
	for i := range loss.Seconds {
		for day := range baseline {
			loss.Seconds[i] += (baseline[day].Seconds[i].EarnedValue - withLoss[day].Seconds[i].EarnedValue) / float64(len(baseline))
		}
	}
	for _, day := range withLoss {
		loss.OverloadedWorkers += day.Violations[fleetsim.ViolationOverload]
	}
	return loss
}

// tallyBetween returns a function that sums up the values of a day's requests that arrived between the seconds from
// (inclusive) and to (exclusive).
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
