// The three questions. Days are played in batches with common random numbers:
// the same clients meet every fleet. A batch is as large as it is, however
// many cores play it, and a verdict stands as soon as it is sure enough.

package plan

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"ivyfold/internal/model"
)

// Options say how sure answers must be and how long the search may go on.
type Options struct {
	Seed       uint64
	Confidence float64              // that a goal holds where it is said to; 0.95 where 0
	Days       int                  // played for one verdict at most; 16 where 0
	Cores      int                  // that play at a time; all where 0
	Most       float64              // times the fleet or the load, at most; 16 where 0
	Played     func(days int)       // told of each day
	Stop       func() bool          // ends the search early; what is known so far comes back with ErrStopped
	Note       func(string, ...any) // told what is looked at
}

// ErrStopped is what a search that was ended early comes back with.
var ErrStopped = errors.New("stopped")

const batch = 4

// Planner searches for one fleet, load and goal.
type Planner struct {
	Fleet *model.Fleet
	Load  *model.Load
	Goal  *Goal
	Options
	days  atomic.Int64
	cache map[string]*evaluation // by description
}

// New checks what belongs together.
func New(f *model.Fleet, l *model.Load, g *Goal, o Options) (*Planner, error) {
	if err := g.Check(f); err != nil {
		return nil, err
	}
	o.Confidence = cmp.Or(o.Confidence, 0.95)
	o.Days, o.Most = cmp.Or(o.Days, 16), cmp.Or(o.Most, 16)
	o.Cores = cmp.Or(o.Cores, runtime.GOMAXPROCS(0))
	if o.Days < 2 || o.Days > 10000 {
		return nil, fmt.Errorf("%d days for a verdict are not in 2 to 10000", o.Days)
	}
	if !(o.Confidence > 0.5 && o.Confidence < 1) {
		return nil, fmt.Errorf("a confidence of %v is not in 0.5 to 1", o.Confidence)
	}
	return &Planner{Fleet: f, Load: l, Goal: g, Options: o, cache: map[string]*evaluation{}}, nil
}

// DaysPlayed is how many days have been played so far.
func (p *Planner) DaysPlayed() int { return int(p.days.Load()) }

func (p *Planner) stopped() bool { return p.Stop != nil && p.Stop() }

// play plays some days of one description, each with its seed.
func (p *Planner) play(f *model.Fleet, l *model.Load, first, count int) ([]*model.Result, error) {
	out, errs := make([]*model.Result, count), make([]error, count)
	var all sync.WaitGroup
	room := make(chan bool, p.Cores)
	for i := range count {
		all.Add(1)
		room <- true
		go func() {
			defer func() { <-room; all.Done() }()
			if out[i], errs[i] = model.Play(f, l, p.Seed*1_000_003+uint64(first+i), p.Stop); errs[i] == nil {
				p.days.Add(1)
				if p.Played != nil {
					p.Played(1)
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
	Mean  float64 `json:"mean"`
	Reach float64 `json:"reach"`
	Days  int     `json:"days"`
}

func (e Estimate) String() string { return fmt.Sprintf("%.3f ± %.3f", e.Mean, e.Reach) }

// estimate is the mean of some days with its two-sided interval.
func (p *Planner) estimate(x []float64) Estimate {
	mean, reach := interval(x, 1-(1-p.Confidence)/2)
	return Estimate{mean, reach, len(x)}
}

// interval is the mean of two figures or more and, by Student's t, how far the true one may lie to a side of it.
func interval(x []float64, confidence float64) (mean, reach float64) {
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
	holds    bool // each test, with the confidence asked for
	findings []Finding
	slack    float64  // of the worst test, on average
	score    Estimate // of the first clause
	busy     []string // how busy each kind is on its days
}

// evaluate plays days until each test is surely held or one surely is not, or the days are up: what is not sure by
// then does not hold.
func (p *Planner) evaluate(f *model.Fleet, l *model.Load) (*evaluation, error) {
	id := fmt.Sprintf("%v|%v", *f, *l)
	if e := p.cache[id]; e != nil {
		return e, nil
	}
	e := &evaluation{holds: true, slack: math.Inf(1)}
	for i, c := range p.Goal.Clauses {
		cf, cl := c.apply(*f, *l)
		var days []*model.Result
		for {
			more, err := p.play(cf, cl, len(days), min(batch, p.Options.Days-len(days)))
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
					values, slacks = append(values, t.of(cf, r)), append(slacks, t.slack(cf, r))
				}
				mean, reach := interval(slacks, p.Confidence) // one side: what lies on the good one does no harm
				holds := mean >= reach
				open = open || !holds && mean >= -reach
				surelyNot = surelyNot || mean < -reach
				worst = min(worst, mean)
				found = append(found, Finding{t.String(), c.with(), p.estimate(values), holds})
			}
			if surelyNot || !open || len(days) >= p.Options.Days {
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
			e.score, e.busy = p.estimate(scores), busy(f, days)
		}
	}
	p.cache[id] = e
	return e, nil
}

func (c *Clause) with() (out string) {
	for i, w := range c.With {
		if i > 0 {
			out += " and "
		}
		switch {
		case w.Zone != "":
			out += "zone " + w.Zone + " lost"
		case w.Dead > 0:
			out += fmt.Sprintf("%g%% dead", w.Dead)
		case w.Shared > 0:
			out += fmt.Sprintf("%g%% shared", w.Shared)
		default:
			out += fmt.Sprintf("%s times %g", w.Who, w.Times)
		}
	}
	return out
}

func (p *Planner) note(format string, v ...any) {
	if p.Note != nil {
		p.Note(format, v...)
	}
}

// usual is the fleet without its spare machines, or with them.
func (p *Planner) usual(spares bool) *model.Fleet {
	f := *p.Fleet
	f.Workers = slices.DeleteFunc(slices.Clone(f.Workers), func(g model.Group) bool { return g.Spare && !spares })
	return &f
}

func (p *Planner) times(x float64) *model.Load {
	l := *p.Load
	l.Times = cmp.Or(l.Times, 1) * x
	return &l
}

// Relief is what lifting one limit does where the goal breaks.
type Relief struct {
	Resource string  `json:"resource"`
	Slack    float64 `json:"slack"` // of the worst test once it is lifted
	Gain     float64 `json:"gain"`  // over what it was
}

// Breaks answers what breaks first.
type Breaks struct {
	Now      []Finding `json:"now"`
	HoldsAt  float64   `json:"holds_at"`  // times the load
	BreaksAt float64   `json:"breaks_at"` // times the load; 0 if it does not break within what was tried
	First    string    `json:"first"`     // the resource that does it
	Failing  []Finding `json:"failing"`   // there
	Reliefs  []Relief  `json:"reliefs"`   // most first
	Busy     []string  `json:"busy"`      // how busy each kind is there
}

// Breaks raises the load until the goal breaks, and then lifts one limit after the other on the same days: what gives
// most relief is what broke.
func (p *Planner) Breaks() (*Breaks, error) {
	out := &Breaks{}
	f := p.usual(false)
	now, err := p.evaluate(f, p.times(1))
	if err != nil {
		return out, err
	}
	out.Now = now.findings
	low, high := 0.0, 1.0
	if now.holds {
		for low = 1; ; low = high {
			if high = low * 1.5; high > p.Most {
				out.HoldsAt = low
				return out, nil
			}
			p.note("what breaks first: %.2f times the load", high)
			e, err := p.evaluate(f, p.times(high))
			if err != nil {
				out.HoldsAt = low
				return out, err
			}
			if !e.holds {
				break
			}
		}
	}
	for steps := 0; high-low > 0.02*high && steps < 12; steps++ {
		middle := (low + high) / 2
		p.note("what breaks first: %.2f times the load", middle)
		e, err := p.evaluate(f, p.times(middle))
		if err != nil {
			out.HoldsAt, out.BreaksAt = low, high
			return out, err
		}
		if e.holds {
			low = middle
		} else {
			high = middle
		}
	}
	out.HoldsAt, out.BreaksAt = low, high
	// A little beyond, lest chance decide; where the goal breaks already, right here.
	at := p.times(max(high*1.1, 1))
	e, err := p.evaluate(f, at)
	if err != nil {
		return out, err
	}
	out.Failing = slices.DeleteFunc(slices.Clone(e.findings), func(f Finding) bool { return f.Holds })
	out.Busy = e.busy
	if out.Reliefs, err = p.reliefs(f, at, e.slack); err != nil {
		return out, err
	}
	out.First = out.Reliefs[0].Resource
	if out.Reliefs[0].Gain <= 0 {
		out.First = "nothing that can be lifted alone"
	}
	return out, nil
}

func busy(f *model.Fleet, days []*model.Result) (out []string) {
	for i, k := range f.Kinds {
		sum, full := 0.0, 0
		for _, r := range days {
			sum += r.Kinds[i].Busy / float64(len(days))
			full += r.Kinds[i].Full
		}
		if days[0].Kinds[i].Count > 0 {
			out = append(out, fmt.Sprintf("%s: slots %.0f%% at work, %d jobs a day met a full waiting room", k.Name, 100*sum, full/len(days)))
		}
	}
	return out
}

// lifts are the limits that can be lifted one at a time.
func lifts(f *model.Fleet) map[string]func(*model.Fleet, *model.Load) {
	kinds := func(change func(*model.Kind)) func(*model.Fleet, *model.Load) {
		return func(f *model.Fleet, _ *model.Load) {
			f.Kinds = slices.Clone(f.Kinds)
			for i := range f.Kinds {
				change(&f.Kinds[i])
			}
		}
	}
	dispatchers := func(change func(*model.Dispatchers)) func(*model.Fleet, *model.Load) {
		return func(f *model.Fleet, _ *model.Load) {
			f.Dispatchers = slices.Clone(f.Dispatchers)
			for i := range f.Dispatchers {
				change(&f.Dispatchers[i])
			}
		}
	}
	return map[string]func(*model.Fleet, *model.Load){
		"slots of the workers": func(f *model.Fleet, _ *model.Load) {
			f.Workers = slices.Clone(f.Workers)
			for i := range f.Workers {
				f.Workers[i].Count = int(math.Ceil(1.5 * float64(f.Workers[i].Count)))
			}
		},
		"the running time itself":         kinds(func(k *model.Kind) { k.Speed[0] *= 2; k.Speed[1] *= 2; k.Cores /= 2 }),
		"waiting rooms of the workers":    kinds(func(k *model.Kind) { k.Queue = max(10*k.Queue, 10) }),
		"connections that workers accept": kinds(func(k *model.Kind) { k.Connections = 1 << 30 }),
		"the cost of new connections":     kinds(func(k *model.Kind) { k.ConnectionMs = 0 }),
		"the cold budget after a start": func(f *model.Fleet, l *model.Load) {
			kinds(func(k *model.Kind) { k.ColdShare = 1 })(f, l)
			f.Cold.Share = 1
		},
		"open jobs of the dispatchers":      dispatchers(func(d *model.Dispatchers) { d.OpenJobs = 1 << 30 }),
		"worker connections of dispatchers": dispatchers(func(d *model.Dispatchers) { d.Connections = 1 << 30 }),
		"clients' repeats":                  func(_ *model.Fleet, l *model.Load) { l.Retries.Most = 0 },
		"the roster's delay": func(f *model.Fleet, _ *model.Load) {
			f.RosterS, f.SilentS = model.Range{1e-3, 1e-3}, model.Range{1e-3, 1e-3}
		},
		"the age of load reports": func(f *model.Fleet, _ *model.Load) {
			f.ReportEveryS, f.ReportDelayS = model.Range{0.02, 0.02}, model.Range{1e-3, 1e-3}
		},
		"the pools of universities by label": onePool,
	}
}

// onePool takes the labels away: without a share no university gets a pool of its own. The load keeps its mix.
func onePool(f *model.Fleet, l *model.Load) {
	mixed := len(l.Universities) > 0
	f.Universities = slices.Clone(f.Universities)
	for i := range f.Universities {
		u := &f.Universities[i]
		if !mixed {
			l.Universities = append(l.Universities, model.Source{Name: u.Name, Share: u.Share})
		}
		u.Share = 0
	}
}

func (p *Planner) reliefs(f *model.Fleet, l *model.Load, slack float64) (out []Relief, err error) {
	all := lifts(f)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		p.note("what gives relief: %s", name)
		lf, ll := *f, *l
		all[name](&lf, &ll)
		e, err := p.evaluate(&lf, &ll)
		if err != nil {
			return out, err
		}
		out = append(out, Relief{name, e.slack, e.slack - slack})
	}
	slices.SortStableFunc(out, func(a, b Relief) int { return cmp.Compare(b.Gain, a.Gain) })
	return out, nil
}

// Needs answers how many workers the goal needs.
type Needs struct {
	Reached  bool           `json:"reached"`
	Workers  []model.Group  `json:"workers"`
	Count    int            `json:"count"`
	Cost     float64        `json:"cost"`
	CostNow  float64        `json:"cost_now"`
	Findings []Finding      `json:"findings"`
	Why      []Relief       `json:"why,omitempty"` // what would give relief where no number of workers does
	Limits   map[string]int `json:"limits"`        // the least that the goal needs with these workers
	Curve    []Sample       `json:"curve"`         // service against workers
	Fleets   int            `json:"fleets"`        // that were looked at
}

// Sample is a fleet that was looked at.
type Sample struct {
	Workers int      `json:"workers"`
	Cost    float64  `json:"cost"`
	Service Estimate `json:"service"`
	Holds   bool     `json:"holds"`
}

// prices are what a machine of each kind costs.
func prices(f *model.Fleet) map[string]float64 {
	of := map[string]float64{}
	for _, k := range f.Kinds {
		of[k.Name] = cmp.Or(k.Cost, 1)
	}
	return of
}

func cost(f *model.Fleet) (workers int, cost float64) {
	of := prices(f)
	for _, g := range f.Workers {
		workers += g.Count
		cost += float64(g.Count) * of[g.Kind]
	}
	return workers, cost
}

// scaled is a fleet of some times the workers, each group rounded up.
func scaled(f *model.Fleet, x float64) *model.Fleet {
	out := *f
	out.Workers = slices.Clone(f.Workers)
	for i := range out.Workers {
		out.Workers[i].Count = max(int(math.Ceil(x*float64(out.Workers[i].Count)-1e-9)), 0)
	}
	return &out
}

// Needs searches the cheapest mix that holds the goal: first the least multiple of the fleet that does, then machine by
// machine downwards, the dearest first, and exchanges of one kind for another in a zone.
func (p *Planner) Needs() (*Needs, error) {
	out := &Needs{Limits: map[string]int{}}
	base := p.usual(true)
	_, out.CostNow = cost(p.usual(false))
	try := func(f *model.Fleet) (*evaluation, error) {
		n, c := cost(f)
		p.note("how many: %d workers at a cost of %.4g", n, c)
		before := len(p.cache)
		e, err := p.evaluate(f, p.times(1))
		if err == nil && len(p.cache) > before {
			out.Fleets++
			out.Curve = append(out.Curve, Sample{n, c, e.score, e.holds})
		}
		return e, err
	}
	keep := func(f *model.Fleet, e *evaluation) {
		out.Reached, out.Findings = true, e.findings
		out.Workers = nil
		for _, g := range f.Workers {
			at := slices.IndexFunc(out.Workers, func(o model.Group) bool { return o.Kind == g.Kind && o.Zone == g.Zone })
			if at >= 0 {
				out.Workers[at].Count += g.Count
			} else if g.Count > 0 {
				out.Workers = append(out.Workers, model.Group{Kind: g.Kind, Zone: g.Zone, Count: g.Count})
			}
		}
		out.Count, out.Cost = cost(f)
	}
	low, high := 0.0, 1.0
	var best *model.Fleet
	for {
		f := scaled(base, high)
		e, err := try(f)
		if err != nil {
			return out, err
		}
		if e.holds {
			best = f
			keep(f, e)
			break
		}
		if low, high = high, high*1.6; high > p.Most {
			out.Findings = e.findings
			if out.Why, err = p.reliefs(f, p.times(1), e.slack); err != nil {
				return out, err
			}
			return out, nil
		}
	}
	for steps := 0; high-low > 0.04*high && steps < 8; steps++ {
		middle := (low + high) / 2
		f := scaled(base, middle)
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
	price := prices(base)
	for better := true; better; {
		better = false
		_, now := cost(best)
		for _, f := range neighbours(best, price) {
			if _, c := cost(f); c >= now-1e-9 {
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
	return out, p.limits(best, out)
}

// neighbours are fleets a step cheaper, the cheapest first: a machine less, or one kind for another in a zone.
func neighbours(f *model.Fleet, price map[string]float64) (out []*model.Fleet) {
	with := func(change func([]model.Group)) {
		n := *f
		n.Workers = slices.Clone(f.Workers)
		change(n.Workers)
		out = append(out, &n)
	}
	for i, g := range f.Workers {
		if g.Count == 0 {
			continue
		}
		with(func(w []model.Group) { w[i].Count-- })
		for k, other := range f.Workers {
			if other.Zone == g.Zone && price[other.Kind] < price[g.Kind] {
				with(func(w []model.Group) { w[i].Count--; w[k].Count++ })
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *model.Fleet) int {
		_, x := cost(a)
		_, y := cost(b)
		return cmp.Compare(x, y)
	})
	return out
}

// limits finds the least open jobs, worker connections and attempts with which the goal still holds.
func (p *Planner) limits(f *model.Fleet, out *Needs) error {
	for _, limit := range []struct {
		name string
		most int
		set  func(*model.Fleet, int)
	}{
		{"open_jobs", 4096, func(f *model.Fleet, v int) {
			for i := range f.Dispatchers {
				f.Dispatchers[i].OpenJobs = v
			}
		}},
		{"worker_connections", 4096, func(f *model.Fleet, v int) {
			for i := range f.Dispatchers {
				f.Dispatchers[i].Connections = v
			}
		}},
		{"attempts", 8, func(f *model.Fleet, v int) { f.Attempts = v }},
	} {
		low, high := 0, limit.most
		for high-low > max(high/16, 1) {
			middle := (low + high) / 2
			lf := *f
			lf.Dispatchers = slices.Clone(f.Dispatchers)
			limit.set(&lf, middle)
			p.note("which limits: %s %d", limit.name, middle)
			e, err := p.evaluate(&lf, p.times(1))
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

// Loss is what losing a zone costs, as a share of the worth asked.
type Loss struct {
	Zone         string     `json:"zone"`
	Spares       bool       `json:"spares"` // with the spare workers switched on
	Worth        Estimate   `json:"worth"`  // of the whole day
	During       Estimate   `json:"during"` // of what came while it was lost
	After        Estimate   `json:"after"`  // of what came in the ten seconds after
	Classes      []Estimate `json:"classes"`
	Universities []Estimate `json:"universities"`
	Seconds      []float64  `json:"seconds"` // worth lost in each second, on average
	Fell         int        `json:"fell"`    // cold workers pushed over, all days together
}

// Losses answers what losing each zone costs: the same days with and without, and the difference.
func (p *Planner) Losses() (out []Loss, err error) {
	for _, spares := range []bool{false, true} {
		f := p.usual(spares)
		if spares && len(f.Workers) == len(p.usual(false).Workers) {
			break
		}
		l := p.times(1)
		whole, err := p.play(f, l, 0, p.Options.Days)
		if err != nil {
			return out, err
		}
		for _, zone := range f.Zones {
			p.note("what a zone costs: %s", zone)
			c := Clause{With: []*Condition{{Zone: zone}}}
			lf, ll := c.apply(*f, *l)
			at, span := c.With[0].when(ll)
			lost, err := p.play(lf, ll, 0, p.Options.Days)
			if err != nil {
				return out, err
			}
			loss := Loss{Zone: zone, Spares: spares, Seconds: make([]float64, len(whole[0].Seconds))}
			diff := func(of func(*model.Result) model.Tally) Estimate {
				var x []float64
				for i := range whole {
					a, b := of(whole[i]), of(lost[i])
					x = append(x, a.Service()-b.Service())
				}
				return p.estimate(x)
			}
			window := func(from, to float64) func(*model.Result) model.Tally {
				return func(r *model.Result) (t model.Tally) {
					for i, s := range r.Seconds {
						if float64(i) >= from && float64(i) < to {
							t.Asked += s.Asked
							t.Earned += s.Earned
						}
					}
					return t
				}
			}
			loss.Worth = diff(func(r *model.Result) model.Tally { return r.Whole })
			loss.During, loss.After = diff(window(at, at+span)), diff(window(at+span, at+span+10))
			for i := range f.Classes {
				loss.Classes = append(loss.Classes, diff(func(r *model.Result) model.Tally { return r.Classes[i] }))
			}
			for i := range f.Universities {
				loss.Universities = append(loss.Universities, diff(func(r *model.Result) model.Tally { return r.Universities[i] }))
			}
			for i := range loss.Seconds {
				for d := range whole {
					loss.Seconds[i] += (whole[d].Seconds[i].Earned - lost[d].Seconds[i].Earned) / float64(len(whole))
				}
			}
			for _, r := range lost {
				loss.Fell += r.Broken["cold worker pushed over"]
			}
			out = append(out, loss)
		}
	}
	return out, nil
}
