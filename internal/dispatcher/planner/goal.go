package planner

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"gladepick/internal/dispatcher/fleetsim"
)

// Goal is a list of clauses, all of which must hold for a fleet. The parser tags define its grammar. The parser's error
// messages contain the names of the types.
type Goal struct {
	Clauses []*Clause `parser:"@@ (';' @@)*"`
}

// Clause is a list of tests on days with the given conditions, or on days without any.
type Clause struct {
	Tests      []*Test      `parser:"@@ ('and' @@)*"`
	Conditions []*Condition `parser:"('with' @@ ('and' @@)*)?"`
}

// Test compares a measure of a day with a bound.
type Test struct {
	Pos      lexer.Position
	Measure  string  `parser:"@Ident"`
	Subject  string  `parser:"('(' @Ident ')')?"`
	Operator string  `parser:"@('>=' | '<=')"`
	Bound    float64 `parser:"@Number"`
	Percent  bool    `parser:"@'%'?"`
}

// Condition is a fault or a change of the load on a clause's days.
type Condition struct {
	Pos           lexer.Position
	LostZone      string  `parser:"(  'zone' @Ident 'lost'"`
	DeadPercent   float64 `parser:" | @Number '%' 'dead'"`
	SharedPercent float64 `parser:" | @Number '%' 'shared'"`
	LoadTarget    string  `parser:" | @Ident 'times'"`
	Factor        float64 `parser:"   @Number )"`
	AtSeconds     float64 `parser:"('at' @Number"`
	ForSeconds    float64 `parser:" 'for' @Number)?"`
}

var (
	goalLexer = lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Ident", Pattern: `[A-Za-z_][A-Za-z0-9_.-]*`},
		{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?`},
		{Name: "Op", Pattern: `>=|<=`},
		{Name: "Mark", Pattern: `[()%;]`},
		{Name: "space", Pattern: `\s+`},
	})
	goalParser = participle.MustBuild[Goal](participle.Lexer(goalLexer), participle.UseLookahead(2))
)

// measures maps the name of each measure to whether it exists for a single class or tenant.
var measures = map[string]bool{"service": true, "late": true, "lost": true, "in_time": true, "score": false, "worst10": false}

// ParseGoal parses a goal and checks its measures and bounds. Its errors name the line and the column.
func ParseGoal(text string) (*Goal, error) {
	g, err := goalParser.ParseString("goal", text)
	if err != nil {
		var at participle.Error
		if errors.As(err, &at) {
			return nil, goalErrorf(at.Position(), "%s", at.Message())
		}
		return nil, err
	}
	for _, c := range g.Clauses {
		for _, t := range c.Tests {
			of, ok := measures[t.Measure]
			switch {
			case !ok:
				return nil, goalErrorf(t.Pos, "%q is no measure; there are service, late, lost, in_time, score and worst10", t.Measure)
			case !of && t.Subject != "":
				return nil, goalErrorf(t.Pos, "%s is of the whole day, not of %s", t.Measure, t.Subject)
			}
			if t.Percent {
				t.Bound /= 100
			}
			if t.Bound > 1 {
				return nil, goalErrorf(t.Pos, "%v is more than all", t.Bound)
			}
		}
	}
	return g, nil
}

// goalErrorf returns an error with the given position in the goal.
func goalErrorf(at lexer.Position, format string, v ...any) error {
	return fmt.Errorf("goal, line %d, column %d: %s", at.Line, at.Column, fmt.Sprintf(format, v...))
}

// Check returns an error if the goal names a class, tenant or zone that the fleet lacks, or selects more than all
// workers.
func (g *Goal) Check(f *fleetsim.Fleet) error {
	for _, c := range g.Clauses {
		for _, t := range c.Tests {
			if t.Subject != "" && classIndex(f, t.Subject) < 0 && tenantIndex(f, t.Subject) < 0 {
				return goalErrorf(t.Pos, "%q is neither a class nor a university of the fleet", t.Subject)
			}
		}
		for _, w := range c.Conditions {
			switch {
			case w.LostZone != "" && !slices.Contains(f.Zones, w.LostZone):
				return goalErrorf(w.Pos, "there is no zone %q; there are %s", w.LostZone, strings.Join(f.Zones, ", "))
			case w.LoadTarget != "" && w.LoadTarget != "load" && tenantIndex(f, w.LoadTarget) < 0:
				return goalErrorf(w.Pos, "%q is neither load nor a university of the fleet", w.LoadTarget)
			case w.DeadPercent > 100 || w.SharedPercent > 100:
				return goalErrorf(w.Pos, "more than all workers")
			}
		}
	}
	return nil
}

func classIndex(f *fleetsim.Fleet, name string) int {
	return slices.IndexFunc(f.Classes, func(c fleetsim.Class) bool { return c.Name == name })
}

func tenantIndex(f *fleetsim.Fleet, name string) int {
	return slices.IndexFunc(f.Tenants, func(u fleetsim.Tenant) bool { return u.Name == name })
}

// measure computes the test's measure of a day. A day without jobs of the test's subject has the best value of the
// measure.
func (t *Test) measure(f *fleetsim.Fleet, r *fleetsim.Result) float64 {
	tally := &r.Total
	if i := classIndex(f, t.Subject); i >= 0 {
		tally = &r.Classes[i]
	} else if i := tenantIndex(f, t.Subject); i >= 0 {
		tally = &r.Tenants[i]
	}
	jobs := float64(max(tally.Jobs, 1))
	switch t.Measure {
	case "service":
		return tally.Service()
	case "late":
		return float64(tally.Late) / jobs
	case "lost":
		return float64(tally.Failed) / jobs
	case "in_time":
		if tally.Jobs == 0 {
			return 1
		}
		return float64(tally.InTime) / jobs
	case "worst10":
		return r.WorstTenSeconds
	}
	return r.Score
}

// slack returns the distance of a day's measure to the bound. It is negative if the test fails on that day.
func (t *Test) slack(f *fleetsim.Fleet, r *fleetsim.Result) float64 {
	if t.Operator == ">=" {
		return t.measure(f, r) - t.Bound
	}
	return t.Bound - t.measure(f, r)
}

// String returns the test in the syntax of goals.
func (t *Test) String() string {
	of := ""
	if t.Subject != "" {
		of = "(" + t.Subject + ")"
	}
	return fmt.Sprintf("%s%s %s %g", t.Measure, of, t.Operator, t.Bound)
}

// period returns the start and the duration of a condition in seconds. The default is the second third of the day.
func (c *Condition) period(l *fleetsim.Load) (start, duration float64) {
	if c.ForSeconds > 0 {
		return c.AtSeconds, c.ForSeconds
	}
	return l.Seconds / 3, l.Seconds / 3
}

// apply returns copies of the descriptions with the clause's conditions added.
func (c *Clause) apply(f fleetsim.Fleet, l fleetsim.Load) (*fleetsim.Fleet, *fleetsim.Load) {
	f.Faults, l.Bursts = slices.Clone(f.Faults), slices.Clone(l.Bursts)
	l.Factor = cmp.Or(l.Factor, 1)
	for _, w := range c.Conditions {
		at, span := w.period(&l)
		switch {
		case w.LostZone != "":
			f.Faults = append(f.Faults, fleetsim.Fault{Type: "zone_lost", Zone: w.LostZone, StartSeconds: at, DurationSeconds: span})
		case w.DeadPercent > 0:
			f.Faults = append(f.Faults, fleetsim.Fault{Type: "deaths", Fraction: w.DeadPercent / 100, StartSeconds: at, DurationSeconds: span})
		case w.SharedPercent > 0:
			f.Faults = append(f.Faults, fleetsim.Fault{Type: "shared", Fraction: w.SharedPercent / 100, Amount: 0.55, OnSeconds: 2.5, OffSeconds: 2.5, StartSeconds: at, DurationSeconds: span})
		case w.LoadTarget == "load":
			l.Factor *= w.Factor
		default:
			l.Bursts = append(l.Bursts, fleetsim.Burst{Tenant: w.LoadTarget, Factor: w.Factor, StartSeconds: at, DurationSeconds: span})
		}
	}
	return &f, &l
}

// conditionsText returns the clause's conditions in the syntax of goals, without their times.
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
