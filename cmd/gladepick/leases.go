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
	"gladepick/internal/dispatcher/cli"
	"gladepick/internal/dispatcher/lease"
)

func leasesCommand() *cobra.Command {
	c := question(&cobra.Command{
		Use:   "leases [NAME...]",
		Short: "Show what the instances keep for others",
		Long: `Shows what each named instance of the agent (all of them without names) has of the jobs
that are taken for keeps: whether it may promise, its groups with their copies and how far each
is behind, and how often jobs were joined, taken over, fenced. With --key one promise is shown,
as far as the instance has a copy of it, with --open those that have no outcome yet. With --from
a dispatcher is asked straight at the address where it takes jobs.`,
		Example: "  gladepick leases n0\n  gladepick leases --from 127.0.0.1:5000 --key enrol/5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
	})
	from := c.Flags().String("from", "", "ask the dispatcher that listens there, not the agent")
	output := c.Flags().String("output", "table", "table or json, a line each")
	key := c.Flags().String("key", "", "show this promise: CLASS/KEY")
	open := c.Flags().Bool("open", false, "show those without an outcome, a hundred at most")
	watch := c.Flags().Bool("watch", false, "go on, once a second, until interrupted")
	c.RunE = func(c *cobra.Command, names []string) error {
		switch {
		case *output != "table" && *output != "json":
			return cli.MisuseErrorf("--output %s: table or json is right", *output)
		case *from != "" && len(names) > 0:
			return cli.MisuseErrorf("--from asks one dispatcher: no names go with it")
		case *key != "" && *open:
			return cli.MisuseErrorf("--key shows one promise: --open does not go with it")
		case *key != "" && !strings.Contains(*key, "/"):
			return cli.MisuseErrorf("--key %s: CLASS/KEY is right", *key)
		}
		want := *key
		if *open {
			want = "*"
		}
		return again(*watch, func(ctx context.Context) error {
			return showLeases(ctx, c.OutOrStdout(), c.Flag("agent").Value.String(), *from, names, want, *output == "json")
		})
	}
	return c
}

func showLeases(ctx context.Context, out io.Writer, address, from string, names []string, key string, raw bool) (err error) {
	if address, names, err = asked(ctx, address, from, names); err != nil {
		return err
	}
	for _, name := range names {
		text, err := agent.Query(ctx, address, "/leases", name, key)
		var s lease.Status
		if err == nil {
			err = json.Unmarshal(text, &s)
		}
		if err != nil {
			return fmt.Errorf("leases %s at %s: %w", name, address, err)
		}
		if raw {
			fmt.Fprintf(out, "%s\n", text)
			continue
		}
		w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
		if key != "" {
			fmt.Fprintln(w, "KEY\tGROUP\tSTATE\tOWNER\tEPOCH\tSENDS\tFIRST SENT\tUNTIL\tOUTCOME")
			for _, r := range s.Records {
				outcome := ""
				if r.State == "ended" {
					outcome = "failed"
					if r.Served {
						outcome = "served"
					}
				}
				fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", r.Key, r.Group, r.State, r.Owner, r.Epoch, r.Attempt, moment(r.First), moment(r.Deadline), outcome)
			}
			if len(s.Records) == 0 {
				fmt.Fprintf(w, "%s has no copy of such\n", s.Name)
			}
		} else {
			fmt.Fprintf(out, "%s may promise: %s, charter %s, %d open here, %d kept in its copies, %d of its groups lack a copy\n", s.Name, yes(s.Ready), s.Charter, s.Open, s.Kept, s.Lost)
			fmt.Fprintln(w, "GROUP\tLEADER\tTERM\tENTRIES\tCOPIES\tBEHIND\tLOST")
			for _, g := range s.Groups {
				places := make([]string, len(g.Replicas))
				for i, p := range g.Replicas {
					places[i], _, _ = strings.Cut(p, ".")
				}
				fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%s\t%s\t%d\n", g.Group, g.Leader, g.Term, g.Index, strings.Join(places, " "), strings.Trim(fmt.Sprint(g.Behind), "[]"), g.Lost)
			}
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// moment words Unix milliseconds.
func moment(ms int64) string {
	if ms == 0 {
		return "never"
	}
	return time.UnixMilli(ms).UTC().Format("15:04:05.000")
}
