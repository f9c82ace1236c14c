// The command `plan`: reads descriptions, lets the planner search, prints what
// it found. It must never decide what a fleet needs, and says nothing into a
// pipe but the answer.

package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"gladepick/internal/dispatcher/capture"
	"gladepick/internal/dispatcher/cli"
	"gladepick/internal/dispatcher/config/document"
	"gladepick/internal/dispatcher/fleetsim"
	"gladepick/internal/dispatcher/planner"
	"gladepick/internal/dispatcher/planner/report"
)

// questions are what plan can be asked.
var questions = []string{"breaks", "needs", "zones"}

// answers is all that plan prints; what was not asked or not reached is left out.
type answers struct {
	Goal         string          `json:"goal"`
	Seed         uint64          `json:"seed"`
	Breaks       *planner.Breaks `json:"breaks,omitempty"`
	Needs        *planner.Needs  `json:"needs,omitempty"`
	Zones        []planner.Loss  `json:"zones,omitempty"`
	Fit          *planner.Fit    `json:"fit,omitempty"`
	Extrapolates []string        `json:"extrapolates,omitempty"`
	Days         int             `json:"days"`
	Stopped      bool            `json:"stopped,omitempty"`
}

func planCommand() *cobra.Command {
	var fleet, load, output, page string
	var asked, captures []string
	var times float64
	var o planner.Options
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
		RunE: func(c *cobra.Command, args []string) error {
			for _, q := range asked {
				if !slices.Contains(questions, q) {
					return cli.MisuseErrorf("plan: --ask %s: there are %s", q, strings.Join(questions, ", "))
				}
			}
			if output != "table" && output != "json" {
				return cli.MisuseErrorf("plan: --output %s: there are table and json", output)
			}
			goal, err := planner.ParseGoal(args[0])
			if err != nil {
				return cli.MisuseErrorf("%w", err)
			}
			if load == "" && len(captures) == 0 {
				return cli.MisuseErrorf("plan needs --load, --capture or both")
			}
			f, l, fit, err := describe(fleet, load, captures)
			if err != nil {
				return err
			}
			if l.Times = cmp.Or(l.Times, 1) * times; !(l.Times > 0) {
				return cli.MisuseErrorf("plan: --times %v is not above 0", times)
			}
			p, err := planner.New(f, l, goal, o)
			if err != nil {
				return cli.MisuseErrorf("%w", err)
			}
			a := answers{Goal: args[0], Seed: p.Seed, Fit: fit}
			if fit != nil {
				a.Extrapolates = fit.Extrapolates(l)
			}
			return a.search(c.OutOrStdout(), p, asked, output, page)
		},
	}
	c.Flags().StringVar(&fleet, "fleet", "", "the fleet's description, JSON (gladepick schema fleet)")
	c.Flags().StringVar(&load, "load", "", "the load's description, JSON (gladepick schema load); without it the captures' load")
	c.Flags().StringSliceVar(&captures, "capture", nil, "directories of captures: they fill in what the descriptions leave out")
	c.Flags().Float64Var(&times, "times", 1, "the load, times this")
	c.Flags().StringVar(&page, "report", "", "also write a page with plots, HTML, to this file")
	c.Flags().StringSliceVar(&asked, "ask", questions, "which questions")
	c.Flags().StringVarP(&output, "output", "o", "table", "table or json")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "of all random numbers; the same gives the same answer")
	c.Flags().IntVar(&o.Days, "days", 16, "played for one verdict at most")
	c.Flags().Float64Var(&o.Confidence, "confidence", 0.95, "of intervals and verdicts")
	c.Flags().Float64Var(&o.Most, "most", 16, "times the load or the fleet that are tried at most")
	c.Flags().IntVar(&o.Cores, "cores", 0, "days played at a time; 0 for all cores")
	c.MarkFlagRequired("fleet")
	return c
}

// describe reads the descriptions and fills in from captures what they leave out: of the fleet what it does not say, of
// the load the classes' work and the universities' shares, or all of it.
func describe(fleet, load string, captures []string) (*fleetsim.Fleet, *fleetsim.Load, *planner.Fit, error) {
	f, l := &fleetsim.Fleet{}, &fleetsim.Load{}
	err := document.Read(fleet, "fleet", f)
	if load != "" {
		err = errors.Join(err, document.Read(load, "load", l))
	}
	if err != nil || len(captures) == 0 {
		return f, l, nil, err
	}
	set, err := capture.Read(captures...)
	if err != nil {
		return nil, nil, nil, err
	}
	fit, err := planner.FitCapture(set, f)
	if err != nil {
		return nil, nil, nil, err
	}
	if load == "" {
		l = fit.Load
	} else {
		if len(l.Classes) == 0 {
			l.Classes = fit.Load.Classes
		}
		if len(l.Universities) == 0 {
			l.Universities = fit.Load.Universities
		}
		if l.Retries == (fleetsim.Retries{}) {
			l.Retries = fit.Load.Retries
		}
	}
	return fit.Fill(f), l, fit, nil
}

// search asks the questions in turn. Ctrl-C ends the search, and what is known by then is printed.
func (a *answers) search(out io.Writer, p *planner.Planner, asked []string, output, page string) error {
	ctx, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	p.Stop = func() bool { return ctx.Err() != nil }
	if term.IsTerminal(int(os.Stderr.Fd())) {
		bar := progressbar.NewOptions(-1, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionShowCount(), progressbar.OptionSetItsString("days"),
			progressbar.OptionShowIts(), progressbar.OptionThrottle(100*time.Millisecond), progressbar.OptionClearOnFinish())
		p.Played = func(n int) { bar.Add(n) }
		p.Note = func(format string, v ...any) { bar.Describe(fmt.Sprintf(format, v...)) }
		defer bar.Finish()
	}
	var err error
	for _, q := range asked {
		if err != nil {
			break
		}
		switch q {
		case "breaks":
			a.Breaks, err = p.Breaks()
		case "needs":
			a.Needs, err = p.Needs()
		case "zones":
			a.Zones, err = p.Losses()
		}
	}
	if a.Days = p.DaysPlayed(); err == nil || errors.Is(err, planner.ErrStopped) {
		a.Stopped = err != nil
		text := a.table(p.Fleet)
		if output == "json" {
			enc := json.NewEncoder(out)
			enc.SetIndent("", "  ")
			err = errors.Join(err, enc.Encode(a))
		} else {
			io.WriteString(out, text)
		}
		if page != "" {
			err = errors.Join(err, report.Write(page, report.Page{Goal: a.Goal, Text: text, Needs: a.Needs, Zones: a.Zones}))
		}
	}
	if err == nil && a.Needs != nil && !a.Needs.Reached {
		return &cli.ExitError{Code: cli.ExitGoalMissed, Err: errors.New("no number of workers that was tried holds the goal")}
	}
	return err
}

// table is what a person reads first.
func (a *answers) table(f *fleetsim.Fleet) string {
	var out strings.Builder
	w := tabwriter.NewWriter(&out, 0, 8, 2, ' ', 0)
	say := func(format string, v ...any) { fmt.Fprintf(w, format+"\n", v...) }
	findings := func(all []planner.Finding) {
		for _, x := range all {
			holds := map[bool]string{true: "holds", false: "FAILS"}[x.Holds]
			with := ""
			if x.With != "" {
				with = " with " + x.With
			}
			say("  %s%s\t%v\t%s\t%d days", x.Test, with, x.Value, holds, x.Value.Days)
		}
	}
	say("goal: %s", a.Goal)
	if a.Fit != nil {
		say("\nWHAT THE CAPTURES TELL")
		for _, x := range a.Fit.Figures {
			reach := ""
			if x.Reach >= 0 {
				reach = fmt.Sprintf("± %.3g", x.Reach)
			}
			say("  %s\t%.4g\t%s\t%d rows", x.Name, x.Value, reach, x.Rows)
		}
		for _, w := range append(slices.Clone(a.Fit.Warnings), a.Extrapolates...) {
			say("  mind: %s", w)
		}
	}
	if b := a.Breaks; b != nil {
		say("\nWHAT BREAKS FIRST")
		findings(b.Now)
		switch {
		case b.BreaksAt == 0:
			say("  the goal holds up to %.2f times the load, the most that was tried", b.HoldsAt)
		case b.HoldsAt == 0:
			say("  the goal holds at no load that was tried")
		default:
			say("  the goal holds up to %.2f times the load and breaks at %.2f", b.HoldsAt, b.BreaksAt)
		}
		if b.First != "" {
			say("  first to break: %s", b.First)
			for _, r := range b.Reliefs[:min(4, len(b.Reliefs))] {
				say("    lifted: %s\tworst test %+.3f\tgain %+.3f", r.Resource, r.Slack, r.Gain)
			}
			for _, k := range b.Busy {
				say("    %s", k)
			}
		}
	}
	if n := a.Needs; n != nil {
		say("\nHOW MANY WORKERS")
		if n.Reached {
			say("  %d workers at a cost of %.4g (now %.4g), %d fleets looked at", n.Count, n.Cost, n.CostNow, n.Fleets)
			for _, g := range n.Workers {
				say("    %s\t%s\t%d", g.Zone, g.Kind, g.Count)
			}
			findings(n.Findings)
			if len(n.Limits) > 0 {
				say("  least limits that hold it: open jobs %d, worker connections %d, attempts %d", n.Limits["open_jobs"], n.Limits["worker_connections"], n.Limits["attempts"])
			}
		} else {
			say("  no number that was tried holds the goal:")
			findings(n.Findings)
			for _, r := range n.Why[:min(4, len(n.Why))] {
				say("    lifted: %s\tworst test %+.3f\tgain %+.3f", r.Resource, r.Slack, r.Gain)
			}
		}
	}
	if len(a.Zones) > 0 {
		say("\nWHAT LOSING A ZONE COSTS, share of the worth asked")
		say("  zone\tspares\tday\tduring\t10 s after\t%s\tworst university", strings.Join(classNames(f), "\t"))
		for _, z := range a.Zones {
			worst := 0
			for i := range z.Universities {
				if z.Universities[i].Mean > z.Universities[worst].Mean {
					worst = i
				}
			}
			var classes []string
			for _, c := range z.Classes {
				classes = append(classes, c.String())
			}
			say("  %s\t%v\t%v\t%v\t%v\t%s\t%s %v", z.Zone, z.Spares, z.Worth, z.During, z.After, strings.Join(classes, "\t"), f.Universities[worst].Name, z.Universities[worst])
		}
	}
	say("\n%d days played, seed %d", a.Days, a.Seed)
	if a.Stopped {
		say("stopped early: what stands here is what was known by then")
	}
	w.Flush()
	return out.String()
}

func classNames(f *fleetsim.Fleet) (out []string) {
	for _, c := range f.Classes {
		out = append(out, c.Name)
	}
	return out
}
