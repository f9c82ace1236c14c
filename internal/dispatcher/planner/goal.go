// Package planner answers what breaks first, how many workers a goal needs, and
// what losing a zone costs, by playing days of the model. This file is the
// language in which goals are written. The package must never do I/O or read a
// clock; what it finds hangs on the descriptions and the seed alone, not on
// how many cores it is given.
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

// Goal is what a fleet must reach: every clause of it.
type Goal struct {
	Clauses []*Clause `parser:"@@ (';' @@)*"`
}

// Clause is tests on days with certain troubles, or on days without.
type Clause struct {
	Tests []*Test      `parser:"@@ ('and' @@)*"`
	With  []*Condition `parser:"('with' @@ ('and' @@)*)?"`
}

// Test holds a measure against a bound.
type Test struct {
	Pos     lexer.Position
	Measure string  `parser:"@Ident"`
	Of      string  `parser:"('(' @Ident ')')?"`
	Op      string  `parser:"@('>=' | '<=')"`
	Value   float64 `parser:"@Number"`
	Percent bool    `parser:"@'%'?"`
}

// Condition is a trouble or a load that a clause's days have.
type Condition struct {
	Pos    lexer.Position
	Zone   string  `parser:"(  'zone' @Ident 'lost'"`
	Dead   float64 `parser:" | @Number '%' 'dead'"`
	Shared float64 `parser:" | @Number '%' 'shared'"`
	Who    string  `parser:" | @Ident 'times'"`
	Times  float64 `parser:"   @Number )"`
	At     float64 `parser:"('at' @Number"`
	For    float64 `parser:" 'for' @Number)?"`
}

var (
	words = lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Ident", Pattern: `[A-Za-z_][A-Za-z0-9_.-]*`},
		{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?`},
		{Name: "Op", Pattern: `>=|<=`},
		{Name: "Mark", Pattern: `[()%;]`},
		{Name: "space", Pattern: `\s+`},
	})
	grammar = participle.MustBuild[Goal](participle.Lexer(words), participle.UseLookahead(2))
)

// measures are what can be tested, and whether a class or university may be named.
var measures = map[string]bool{"service": true, "late": true, "lost": true, "in_time": true, "score": false, "worst10": false}

// ParseGoal reads a goal. Errors give the column.
func ParseGoal(text string) (*Goal, error) {
	g, err := grammar.ParseString("goal", text)
	if err != nil {
		var at participle.Error
		if errors.As(err, &at) {
			return nil, fault(at.Position(), "%s", at.Message())
		}
		return nil, err
	}
	for _, c := range g.Clauses {
		for _, t := range c.Tests {
			of, ok := measures[t.Measure]
			switch {
			case !ok:
				return nil, fault(t.Pos, "%q is no measure; there are service, late, lost, in_time, score and worst10", t.Measure)
			case !of && t.Of != "":
				return nil, fault(t.Pos, "%s is of the whole day, not of %s", t.Measure, t.Of)
			}
			if t.Percent {
				t.Value /= 100
			}
			if t.Value > 1 {
				return nil, fault(t.Pos, "%v is more than all", t.Value)
			}
		}
	}
	return g, nil
}

func fault(at lexer.Position, format string, v ...any) error {
	return fmt.Errorf("goal, line %d, column %d: %s", at.Line, at.Column, fmt.Sprintf(format, v...))
}

// Check holds a goal's names against a fleet.
func (g *Goal) Check(f *fleetsim.Fleet) error {
	for _, c := range g.Clauses {
		for _, t := range c.Tests {
			if t.Of != "" && classOf(f, t.Of) < 0 && universityOf(f, t.Of) < 0 {
				return fault(t.Pos, "%q is neither a class nor a university of the fleet", t.Of)
			}
		}
		for _, w := range c.With {
			switch {
			case w.Zone != "" && !slices.Contains(f.Zones, w.Zone):
				return fault(w.Pos, "there is no zone %q; there are %s", w.Zone, strings.Join(f.Zones, ", "))
			case w.Who != "" && w.Who != "load" && universityOf(f, w.Who) < 0:
				return fault(w.Pos, "%q is neither load nor a university of the fleet", w.Who)
			case w.Dead > 100 || w.Shared > 100:
				return fault(w.Pos, "more than all workers")
			}
		}
	}
	return nil
}

func classOf(f *fleetsim.Fleet, name string) int {
	return slices.IndexFunc(f.Classes, func(c fleetsim.Class) bool { return c.Name == name })
}

func universityOf(f *fleetsim.Fleet, name string) int {
	return slices.IndexFunc(f.Universities, func(u fleetsim.University) bool { return u.Name == name })
}

// of measures a day. Of a day without such jobs every measure is perfect.
func (t *Test) of(f *fleetsim.Fleet, r *fleetsim.Result) float64 {
	tally := &r.Whole
	if i := classOf(f, t.Of); i >= 0 {
		tally = &r.Classes[i]
	} else if i := universityOf(f, t.Of); i >= 0 {
		tally = &r.Universities[i]
	}
	jobs := float64(max(tally.Jobs, 1))
	switch t.Measure {
	case "service":
		return tally.Service()
	case "late":
		return float64(tally.Late) / jobs
	case "lost":
		return float64(tally.Lost) / jobs
	case "in_time":
		if tally.Jobs == 0 {
			return 1
		}
		return float64(tally.InTime) / jobs
	case "worst10":
		return r.Worst10
	}
	return r.Score
}

// slack is how far a day lies on the good side of the bound, below zero if on the bad one.
func (t *Test) slack(f *fleetsim.Fleet, r *fleetsim.Result) float64 {
	if t.Op == ">=" {
		return t.of(f, r) - t.Value
	}
	return t.Value - t.of(f, r)
}

// String returns the goal as it is written on the command line.
func (t *Test) String() string {
	of := ""
	if t.Of != "" {
		of = "(" + t.Of + ")"
	}
	return fmt.Sprintf("%s%s %s %g", t.Measure, of, t.Op, t.Value)
}

// when is the time that a condition lasts: a third of the day, from its first third on, where nothing else is said.
func (c *Condition) when(l *fleetsim.Load) (at, span float64) {
	if c.For > 0 {
		return c.At, c.For
	}
	return l.Seconds / 3, l.Seconds / 3
}

// apply puts a clause's conditions into copies of the descriptions.
func (c *Clause) apply(f fleetsim.Fleet, l fleetsim.Load) (*fleetsim.Fleet, *fleetsim.Load) {
	f.Troubles, l.Bursts = slices.Clone(f.Troubles), slices.Clone(l.Bursts)
	l.Times = cmp.Or(l.Times, 1)
	for _, w := range c.With {
		at, span := w.when(&l)
		switch {
		case w.Zone != "":
			f.Troubles = append(f.Troubles, fleetsim.Trouble{What: "zone_lost", Zone: w.Zone, AtS: at, ForS: span})
		case w.Dead > 0:
			f.Troubles = append(f.Troubles, fleetsim.Trouble{What: "deaths", Part: w.Dead / 100, AtS: at, ForS: span})
		case w.Shared > 0:
			f.Troubles = append(f.Troubles, fleetsim.Trouble{What: "shared", Part: w.Shared / 100, Takes: 0.55, OnS: 2.5, OffS: 2.5, AtS: at, ForS: span})
		case w.Who == "load":
			l.Times *= w.Times
		default:
			l.Bursts = append(l.Bursts, fleetsim.Burst{University: w.Who, Times: w.Times, AtS: at, ForS: span})
		}
	}
	return &f, &l
}
