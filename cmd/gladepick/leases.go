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

// openKeys is the key that selects all durable jobs without an outcome in a request to /leases.
const openKeys = "*"

func leasesCommand() *cobra.Command {
	c := queryCommand(&cobra.Command{
		Use:   "leases [NAME...]",
		Short: "Show what the instances keep for others",
		Long: `Shows what each named instance of the agent (all of them without names) has of the jobs
that are taken for keeps: whether it may promise, its groups with their copies and how far each
is behind, and how often jobs were joined, taken over, fenced. With --key one promise is shown,
as far as the instance has a copy of it, with --open those that have no outcome yet. With --from
a dispatcher is asked straight at the address where it takes jobs.`,
		Example: "  gladepick leases n0\n  gladepick leases --from 127.0.0.1:5000 --key enrol/5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
	})
	var q statusQuery
	q.addFlags(c)
	key := c.Flags().String("key", "", "show this promise: CLASS/KEY")
	open := c.Flags().Bool("open", false, "show those without an outcome, a hundred at most")
	c.RunE = func(c *cobra.Command, names []string) error {
		if err := q.check(names); err != nil {
			return err
		}
		switch {
		case *key != "" && *open:
			return cli.MisuseErrorf("--key shows one promise: --open does not go with it")
		case *key != "" && !strings.Contains(*key, "/"):
			return cli.MisuseErrorf("--key %s: CLASS/KEY is right", *key)
		}
		selected := *key
		if *open {
			selected = openKeys
		}
		address := c.Flag("agent").Value.String()
		return q.repeat(func(ctx context.Context) error {
			return q.showLeases(ctx, c.OutOrStdout(), address, names, selected)
		})
	}
	return c
}

// showLeases prints for each instance the durable jobs that key selects, or the instance's groups if key is empty.
func (q *statusQuery) showLeases(ctx context.Context, out io.Writer, address string, names []string, key string) error {
	address, names, err := q.targets(ctx, address, names)
	if err != nil {
		return err
	}
	for _, name := range names {
		text, err := agent.Query(ctx, address, "/leases", name, key)
		var status lease.Status
		if err == nil {
			err = json.Unmarshal(text, &status)
		}
		if err != nil {
			return fmt.Errorf("leases %s at %s: %w", name, address, err)
		}
		switch {
		case *q.output == "json":
			fmt.Fprintf(out, "%s\n", text)
		case key != "":
			err = printRecords(out, &status)
		default:
			err = printGroups(out, &status)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// printRecords prints one line for each durable job.
func printRecords(out io.Writer, status *lease.Status) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "KEY\tGROUP\tSTATE\tOWNER\tEPOCH\tSENDS\tFIRST SENT\tUNTIL\tOUTCOME")
	for _, r := range status.Records {
		outcome := ""
		if r.State == "ended" {
			outcome = "failed"
			if r.Served {
				outcome = "served"
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n",
			r.Key, r.Group, r.State, r.Owner, r.Epoch, r.Attempt, clockTime(r.First), clockTime(r.Deadline), outcome)
	}
	if len(status.Records) == 0 {
		fmt.Fprintf(w, "%s has no copy of such\n", status.Name)
	}
	return w.Flush()
}

// printGroups prints a summary of the instance and one line for each group that it has a replica of.
func printGroups(out io.Writer, status *lease.Status) error {
	fmt.Fprintf(out, "%s may promise: %s, charter %s, %d open here, %d kept in its copies, %d of its groups lack a copy\n",
		status.Name, yesNo(status.Ready), status.AssignmentID, status.Open, status.RecordCount, status.Lost)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "GROUP\tLEADER\tTERM\tENTRIES\tCOPIES\tBEHIND\tLOST")
	for _, g := range status.Groups {
		names := make([]string, len(g.Replicas))
		for i, replica := range g.Replicas {
			names[i], _, _ = strings.Cut(replica, ".")
		}
		behind := strings.Trim(fmt.Sprint(g.Behind), "[]")
		fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%s\t%s\t%d\n", g.Group, g.Leader, g.Term, g.Index, strings.Join(names, " "), behind, g.Lost)
	}
	return w.Flush()
}

// clockTime formats Unix milliseconds as a UTC time of day, and 0 as "never".
func clockTime(ms int64) string {
	if ms == 0 {
		return "never"
	}
	return time.UnixMilli(ms).UTC().Format("15:04:05.000")
}
