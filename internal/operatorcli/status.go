package operatorcli

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"gladepick/internal/systemnode/inspection"
)

// registerStatus adds the command status.
func registerStatus(application *kingpin.Application, out io.Writer, commands Commands) {
	status := application.Command("status", "Show what a front knows of the system as a whole.")
	commands.add(status, newViewRunner(status, inspection.PathStatus, out, printStatus))
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
	t.row("control members", strconv.Itoa(status.ControlMembers))
	t.row("configuration", strconv.FormatUint(status.ConfigVersion, 10))
	t.row("table", strconv.FormatUint(status.TableRevision, 10))
	t.row("copies", strconv.Itoa(status.Copies))
	t.row("stores", countsText(status.Stores))
	t.row("partitions", fmt.Sprintf("%d: %d whole, %d degraded, %d without a primary",
		partitions.Total, partitions.Complete, partitions.Degraded, partitions.Leaderless))
	t.row("workers", workersText(status))
	return t.flush()
}

// workersText describes the worker list: the number of workers and the time since it was read.
func workersText(status inspection.Status) string {
	if status.WorkersAgeMS < 0 {
		return "list not read yet"
	}
	age := time.Duration(status.WorkersAgeMS) * time.Millisecond
	return fmt.Sprintf("%d, read %s ago", status.Workers, age)
}

// countsText lists counts sorted by name, as in "3 active, 1 down".
func countsText(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return orDash(strings.Join(parts, ", "))
}
