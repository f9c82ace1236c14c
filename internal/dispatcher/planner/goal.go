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
	goal, err := goalParser.ParseString("goal", text)
	if err != nil {
		var parserError participle.Error
		if errors.As(err, &parserError) {
			return nil, goalErrorf(parserError.Position(), "%s", parserError.Message())
		}
		return nil, err
	}
	for _, clause := range goal.Clauses {
		for _, test := range clause.Tests {
			hasSubject, ok := measures[test.Measure]
			switch {
			case !ok:
				return nil, goalErrorf(test.Pos, "%q is no measure; there are service, late, lost, in_time, score and worst10", test.Measure)
			case !hasSubject && test.Subject != "":
				return nil, goalErrorf(test.Pos, "%s is of the whole day, not of %s", test.Measure, test.Subject)
			}
			if test.Percent {
				test.Bound /= 100
			}
			if test.Bound > 1 {
				return nil, goalErrorf(test.Pos, "%v is more than all", test.Bound)
			}
		}
	}
	return goal, nil
}

// goalErrorf returns an error with the given position in the goal.
func goalErrorf(position lexer.Position, format string, values ...any) error {
	return fmt.Errorf("goal, line %d, column %d: %s", position.Line, position.Column, fmt.Sprintf(format, values...))
}

// Check returns an error if the goal names a class, tenant or zone that the fleet lacks, or selects more than all
// workers.
func (g *Goal) Check(fleet *fleetsim.Fleet) error {
	for _, clause := range g.Clauses {
		for _, test := range clause.Tests {
			if test.Subject != "" && classIndex(fleet, test.Subject) < 0 && tenantIndex(fleet, test.Subject) < 0 {
				return goalErrorf(test.Pos, "%q is neither a class nor a university of the fleet", test.Subject)
			}
		}
		for _, condition := range clause.Conditions {
			switch {
			case condition.LostZone != "" && !slices.Contains(fleet.Zones, condition.LostZone):
				return goalErrorf(condition.Pos, "there is no zone %q; there are %s", condition.LostZone, strings.Join(fleet.Zones, ", "))
			case condition.LoadTarget != "" && condition.LoadTarget != "load" && tenantIndex(fleet, condition.LoadTarget) < 0:
				return goalErrorf(condition.Pos, "%q is neither load nor a university of the fleet", condition.LoadTarget)
			case condition.DeadPercent > 100 || condition.SharedPercent > 100:
				return goalErrorf(condition.Pos, "more than all workers")
			}
		}
	}
	return nil
}

func classIndex(fleet *fleetsim.Fleet, name string) int {
	return slices.IndexFunc(fleet.Classes, func(c fleetsim.Class) bool { return c.Name == name })
}

func tenantIndex(fleet *fleetsim.Fleet, name string) int {
	return slices.IndexFunc(fleet.Tenants, func(t fleetsim.Tenant) bool { return t.Name == name })
}

// measure computes the test's measure of a day. A day without jobs of the test's subject has the best value of the
// measure.
func (t *Test) measure(fleet *fleetsim.Fleet, day *fleetsim.Result) float64 {
	tally := &day.Total
	if i := classIndex(fleet, t.Subject); i >= 0 {
		tally = &day.Classes[i]
	} else if i := tenantIndex(fleet, t.Subject); i >= 0 {
		tally = &day.Tenants[i]
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
		return day.WorstTenSeconds
	}
	return day.Score
}

// slack returns the distance of a day's measure to the bound. It is negative if the test fails on that day.
func (t *Test) slack(fleet *fleetsim.Fleet, day *fleetsim.Result) float64 {
	if t.Operator == ">=" {
		return t.measure(fleet, day) - t.Bound
	}
	return t.Bound - t.measure(fleet, day)
}

// String returns the test in the syntax of goals.
func (t *Test) String() string {
	subject := ""
	if t.Subject != "" {
		subject = "(" + t.Subject + ")"
	}
	return fmt.Sprintf("%s%s %s %g", t.Measure, subject, t.Operator, t.Bound)
}

// period returns the start and the duration of a condition in seconds. The default is the second third of the day.
func (c *Condition) period(load *fleetsim.Load) (start, duration float64) {
	if c.ForSeconds > 0 {
		return c.AtSeconds, c.ForSeconds
	}
	return load.Seconds / 3, load.Seconds / 3
}

// apply returns copies of the descriptions with the clause's conditions added.
func (c *Clause) apply(fleet fleetsim.Fleet, load fleetsim.Load) (*fleetsim.Fleet, *fleetsim.Load) {
	fleet.Faults, load.Bursts = slices.Clone(fleet.Faults), slices.Clone(load.Bursts)
	load.Factor = cmp.Or(load.Factor, 1)
	for _, condition := range c.Conditions {
		start, duration := condition.period(&load)
		switch {
		case condition.LostZone != "":
			fleet.Faults = append(fleet.Faults, fleetsim.Fault{Type: "zone_lost", Zone: condition.LostZone, StartSeconds: start, DurationSeconds: duration})
		case condition.DeadPercent > 0:
			fleet.Faults = append(fleet.Faults, fleetsim.Fault{Type: "deaths", Fraction: condition.DeadPercent / 100, StartSeconds: start, DurationSeconds: duration})
		case condition.SharedPercent > 0:
			fleet.Faults = append(fleet.Faults, fleetsim.Fault{Type: "shared", Fraction: condition.SharedPercent / 100, Amount: 0.55, OnSeconds: 2.5, OffSeconds: 2.5, StartSeconds: start, DurationSeconds: duration})
		case condition.LoadTarget == "load":
			load.Factor *= condition.Factor
		default:
			load.Bursts = append(load.Bursts, fleetsim.Burst{Tenant: condition.LoadTarget, Factor: condition.Factor, StartSeconds: start, DurationSeconds: duration})
		}
	}
	return &fleet, &load
}

// conditionsText returns the clause's conditions in the syntax of goals, without their times.
func (c *Clause) conditionsText() (text string) {
	for i, condition := range c.Conditions {
		if i > 0 {
			text += " and "
		}
		switch {
		case condition.LostZone != "":
			text += "zone " + condition.LostZone + " lost"
		case condition.DeadPercent > 0:
			text += fmt.Sprintf("%g%% dead", condition.DeadPercent)
		case condition.SharedPercent > 0:
			text += fmt.Sprintf("%g%% shared", condition.SharedPercent)
		default:
			text += fmt.Sprintf("%s times %g", condition.LoadTarget, condition.Factor)
		}
	}
	return text
}
