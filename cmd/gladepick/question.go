// What the commands that ask an agent share: the flag with its address, the
// question, and completion of instances' names.

package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"gladepick/internal/dispatcher/agent"
	"gladepick/internal/dispatcher/config"
)

// question makes a command ask the agent what its name says.
func question(c *cobra.Command) *cobra.Command {
	address := c.Flags().String("agent", config.DefaultControl, "where the agent listens for questions")
	c.RunE = func(c *cobra.Command, names []string) error {
		return agent.Command(context.Background(), c.OutOrStdout(), *address, c.Name(), names)
	}
	c.ValidArgsFunction = func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		names, err := agent.InstanceNames(ctx, *address)
		if err != nil {
			return nil, cobra.ShellCompDirectiveError
		}
		return names, cobra.ShellCompDirectiveNoFileComp
	}
	return c
}
