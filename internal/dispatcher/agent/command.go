package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"text/tabwriter"

	"gladepick/internal/dispatcher/dispatch"
)

// Command runs a command line's command against the agent at an address, and prints the result to out. The command is
// status, counters, drain, start or reload. No names mean all instances for status and counters, and are an error for
// the others.
func Command(ctx context.Context, out io.Writer, address, command string, names []string) error {
	client := newClient()
	switch command {
	case "drain", "start", "reload":
		return sendCommand(ctx, client, out, address, command, names)
	}
	statuses, err := fetchStatuses(ctx, client, address)
	if err != nil {
		return fmt.Errorf("the agent at %s: %w", address, err)
	}
	if statuses, err = selectInstances(statuses, names); err != nil {
		return err
	}
	if command == "counters" {
		return printCounters(out, statuses)
	}
	return printStatuses(out, statuses)
}

// sendCommand sends the agent a command for each of the named instances, in order. It stops at the first error.
func sendCommand(ctx context.Context, client *http.Client, out io.Writer, address, command string, names []string) error {
	if len(names) == 0 {
		return fmt.Errorf("%s needs the names of instances", command)
	}
	for _, name := range names {
		var empty struct{}
		target := "http://" + address + "/" + command + "?" + url.Values{"instance": {name}}.Encode()
		if err := fetchJSON(ctx, client, commandBytes, http.MethodPost, target, &empty); err != nil {
			return fmt.Errorf("%s %s: %w", command, name, err)
		}
		fmt.Fprintf(out, "%s: %s\n", name, command)
	}
	return nil
}

// selectInstances returns the statuses of the named instances, or of all if names is empty.
func selectInstances(all []Status, names []string) ([]Status, error) {
	for _, name := range names {
		if !slices.ContainsFunc(all, func(s Status) bool { return s.Name == name }) {
			return nil, fmt.Errorf("there is no instance %q", name)
		}
	}
	return slices.DeleteFunc(all, func(s Status) bool { return len(names) > 0 && !slices.Contains(names, s.Name) }), nil
}

// newTable returns a writer that aligns tab-separated columns.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 8, 2, ' ', 0) }

// printCounters prints a table with a row per counter and a column per instance.
func printCounters(out io.Writer, statuses []Status) error {
	w := newTable(out)
	fmt.Fprint(w, "COUNTER")
	for _, s := range statuses {
		fmt.Fprintf(w, "\t%s", s.Name)
	}
	fmt.Fprintln(w)
	for _, name := range dispatch.CounterNames {
		fmt.Fprint(w, name)
		for _, s := range statuses {
			fmt.Fprintf(w, "\t%s", CounterText(s, name))
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// printStatuses prints a table with a row per instance.
func printStatuses(out io.Writer, statuses []Status) error {
	w := newTable(out)
	fmt.Fprintln(w, "INSTANCE\tSTATE\tPID\tRESTARTS\tLISTEN\tOPEN\tREADY\tLAST END")
	for _, s := range statuses {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\n", s.Name, s.State, s.PID, s.Restarts, s.Listen,
			CounterText(s, "open"), CounterText(s, "workers_ready"), s.LastEnd)
	}
	return w.Flush()
}

// CounterText returns the value of a counter as text, or a dash if it is not known.
func CounterText(s Status, name string) string {
	for _, c := range s.Counters {
		if c.Name == name {
			return fmt.Sprint(c.Value)
		}
	}
	return "-"
}
