// The three questions. Days are played in batches with common random numbers:
// the same clients meet every fleet. A batch is as large as it is, however
// many cores play it, and a verdict stands as soon as it is sure enough.

package planner

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"gladepick/internal/dispatcher/fleetsim"
)

// Options say how sure answers must be and how long the search may go on.
type Options struct {
	Seed        uint64
	Confidence  float64              // that a goal holds where it is said to; 0.95 where 0
	MaxDays     int                  // played for one verdict at most; 16 where 0
	Parallelism int                  // that play at a time; all where 0
	MaxFactor   float64              // times the fleet or the load, at most; 16 where 0
	OnDayPlayed func(days int)       // told of each day
	Stop        func() bool          // ends the search early; what is known so far comes back with ErrStopped
	OnProgress  func(string, ...any) // told what is looked at
}

// ErrStopped is what a search that was ended early comes back with.
var ErrStopped = errors.New("stopped")

const daysPerBatch = 4

// Planner searches for one fleet, load and goal.
type Planner struct {
	Fleet *fleetsim.Fleet
	Load  *fleetsim.Load
	Goal  *Goal
	Options
	daysPlayed atomic.Int64
	cache      map[string]*evaluation // by description
}

// New checks what belongs together.
func New(f *fleetsim.Fleet, l *fleetsim.Load, g *Goal, o Options) (*Planner, error) {
	if err := g.Check(f); err != nil {
		return nil, err
	}
	o.Confidence = cmp.Or(o.Confidence, 0.95)
	o.MaxDays, o.MaxFactor = cmp.Or(o.MaxDays, 16), cmp.Or(o.MaxFactor, 16)
	o.Parallelism = cmp.Or(o.Parallelism, runtime.GOMAXPROCS(0))
	if o.MaxDays < 2 || o.MaxDays > 10000 {
		return nil, fmt.Errorf("%d days for a verdict are not in 2 to 10000", o.MaxDays)
	}
	if !(o.Confidence > 0.5 && o.Confidence < 1) {
		return nil, fmt.Errorf("a confidence of %v is not in 0.5 to 1", o.Confidence)
	}
	return &Planner{Fleet: f, Load: l, Goal: g, Options: o, cache: map[string]*evaluation{}}, nil
}

// DaysPlayed is how many days have been played so far.
func (p *Planner) DaysPlayed() int { return int(p.daysPlayed.Load()) }

func (p *Planner) stopped() bool { return p.Stop != nil && p.Stop() }

// play plays some days of one description, each with its seed.
func (p *Planner) simulateDays(f *fleetsim.Fleet, l *fleetsim.Load, first, count int) ([]*fleetsim.Result, error) {
	out, errs := make([]*fleetsim.Result, count), make([]error, count)
	var all sync.WaitGroup
	room := make(chan bool, p.Parallelism)
	for i := range count {
		all.Add(1)
		room <- true
		go func() {
			defer func() { <-room; all.Done() }()
			if out[i], errs[i] = fleetsim.Simulate(f, l, p.Seed*1_000_003+uint64(first+i), p.Stop); errs[i] == nil {
				p.daysPlayed.Add(1)
				if p.OnDayPlayed != nil {
					p.OnDayPlayed(1)
				}
			}
		}()
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	if p.stopped() {
		return nil, ErrStopped
	}
	return out, nil
}

// Estimate is a mean over days and how far it may be off, with the confidence asked for.
type Estimate struct {
	Mean      float64 `json:"mean"`
	HalfWidth float64 `json:"reach"`
	Days      int     `json:"days"`
}

// String returns the mean and half the width of its interval.
func (e Estimate) String() string { return fmt.Sprintf("%.3f ± %.3f", e.Mean, e.HalfWidth) }

// estimate is the mean of some days with its two-sided interval.
func (p *Planner) estimate(x []float64) Estimate {
	mean, reach := confidenceInterval(x, 1-(1-p.Confidence)/2)
	return Estimate{mean, reach, len(x)}
}

// interval is the mean of two figures or more and, by Student's t, how far the true one may lie to a side of it.
func confidenceInterval(x []float64, confidence float64) (mean, reach float64) {
	mean, dev := stat.MeanStdDev(x, nil)
	return mean, distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(confidence) * dev / math.Sqrt(float64(len(x)))
}

// Finding is how one test came out.
type Finding struct {
	Test  string   `json:"test"`
	With  string   `json:"with,omitempty"`
	Value Estimate `json:"value"`
	Holds bool     `json:"holds"`
}

// evaluation is a verdict on one fleet and load.
type evaluation struct {
	holds       bool // each test, with the confidence asked for
	findings    []Finding
	slack       float64  // of the worst test, on average
	score       Estimate // of the first clause
	utilization []string // how busy each kind is on its days
}

// evaluate plays days until each test is surely held or one surely is not, or the days are up: what is not sure by
// then does not hold.
func (p *Planner) evaluate(f *fleetsim.Fleet, l *fleetsim.Load) (*evaluation, error) {
	id := fmt.Sprintf("%v|%v", *f, *l)
	if e := p.cache[id]; e != nil {
		return e, nil
	}
	e := &evaluation{holds: true, slack: math.Inf(1)}
	for i, c := range p.Goal.Clauses {
		cf, cl := c.apply(*f, *l)
		var days []*fleetsim.Result
		for {
			more, err := p.simulateDays(cf, cl, len(days), min(daysPerBatch, p.Options.MaxDays-len(days)))
			if err != nil {
				return nil, err
			}
			days = append(days, more...)
			open, surelyNot := false, false
			var found []Finding
			worst := math.Inf(1)
			for _, t := range c.Tests {
				var values, slacks []float64
				for _, r := range days {
					values, slacks = append(values, t.measure(cf, r)), append(slacks, t.slack(cf, r))
				}
				mean, reach := confidenceInterval(slacks, p.Confidence) // one side: what lies on the good one does no harm
				holds := mean >= reach
				open = open || !holds && mean >= -reach
				surelyNot = surelyNot || mean < -reach
				worst = min(worst, mean)
				found = append(found, Finding{t.String(), c.conditionsText(), p.estimate(values), holds})
			}
			if surelyNot || !open || len(days) >= p.Options.MaxDays {
				e.findings = append(e.findings, found...)
				e.holds = e.holds && !open && !surelyNot
				e.slack = min(e.slack, worst)
				break
			}
		}
		if i == 0 {
			var scores []float64
			for _, r := range days {
				scores = append(scores, r.Score)
			}
			e.score, e.utilization = p.estimate(scores), describeUtilization(f, days)
		}
	}
	p.cache[id] = e
	return e, nil
}

func (c *Clause) conditionsText() (out string) {
	for i, w := range c.Conditions {
		if i > 0 {
			out += " and "
		}
		switch {
		case w.LostZone != "":
			out += "zone " + w.LostZone + " lost"
		case w.DeadPercent > 0:
			out += fmt.Sprintf("%g%% dead", w.DeadPercent)
		case w.SharedPercent > 0:
			out += fmt.Sprintf("%g%% shared", w.SharedPercent)
		default:
			out += fmt.Sprintf("%s times %g", w.LoadTarget, w.Factor)
		}
	}
	return out
}

func (p *Planner) reportProgress(format string, v ...any) {
	if p.OnProgress != nil {
		p.OnProgress(format, v...)
	}
}

// usual is the fleet without its spare machines, or with them.
func (p *Planner) baseFleet(spares bool) *fleetsim.Fleet {
	f := *p.Fleet
	f.Workers = slices.DeleteFunc(slices.Clone(f.Workers), func(g fleetsim.WorkerGroup) bool { return g.Spare && !spares })
	return &f
}

func (p *Planner) scaledLoad(x float64) *fleetsim.Load {
	l := *p.Load
	l.Factor = cmp.Or(l.Factor, 1) * x
	return &l
}
