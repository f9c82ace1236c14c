package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"gladepick/internal/dispatcher/cli"
	"gladepick/internal/dispatcher/planner"
	"gladepick/internal/dispatcher/planner/report"
)

// progressInterval is between two updates of the progress bar.
const progressInterval = 100 * time.Millisecond

// answers is all that plan prints; what was not asked or not reached is left out.
type answers struct {
	Goal         string                 `json:"goal"`
	Seed         uint64                 `json:"seed"`
	Breaks       *planner.BreakingPoint `json:"breaks,omitempty"`
	Needs        *planner.Sizing        `json:"needs,omitempty"`
	Zones        []planner.ZoneLoss     `json:"zones,omitempty"`
	Fit          *planner.Fit           `json:"fit,omitempty"`
	Extrapolates []string               `json:"extrapolates,omitempty"`
	Days         int                    `json:"days"`
	Stopped      bool                   `json:"stopped,omitempty"`
}

// search asks the questions in turn. Ctrl-C ends the search, and what is known by then is printed.
func (a *answers) search(out io.Writer, p *planner.Planner, f *planFlags) error {
	ctx, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	p.Stop = func() bool { return ctx.Err() != nil }
	if term.IsTerminal(int(os.Stderr.Fd())) {
		defer showProgress(p)()
	}
	err := a.ask(p, f.ask)
	a.Days = p.DaysSimulated()
	if err == nil || errors.Is(err, planner.ErrStopped) {
		a.Stopped = err != nil
		err = errors.Join(err, a.print(out, p, f))
	}
	if err == nil && a.Needs != nil && !a.Needs.Reached {
		return &cli.ExitError{Code: cli.ExitGoalMissed, Err: errors.New("no number of workers that was tried holds the goal")}
	}
	return err
}

// ask asks the questions until one fails.
func (a *answers) ask(p *planner.Planner, questions []string) (err error) {
	for _, q := range questions {
		switch q {
		case askBreaks:
			a.Breaks, err = p.FindBreakingPoint()
		case askNeeds:
			a.Needs, err = p.FindSizing()
		case askZones:
			a.Zones, err = p.ZoneLosses()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// showProgress shows on standard error how far the search is; the function that it returns ends that.
func showProgress(p *planner.Planner) func() error {
	bar := progressbar.NewOptions(-1,
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionShowCount(),
		progressbar.OptionSetItsString("days"),
		progressbar.OptionShowIts(),
		progressbar.OptionThrottle(progressInterval),
		progressbar.OptionClearOnFinish(),
	)
	p.OnDaySimulated = func(n int) { bar.Add(n) }
	p.OnProgress = func(format string, v ...any) { bar.Describe(fmt.Sprintf(format, v...)) }
	return bar.Finish
}

// print prints the answers, and writes the page where one is asked for.
func (a *answers) print(out io.Writer, p *planner.Planner, f *planFlags) (err error) {
	text := a.table(p.Fleet)
	if f.output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(a)
	} else {
		io.WriteString(out, text)
	}
	if f.page != "" {
		err = errors.Join(err, report.Write(f.page, report.Page{Goal: a.Goal, Table: text, Sizing: a.Needs, ZoneLosses: a.Zones}))
	}
	return err
}
