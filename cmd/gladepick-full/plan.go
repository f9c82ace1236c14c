package main

import (
	"cmp"
	"errors"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"gladepick/internal/dispatcher/capture"
	"gladepick/internal/dispatcher/cli"
	"gladepick/internal/dispatcher/config/document"
	"gladepick/internal/dispatcher/fleetsim"
	"gladepick/internal/dispatcher/planner"
)

// The values of the flag --ask.
const (
	askBreaks = "breaks"
	askNeeds  = "needs"
	askZones  = "zones"
)

var questions = []string{askBreaks, askNeeds, askZones}

// planFlags holds the flags of the command plan.
type planFlags struct {
	fleet    string   // file
	load     string   // file; empty to take the load from the captures
	captures []string // directories
	times    float64  // factor by which the load is multiplied
	page     string   // HTML file to write; empty for none
	ask      []string // a subset of questions
	output   string   // table or json
	options  planner.Options
}

func planCommand() *cobra.Command {
	var f planFlags
	c := &cobra.Command{
		Use:   "plan GOAL",
		Short: "Answer what breaks first, how many workers a goal needs, and what losing a zone costs",
		Long: `plan plays days of a described fleet and load round the real decision module.

A goal is tests joined by "and", perhaps with troubles behind "with"; several such
clauses are separated by ";". Measures: service, late, lost, in_time of the whole
day or, in brackets, of a class or university; score and worst10 of the whole day.

  service >= 0.95 and late(enrol) <= 2%
  service >= 0.9 and service(univ-gaspesie) >= 0.9 with zone montreal lost
  score >= 0.85 with univ-laurentie times 5 at 20 for 20 and 25% dead

Ends with 3 where no number of workers tried holds the goal.`,
		Example: `  gladepick plan --fleet deploy/fleet.json --load deploy/load.json 'service >= 0.95 and late(enrol) <= 5%'`,
		Args:    cli.ExactArgs(1, "one goal, in quotes"),
		RunE:    func(c *cobra.Command, args []string) error { return f.run(c.OutOrStdout(), args[0]) },
	}
	f.addTo(c)
	return c
}

// addTo adds the flags to c.
func (f *planFlags) addTo(c *cobra.Command) {
	flags := c.Flags()
	flags.StringVar(&f.fleet, "fleet", "", "the fleet's description, JSON (gladepick schema fleet)")
	flags.StringVar(&f.load, "load", "", "the load's description, JSON (gladepick schema load); without it the captures' load")
	flags.StringSliceVar(&f.captures, "capture", nil, "directories of captures: they fill in what the descriptions leave out")
	flags.Float64Var(&f.times, "times", 1, "the load, times this")
	flags.StringVar(&f.page, "report", "", "also write a page with plots, HTML, to this file")
	flags.StringSliceVar(&f.ask, "ask", questions, "which questions")
	flags.StringVarP(&f.output, "output", "o", "table", "table or json")
	flags.Uint64Var(&f.options.Seed, "seed", 1, "of all random numbers; the same gives the same answer")
	flags.IntVar(&f.options.MaxDays, "days", 16, "played for one verdict at most")
	flags.Float64Var(&f.options.Confidence, "confidence", 0.95, "of intervals and verdicts")
	flags.Float64Var(&f.options.MaxFactor, "most", 16, "times the load or the fleet that are tried at most")
	flags.IntVar(&f.options.Parallelism, "cores", 0, "days played at a time; 0 for all cores")
	c.MarkFlagRequired("fleet")
}

// check returns a misuse error if --ask or --output has an unknown value.
func (f *planFlags) check() error {
	for _, q := range f.ask {
		if !slices.Contains(questions, q) {
			return cli.MisuseErrorf("plan: --ask %s: there are %s", q, strings.Join(questions, ", "))
		}
	}
	if f.output != "table" && f.output != "json" {
		return cli.MisuseErrorf("plan: --output %s: there are table and json", f.output)
	}
	return nil
}

// run reads the descriptions, runs the planner for the questions in --ask and prints the answers.
func (f *planFlags) run(out io.Writer, goalText string) error {
	if err := f.check(); err != nil {
		return err
	}
	goal, err := planner.ParseGoal(goalText)
	if err != nil {
		return cli.MisuseErrorf("%w", err)
	}
	if f.load == "" && len(f.captures) == 0 {
		return cli.MisuseErrorf("plan needs --load, --capture or both")
	}
	fleet, load, fit, err := f.readDescriptions()
	if err != nil {
		return err
	}
	load.Factor = cmp.Or(load.Factor, 1) * f.times
	if !(load.Factor > 0) {
		return cli.MisuseErrorf("plan: --times %v is not above 0", f.times)
	}
	p, err := planner.New(fleet, load, goal, f.options)
	if err != nil {
		return cli.MisuseErrorf("%w", err)
	}
	a := answers{Goal: goalText, Seed: p.Seed, Fit: fit}
	if fit != nil {
		a.Extrapolates = fit.Extrapolations(load)
	}
	return a.search(out, p, f)
}

// readDescriptions reads the descriptions of the fleet and the load, and fills in from the captures what they omit: the
// missing figures of the fleet, and the classes, tenants and retries of the load. Without --load, the whole load comes
// from the captures. Without captures, the returned fit is nil.
func (f *planFlags) readDescriptions() (*fleetsim.Fleet, *fleetsim.Load, *planner.Fit, error) {
	fleet, load := &fleetsim.Fleet{}, &fleetsim.Load{}
	err := document.Read(f.fleet, "fleet", fleet)
	if f.load != "" {
		err = errors.Join(err, document.Read(f.load, "load", load))
	}
	if err != nil || len(f.captures) == 0 {
		return fleet, load, nil, err
	}
	set, err := capture.Read(f.captures...)
	if err != nil {
		return nil, nil, nil, err
	}
	fit, err := planner.FitCapture(set, fleet)
	if err != nil {
		return nil, nil, nil, err
	}
	if f.load == "" {
		return fit.FillFleet(fleet), fit.Load, fit, nil
	}
	if len(load.Classes) == 0 {
		load.Classes = fit.Load.Classes
	}
	if len(load.Tenants) == 0 {
		load.Tenants = fit.Load.Tenants
	}
	if load.Retries == (fleetsim.Retries{}) {
		load.Retries = fit.Load.Retries
	}
	return fit.FillFleet(fleet), load, fit, nil
}
