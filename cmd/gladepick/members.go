package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"gladepick/internal/dispatcher/agent"
	"gladepick/internal/dispatcher/cli"
	"gladepick/internal/dispatcher/membership/transport"
)

func membersCommand() *cobra.Command {
	c := question(&cobra.Command{
		Use:   "members [NAME...]",
		Short: "Show which dispatchers the instances know of",
		Long: `Shows what each named instance of the agent (all of them without names) knows of the
other dispatchers: state and since when, life, zone, whether it is in the view, who accuses
it. With --from a dispatcher is asked straight at the address where it takes jobs.`,
		Example: "  gladepick members n0\n  gladepick members --from 127.0.0.1:5000 --output json",
	})
	from := c.Flags().String("from", "", "ask the dispatcher that listens there, not the agent")
	output := c.Flags().String("output", "table", "table or json, a line each")
	watch := c.Flags().Bool("watch", false, "go on, once a second, until interrupted")
	c.RunE = func(c *cobra.Command, names []string) error {
		address := c.Flag("agent").Value.String()
		switch {
		case *output != "table" && *output != "json":
			return cli.MisuseErrorf("--output %s: table or json is right", *output)
		case *from != "" && len(names) > 0:
			return cli.MisuseErrorf("--from asks one dispatcher: no names go with it")
		}
		return again(*watch, func(ctx context.Context) error {
			return showMembers(ctx, c.OutOrStdout(), address, *from, names, *output == "json")
		})
	}
	return c
}

func showMembers(ctx context.Context, out io.Writer, address, from string, names []string, raw bool) (err error) {
	if address, names, err = asked(ctx, address, from, names); err != nil {
		return err
	}
	for _, name := range names {
		text, err := agent.Query(ctx, address, "/members", name, "")
		if err != nil {
			return fmt.Errorf("members %s at %s: %w", name, address, err)
		}
		if raw {
			fmt.Fprintf(out, "%s\n", text)
			continue
		}
		var s transport.Status
		if err := json.Unmarshal(text, &s); err != nil {
			return fmt.Errorf("members %s at %s: %w", name, address, err)
		}
		fmt.Fprintf(out, "%s sees view %s of %d members, quorum %s, own health %d\n", s.Name, s.View, s.Size, yes(s.Quorum), s.Health)
		w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
		fmt.Fprintln(w, "MEMBER\tZONE\tSTATE\tSINCE\tIN VIEW\tLIFE\tADDRESS\tACCUSED BY")
		for _, m := range s.Members {
			state := m.State
			if m.Draining {
				state += ", draining"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", m.Name, m.Zone, state, time.Duration(m.SinceSeconds*1e9).Round(100*time.Millisecond),
				yes(m.InView), m.Incarnation, m.Address, strings.Join(m.SuspectedBy, " "))
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// again does something once, or once a second until it is interrupted.
func again(watch bool, do func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for {
		if err := do(ctx); err != nil || !watch {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Second):
		}
	}
}

// asked is whom a question goes to: the agent, for the instances that are named or for all, or one dispatcher straight.
func asked(ctx context.Context, address, from string, names []string) (string, []string, error) {
	if from != "" {
		return from, []string{""}, nil
	} else if len(names) > 0 {
		return address, names, nil
	}
	names, err := agent.InstanceNames(ctx, address)
	if err != nil {
		err = fmt.Errorf("the agent at %s: %w", address, err)
	}
	return address, names, err
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
