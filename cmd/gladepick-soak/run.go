package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"gladepick/internal/soak"
)

const (
	// firstNetwork is the second byte of the loopback addresses of the first play; each play at the same time has another.
	firstNetwork = 30
	maxParallel  = 16
	// shownViolations is how many violations of a play are printed.
	shownViolations = 5
)

// outcome is the result of one play.
type outcome struct {
	seed       uint64
	took       time.Duration
	attempts   int
	accepted   int
	runs       int
	faults     int
	violations []soak.Violation
	err        error
}

// session plays the plans of one call of the program.
type session struct {
	arguments arguments
	folder    string

	mutex    sync.Mutex // guards output and outcomes
	output   io.Writer
	outcomes []outcome
}

// run plays all plans and returns the exit code.
func run(ctx context.Context, parsed arguments, output io.Writer) (int, error) {
	s := &session{arguments: parsed, folder: parsed.folder, output: output}
	if s.folder == "" {
		folder, err := os.MkdirTemp("", programName+"-")
		if err != nil {
			return exitNotRun, trace.Wrap(err)
		}
		s.folder = folder
	}
	plans, err := s.plans()
	if err != nil {
		return exitNotRun, trace.Wrap(err)
	}
	s.playAll(ctx, plans)
	s.printTable()
	return s.exitCode(), nil
}

// plans returns the plans of the command line.
func (s *session) plans() ([]*soak.Plan, error) {
	if s.arguments.plan != "" {
		plan, err := soak.ReadPlan(s.arguments.plan)
		return []*soak.Plan{plan}, trace.Wrap(err)
	}
	var plans []*soak.Plan
	for i := range s.arguments.count {
		plans = append(plans, soak.DrawPlan(s.arguments.seed+uint64(i)))
	}
	return plans, nil
}

// playAll plays the plans, several at the same time. Each play at the same time has a network of its own.
func (s *session) playAll(ctx context.Context, plans []*soak.Plan) {
	networks := make(chan int, s.arguments.parallel)
	for i := range s.arguments.parallel {
		networks <- firstNetwork + i
	}
	var plays errgroup.Group
	for _, plan := range plans {
		network := <-networks
		if ctx.Err() != nil {
			break
		}
		plays.Go(func() error {
			s.add(s.playAndShrink(ctx, plan, network))
			networks <- network
			return nil
		})
	}
	_ = plays.Wait() // the functions return no errors
}

// playAndShrink plays a plan and, if it breaks a rule, looks for a smaller one that does too.
func (s *session) playAndShrink(ctx context.Context, plan *soak.Plan, network int) outcome {
	result := s.play(ctx, plan, network, fmt.Sprintf("seed-%d", plan.Seed))
	if len(result.violations) == 0 || s.arguments.shrink == 0 {
		return result
	}
	number := 0
	smallest := soak.Shrink(plan, s.arguments.shrink, func(smaller *soak.Plan) bool {
		number++
		return len(s.play(ctx, smaller, network, fmt.Sprintf("seed-%d-smaller-%d", plan.Seed, number)).violations) > 0
	})
	path := filepath.Join(s.folder, fmt.Sprintf("seed-%d-smallest.json", plan.Seed))
	if err := smallest.Write(path); err != nil {
		s.print("seed %d: %v", plan.Seed, err)
		return result
	}
	s.print("seed %d: %d bursts and %d troubles break a rule too: %s", plan.Seed, len(smallest.Bursts), len(smallest.Troubles), path)
	return result
}

// play plays a plan once, in a folder of its own, and judges it.
func (s *session) play(ctx context.Context, plan *soak.Plan, network int, name string) outcome {
	started := time.Now()
	result := outcome{seed: plan.Seed}
	folder := filepath.Join(s.folder, name)
	if result.err = os.MkdirAll(folder, 0o755); result.err != nil {
		return result
	}
	if result.err = plan.Write(filepath.Join(folder, "plan.json")); result.err != nil {
		return result
	}
	history, err := soak.Play(ctx, plan, soak.Options{
		Program: s.arguments.program, Folder: folder, Network: network,
		Report: func(format string, arguments ...any) {
			s.print("%s %7.3f  %s", name, time.Since(started).Seconds(), fmt.Sprintf(format, arguments...))
		},
	})
	result.took, result.err = time.Since(started), err
	if err != nil {
		s.print("%s could not be played: %v", name, err)
		return result
	}
	if result.err = history.Write(filepath.Join(folder, "history.json")); result.err != nil {
		return result
	}
	result.violations = soak.Judge(history)
	result.attempts, result.runs, result.faults = len(history.Attempts), len(history.Runs), len(history.Faults)
	result.accepted = len(history.States)
	s.printViolations(name, history, result.violations)
	return result
}

// printViolations prints the first violations of a play, with the timeline of the first one's message.
func (s *session) printViolations(name string, history *soak.History, violations []soak.Violation) {
	for _, violation := range violations[:min(len(violations), shownViolations)] {
		s.print("%s: %v", name, violation)
	}
	if len(violations) == 0 || violations[0].RequestID == "" {
		return
	}
	for _, event := range soak.Timeline(history, violations[0].RequestID) {
		s.print("%s    %8.3f  %s", name, event.At.Seconds(), event.Text)
	}
}

func (s *session) add(result outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.outcomes = append(s.outcomes, result)
}

// print prints a line of progress.
func (s *session) print(format string, arguments ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fmt.Fprintf(s.output, format+"\n", arguments...)
}

// printTable prints a line for each play.
func (s *session) printTable() {
	table := tabwriter.NewWriter(s.output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SEED\tSECONDS\tTRIES\tACCEPTED\tRUNS\tTROUBLES\tBROKEN")
	for _, each := range s.outcomes {
		broken := fmt.Sprint(len(each.violations))
		if each.err != nil {
			broken = "not played"
		}
		fmt.Fprintf(table, "%d\t%.0f\t%d\t%d\t%d\t%d\t%s\n",
			each.seed, each.took.Seconds(), each.attempts, each.accepted, each.runs, each.faults, broken)
	}
	_ = table.Flush()
	fmt.Fprintln(s.output, "records and logs:", s.folder)
}

// exitCode returns the code for all plays.
func (s *session) exitCode() int {
	code := exitHeld
	for _, each := range s.outcomes {
		switch {
		case len(each.violations) > 0:
			return exitBroken
		case each.err != nil:
			code = exitNotRun
		}
	}
	if len(s.outcomes) == 0 {
		return exitNotRun
	}
	return code
}
