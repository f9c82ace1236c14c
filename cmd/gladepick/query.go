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
	// completionTimeout bounds how long the shell completion waits for the agent's list of instances.
	completionTimeout = time.Second
	// watchInterval is the pause between two outputs of a command with --watch.
	watchInterval = time.Second
)

// queryCommand makes c send the agent a request named after the command, for the instances in its arguments. It also
// adds the flag --agent and completes instance names.
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

// statusQuery holds the flags shared by the commands that show the status of dispatchers.
type statusQuery struct {
	from   *string // address of a dispatcher to query directly; empty for the agent's instances
	output *string // table or json
	watch  *bool   // repeat every watchInterval
}

// addFlags adds the flags of a status query to c.
func (q *statusQuery) addFlags(c *cobra.Command) {
	q.from = c.Flags().String("from", "", "ask the dispatcher that listens there, not the agent")
	q.output = c.Flags().String("output", "table", "table or json, a line each")
	q.watch = c.Flags().Bool("watch", false, "go on, once a second, until interrupted")
}

// check returns a misuse error if the flags are invalid or contradict the instance names.
func (q *statusQuery) check(names []string) error {
	switch {
	case *q.output != "table" && *q.output != "json":
		return cli.MisuseErrorf("--output %s: table or json is right", *q.output)
	case *q.from != "" && len(names) > 0:
		return cli.MisuseErrorf("--from asks one dispatcher: no names go with it")
	}
	return nil
}

// repeat calls query once, or with --watch every watchInterval until query fails or the process is interrupted.
func (q *statusQuery) repeat(query func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for {
		if err := query(ctx); err != nil || !*q.watch {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchInterval):
		}
	}
}

// targets returns the address to query and the instances to ask it for. With --from, that is the dispatcher itself
// under the empty name. Otherwise it is the agent at agentAddress, with the named instances, or all if names is empty.
func (q *statusQuery) targets(ctx context.Context, agentAddress string, names []string) (string, []string, error) {
	if *q.from != "" {
		return *q.from, []string{""}, nil
	}
	if len(names) > 0 {
		return agentAddress, names, nil
	}
	names, err := agent.InstanceNames(ctx, agentAddress)
	if err != nil {
		err = fmt.Errorf("the agent at %s: %w", agentAddress, err)
	}
	return agentAddress, names, err
}

// yesNo formats a boolean as "yes" or "no".
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
