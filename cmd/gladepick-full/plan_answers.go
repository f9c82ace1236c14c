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

// progressInterval is the minimum time between two updates of the progress bar.
const progressInterval = 100 * time.Millisecond

// answers holds the results that plan prints. The results of questions that were not asked, or not reached before the
// search was stopped, are omitted.
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

// search answers the questions of f in turn and prints the answers. SIGINT and SIGTERM stop the search; the answers
// found by then are printed.
func (a *answers) search(out io.Writer, p *planner.Planner, f *planFlags) error {
	ctx, stopSignals := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopSignals()
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

// ask answers the questions in order and returns the first error.
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

// showProgress shows the progress of the search on standard error. The returned function removes the progress bar.
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

// print prints the answers as a table or JSON, and writes the HTML page if --report is set.
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
