package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"gladepick/internal/dispatcher/agent"
	"gladepick/internal/dispatcher/cli"
	"gladepick/internal/dispatcher/config"
)

const (
	// completionTimeout bounds the completion of instances' names.
	completionTimeout = time.Second
	// watchInterval is between two answers of a command that goes on.
	watchInterval = time.Second
)

// queryCommand makes a command ask the agent what its name says, for the instances that are its arguments.
func queryCommand(c *cobra.Command) *cobra.Command {
	address := c.Flags().String("agent", config.DefaultControl, "where the agent listens for questions")
	c.RunE = func(c *cobra.Command, names []string) error {
		return agent.Command(context.Background(), c.OutOrStdout(), *address, c.Name(), names)
	}
	c.ValidArgsFunction = func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		ctx, cancel := context.WithTimeout(context.Background(), completionTimeout)
		defer cancel()
		names, err := agent.InstanceNames(ctx, *address)
		if err != nil {
			return nil, cobra.ShellCompDirectiveError
		}
		return names, cobra.ShellCompDirectiveNoFileComp
	}
	return c
}

// statusQuery is what the commands have in common that show what dispatchers tell of themselves.
type statusQuery struct {
	from   *string // the dispatcher to ask straight; empty: the agent's instances
	output *string // table or json
	watch  *bool
}

// addFlags adds the flags of a status query to a command.
func (q *statusQuery) addFlags(c *cobra.Command) {
	q.from = c.Flags().String("from", "", "ask the dispatcher that listens there, not the agent")
	q.output = c.Flags().String("output", "table", "table or json, a line each")
	q.watch = c.Flags().Bool("watch", false, "go on, once a second, until interrupted")
}

// check checks the flags against each other.
func (q *statusQuery) check(names []string) error {
	switch {
	case *q.output != "table" && *q.output != "json":
		return cli.MisuseErrorf("--output %s: table or json is right", *q.output)
	case *q.from != "" && len(names) > 0:
		return cli.MisuseErrorf("--from asks one dispatcher: no names go with it")
	}
	return nil
}

// repeat does something once, or with --watch once in watchInterval until it is interrupted.
func (q *statusQuery) repeat(do func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for {
		if err := do(ctx); err != nil || !*q.watch {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchInterval):
		}
	}
}

// targets returns whom the query goes to: one dispatcher straight, under no name, or the agent at an address, for the
// instances that are named or for all.
func (q *statusQuery) targets(ctx context.Context, address string, names []string) (string, []string, error) {
	if *q.from != "" {
		return *q.from, []string{""}, nil
	}
	if len(names) > 0 {
		return address, names, nil
	}
	names, err := agent.InstanceNames(ctx, address)
	if err != nil {
		err = fmt.Errorf("the agent at %s: %w", address, err)
	}
	return address, names, err
}

// yesNo writes a flag for people.
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
