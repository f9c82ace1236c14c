package operatorcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"gladepick/internal/systemnode/inspection"
)

func registerInspection(application *kingpin.Application, out io.Writer, commands Commands) {
	status := application.Command("status", "Show what a front knows of the system as a whole.")
	commands.add(status, newView(status, inspection.PathStatus, out, printStatus))

	members := application.Command("members", "List the control members and the stores.")
	commands.add(members, newView(members, inspection.PathMembers, out, printMembers))

	partitions := application.Command("partitions", "List the partitions and the stores that keep them.")
	commands.add(partitions, newView(partitions, inspection.PathPartitions, out, printPartitions))

	registerMetrics(application, out, commands)
}

// newView returns the runner of a command that reads a JSON value and prints it.
func newView[Value any](
	command *kingpin.CmdClause, path string, out io.Writer, print func(io.Writer, Value) error,
) Runner {
	connection := addConnection(command, listenerControl)
	output := addOutput(command)
	return func(ctx context.Context) error {
		client, ctx, cancel := connection.client(ctx)
		defer cancel()
		body, err := client.Do(ctx, Request{Method: http.MethodGet, Path: path})
		if err != nil {
			return err
		}
		var value Value
		if err := json.Unmarshal(body, &value); err != nil {
			return trace.Wrap(err, "reading the answer")
		}
		if *output == outputJSON {
			return printJSON(out, value)
		}
		return print(out, value)
	}
}

func printStatus(out io.Writer, status inspection.Status) error {
	freshness := "current"
	if !status.LeaseValid {
		freshness = "may be outdated: the process has no lease"
	}
	partitions := status.Partitions
	t := newTable(out)
	t.row("answered by", fmt.Sprintf("%s (%s)", status.Process, status.Zone))
	t.row("state", freshness)
	t.row("control primary", orDash(status.Primary))
	t.row("control members", strconv.Itoa(status.Control))
	t.row("configuration", strconv.FormatUint(status.ConfigVersion, 10))
	t.row("table", strconv.FormatUint(status.TableRevision, 10))
	t.row("copies", strconv.Itoa(status.Copies))
	t.row("stores", countsText(status.Stores))
	t.row("partitions", fmt.Sprintf("%d: %d whole, %d degraded, %d without a primary",
		partitions.Total, partitions.Complete, partitions.Degraded, partitions.Leaderless))
	t.row("workers", workersText(status))
	return t.end()
}

func workersText(status inspection.Status) string {
	if status.WorkersAgeMS < 0 {
		return "list not read yet"
	}
	age := time.Duration(status.WorkersAgeMS) * time.Millisecond
	return fmt.Sprintf("%d, read %s ago", status.Workers, age)
}

// countsText lists numbers by name, as in "3 active, 1 down".
func countsText(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return orDash(strings.Join(parts, ", "))
}

func printMembers(out io.Writer, members []inspection.Member) error {
	t := newTable(out, "NAME", "ROLE", "ZONE", "ADDRESS", "STATE", "LEADS", "HOLDS")
	for _, member := range members {
		leads, holds := strconv.Itoa(member.Leads), strconv.Itoa(member.Holds)
		if member.Role != inspection.RoleStore {
			leads, holds = "-", "-"
		}
		t.row(member.Name, member.Role, orDash(member.Zone), member.Address, member.State, leads, holds)
	}
	return t.end()
}

func printPartitions(out io.Writer, partitions []inspection.Partition) error {
	t := newTable(out, "ID", "EPOCH", "PRIMARY", "SYNCED", "COPYING", "WANTED")
	for _, partition := range partitions {
		t.row(
			strconv.Itoa(partition.ID),
			strconv.FormatUint(partition.Epoch, 10),
			orDash(partition.Primary),
			orDash(strings.Join(partition.Synced, ",")),
			orDash(strings.Join(partition.Copying, ",")),
			orDash(partition.PreferredPrimary),
		)
	}
	return t.end()
}

func registerMetrics(application *kingpin.Application, out io.Writer, commands Commands) {
	metrics := application.Command("metrics", "Print the metrics of a process.")
	connection := addConnection(metrics, listenerControl)
	node := metrics.Flag("node", "A control member or a store; without it, the front that answers.").String()
	commands.add(metrics, func(ctx context.Context) error {
		client, ctx, cancel := connection.client(ctx)
		defer cancel()
		path := inspection.PathMetrics
		if *node != "" {
			path += "?" + url.Values{inspection.QueryNode: {*node}}.Encode()
		}
		body, err := client.Do(ctx, Request{Method: http.MethodGet, Path: path})
		if err != nil {
			return err
		}
		_, err = out.Write(body)
		return trace.Wrap(err)
	})
}
