package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"gladepick/internal/dispatcher/agent"
	"gladepick/internal/dispatcher/membership/transport"
)

func membersCommand() *cobra.Command {
	c := queryCommand(&cobra.Command{
		Use:   "members [NAME...]",
		Short: "Show which dispatchers the instances know of",
		Long: `Shows what each named instance of the agent (all of them without names) knows of the
other dispatchers: state and since when, life, zone, whether it is in the view, who accuses
it. With --from a dispatcher is asked straight at the address where it takes jobs.`,
		Example: "  gladepick members n0\n  gladepick members --from 127.0.0.1:5000 --output json",
	})
	var q statusQuery
	q.addFlags(c)
	c.RunE = func(c *cobra.Command, names []string) error {
		if err := q.check(names); err != nil {
			return err
		}
		address := c.Flag("agent").Value.String()
		return q.repeat(func(ctx context.Context) error {
			return q.showMembers(ctx, c.OutOrStdout(), address, names)
		})
	}
	return c
}

// showMembers prints the members that each instance knows.
func (q *statusQuery) showMembers(ctx context.Context, out io.Writer, address string, names []string) error {
	address, names, err := q.targets(ctx, address, names)
	if err != nil {
		return err
	}
	for _, name := range names {
		text, err := agent.Query(ctx, address, "/members", name, "")
		if err != nil {
			return fmt.Errorf("members %s at %s: %w", name, address, err)
		}
		if *q.output == "json" {
			fmt.Fprintf(out, "%s\n", text)
			continue
		}
		var status transport.Status
		if err := json.Unmarshal(text, &status); err != nil {
			return fmt.Errorf("members %s at %s: %w", name, address, err)
		}
		if err := printMembers(out, &status); err != nil {
			return err
		}
	}
	return nil
}

// printMembers prints a summary of the instance's view and one line for each member that the instance knows.
func printMembers(out io.Writer, status *transport.Status) error {
	fmt.Fprintf(out, "%s sees view %s of %d members, quorum %s, own health %d\n",
		status.Name, status.View, status.ViewSize, yesNo(status.Quorum), status.Health)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tZONE\tSTATE\tSINCE\tIN VIEW\tLIFE\tADDRESS\tACCUSED BY")
	for _, m := range status.Members {
		state := m.State
		if m.Draining {
			state += ", draining"
		}
		since := time.Duration(m.SinceSeconds * 1e9).Round(100 * time.Millisecond)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n",
			m.Name, m.Zone, state, since, yesNo(m.InView), m.Incarnation, m.Address, strings.Join(m.SuspectedBy, " "))
	}
	return w.Flush()
}
